package org.bilberryhead.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.ssl.SslContext
import io.netty.handler.ssl.SslContextBuilder
import java.io.IOException
import java.nio.file.Path
import java.security.PrivateKey
import java.security.cert.X509Certificate
import javax.net.ssl.SSLException
import kotlin.io.path.Path
import kotlin.io.path.readBytes

/** Loads the certificate and private key for new TLS connections of a server from the files that [settings] name. */
class ServerTls(private val settings: TlsSettings, override val setting: String = "tls") : ReloadSource<SslContext> {
    private val chainFile = Path(settings.certificateChainFile)
    private val keyFile = Path(settings.privateKeyFile)

    override fun stamps(): List<FileStamp> = listOf(FileStamp.of(chainFile), FileStamp.of(keyFile))

    override fun load(): Result<SslContext, List<SettingsError>> {
        val errors = mutableListOf<SettingsError>()
        val chain = read(chainFile, "certificateChainFile", errors)?.let { readChain(it, errors) }
        val key = read(keyFile, "privateKeyFile", errors)?.let { readKey(it, errors) }
        if (chain == null || key == null) return Err(errors)
        if (!PemFiles.isKeyPair(key, chain.first().publicKey)) {
            return Err(
                listOf(settingsError("privateKeyFile", "$keyFile is not the key of the certificate in $chainFile")),
            )
        }
        return context(key, chain)
    }

    private fun read(file: Path, settingName: String, errors: MutableList<SettingsError>): ByteArray? = try {
        file.readBytes()
    } catch (failure: IOException) {
        errors += settingsError(settingName, "can not read $file: ${failure::class.simpleName}")
        null
    }

    private fun readChain(pem: ByteArray, errors: MutableList<SettingsError>): List<X509Certificate>? {
        val chain = PemFiles.certificates(pem)
        if (chain == null) errors += settingsError("certificateChainFile", "$chainFile holds no certificates in PEM")
        return chain
    }

    private fun readKey(pem: ByteArray, errors: MutableList<SettingsError>): PrivateKey? {
        val key = PemFiles.privateKey(pem.decodeToString())
        if (key == null) {
            errors += settingsError("privateKeyFile", "$keyFile holds no usable key in PEM (PKCS #8, not encrypted)")
        }
        return key
    }

    private fun context(key: PrivateKey, chain: List<X509Certificate>): Result<SslContext, List<SettingsError>> = try {
        Ok(SslContextBuilder.forServer(key, chain).protocols("TLSv1.3", "TLSv1.2").build())
    } catch (failure: SSLException) {
        Err(listOf(settingsError("certificateChainFile", "can not be used: ${failure.message}")))
    }

    private fun settingsError(settingName: String, problem: String) = SettingsError("$setting.$settingName", problem)
}
