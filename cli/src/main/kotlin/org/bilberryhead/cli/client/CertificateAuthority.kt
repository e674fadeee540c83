package org.bilberryhead.cli.client

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import java.io.IOException
import java.nio.file.Path
import java.security.GeneralSecurityException
import java.security.KeyStore
import java.security.cert.Certificate
import java.security.cert.CertificateFactory
import javax.net.ssl.SSLContext
import javax.net.ssl.SSLSocketFactory
import javax.net.ssl.TrustManagerFactory
import javax.net.ssl.X509TrustManager
import kotlin.io.path.inputStream

/** Certificate authorities trusted for the certificates of entries, instead of those of the Java runtime. */
class CertificateAuthority private constructor(internal val trustManager: X509TrustManager) {
    internal fun socketFactory(): SSLSocketFactory {
        val context = SSLContext.getInstance("TLS")
        context.init(null, arrayOf(trustManager), null)
        return context.socketFactory
    }

    companion object {
        /** Reads the certificates of the authorities from [file] in PEM, or returns an error message. */
        fun read(file: Path): Result<CertificateAuthority, String> = try {
            val certificates = file.inputStream().use {
                CertificateFactory.getInstance("X.509").generateCertificates(it)
            }
            if (certificates.isEmpty()) Err("$file holds no certificate") else Ok(trusting(certificates))
        } catch (failure: IOException) {
            Err("can not read $file: ${failure.message}")
        } catch (failure: GeneralSecurityException) {
            Err("$file holds no certificates in PEM: ${failure.message}")
        }

        private fun trusting(certificates: Collection<Certificate>): CertificateAuthority {
            val store = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null) }
            certificates.forEachIndexed { index, certificate ->
                store.setCertificateEntry("authority-$index", certificate)
            }
            val factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm()).apply {
                init(store)
            }
            return CertificateAuthority(factory.trustManagers.filterIsInstance<X509TrustManager>().first())
        }
    }
}
