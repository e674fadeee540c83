package org.bilberryhead.entry

import org.bilberryhead.core.common.ClientAccount
import java.security.MessageDigest

/** Tells who a bearer token belongs to. Only digests of tokens are kept. */
class Tokens(accounts: List<AccountToken>, operators: List<OperatorToken>) {
    private val accountsByDigest = accounts.associate { it.tokenSha256.lowercase() to it.account }
    private val operatorsByDigest = operators.associate { it.tokenSha256.lowercase() to it.name }

    /** Returns the client account of the token in [authorization], a header of the form `Bearer TOKEN`. */
    fun account(authorization: String?): ClientAccount? = digest(authorization)?.let { accountsByDigest[it] }

    /** Returns the operator's name for the token in [authorization]. */
    fun operator(authorization: String?): String? = digest(authorization)?.let { operatorsByDigest[it] }

    private fun digest(authorization: String?): String? {
        val token = authorization?.removePrefix(SCHEME)?.takeIf { it != authorization } ?: return null
        return MessageDigest.getInstance("SHA-256").digest(token.trim().encodeToByteArray()).toHexString()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
