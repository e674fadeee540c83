package org.bilberryhead.entry

import io.ktor.network.tls.certificates.KeyType
import io.ktor.network.tls.certificates.buildKeyStore
import java.net.InetAddress
import java.nio.file.Path
import java.security.KeyPair
import java.security.KeyStore
import java.security.PrivateKey
import java.security.cert.X509Certificate
import java.util.Base64
import javax.net.ssl.SSLContext
import javax.net.ssl.TrustManagerFactory
import javax.security.auth.x500.X500Principal
import kotlin.io.path.writeText

/** A certificate authority for one test. */
internal class TestAuthority(name: String) {
    private val subject = X500Principal("CN=$name")
    private val store = buildKeyStore {
        certificate(ALIAS) {
            password = PASSWORD
            subject = this@TestAuthority.subject
            keyType = KeyType.CA
        }
    }
    private val certificate = store.getCertificate(ALIAS) as X509Certificate
    private val keys = KeyPair(certificate.publicKey, keyOf(store))

    /** Writes the authority's certificate to [file]. */
    fun writeCertificate(file: Path) = file.writeText(pem("CERTIFICATE", certificate.encoded))

    /** Returns the TLS context of a caller that trusts this authority and no other. */
    fun trustingContext(): SSLContext {
        val trusted = KeyStore.getInstance(KeyStore.getDefaultType()).apply { load(null) }
        trusted.setCertificateEntry(ALIAS, certificate)
        val factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm())
        factory.init(trusted)
        return SSLContext.getInstance("TLS").apply { init(null, factory.trustManagers, null) }
    }

    /** Writes a new certificate for 127.0.0.1 to [chainFile] and its key to [keyFile]. */
    fun issue(chainFile: Path, keyFile: Path) {
        val issued = buildKeyStore {
            certificate(ALIAS) {
                password = PASSWORD
                subject = X500Principal("CN=entry")
                keyType = KeyType.Server
                domains = emptyList()
                ipAddresses = listOf(InetAddress.getByName("127.0.0.1"))
                signWith(keys, certificate, this@TestAuthority.subject)
            }
        }
        keyFile.writeText(pem("PRIVATE KEY", keyOf(issued).encoded))
        chainFile.writeText(pem("CERTIFICATE", issued.getCertificate(ALIAS).encoded))
    }

    private fun keyOf(store: KeyStore) = store.getKey(ALIAS, PASSWORD.toCharArray()) as PrivateKey

    private fun pem(label: String, encoded: ByteArray): String {
        val body = Base64.getMimeEncoder().encodeToString(encoded)
        return "-----BEGIN $label-----\n$body\n-----END $label-----\n"
    }

    private companion object {
        const val ALIAS = "test"
        const val PASSWORD = "test-password"
    }
}
