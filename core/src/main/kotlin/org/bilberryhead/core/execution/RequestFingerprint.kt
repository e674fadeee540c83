package org.bilberryhead.core.execution

import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestKind
import java.security.MessageDigest
import java.util.HexFormat

/** Digest of a caller's request; repeated submissions of the same request have the same digest. */
object RequestFingerprint {
    /** Returns the SHA-256 digest of a request of [kind] with the body [payload], in hexadecimal. */
    fun of(kind: RequestKind, payload: Payload): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(kind.value.encodeToByteArray())
        digest.update(0)
        digest.update(payload.bytes)
        return HexFormat.of().formatHex(digest.digest())
    }
}
