package org.bilberryhead.daemon

import kotlinx.serialization.Serializable

/**
 * Files with the certificate and key of a TLS server. Both are PEM and are reloaded when they change.
 *
 * @property certificateChainFile the server's certificate, followed by the intermediate certificates
 * @property privateKeyFile the private key of the server's certificate, in unencrypted PKCS #8
 */
@Serializable
data class TlsSettings(val certificateChainFile: String, val privateKeyFile: String)
