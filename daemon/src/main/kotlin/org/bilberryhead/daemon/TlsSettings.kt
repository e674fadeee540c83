package org.bilberryhead.daemon

import kotlinx.serialization.Serializable

/**
 * Names the files with which a server shows who it is. Both are PEM and are read again when they change.
 *
 * @property certificateChainFile the server's certificate, then those of the authorities between it and a root
 * @property privateKeyFile the private key of the server's certificate, as PKCS #8 that is not encrypted
 */
@Serializable
data class TlsSettings(val certificateChainFile: String, val privateKeyFile: String)
