package org.bilberryhead.entry

import org.bilberryhead.core.common.ClientAccount

/** The owners of tokens by the digests of these. */
internal typealias TokenOwners<T> = Map<TokenDigest, T>

/** Tells who a bearer token belongs to. Only digests of tokens are kept. */
class Tokens internal constructor(
    private val account: (TokenDigest) -> ClientAccount?,
    private val operator: (TokenDigest) -> String?,
) {
    /** Tokens that never change. */
    constructor(accounts: List<AccountToken>, operators: List<OperatorToken>) : this(
        account = ownersOf(accounts.map { it.tokenSha256 to it.account })::get,
        operator = ownersOf(operators.map { it.tokenSha256 to it.name })::get,
    )

    /** Returns the client account of the token in [authorization], a header of the form `Bearer TOKEN`. */
    fun account(authorization: String?): ClientAccount? = digest(authorization)?.let(account)

    /** Returns the operator's name for the token in [authorization]. */
    fun operator(authorization: String?): String? = digest(authorization)?.let(operator)

    private fun digest(authorization: String?): TokenDigest? {
        val token = authorization?.removePrefix(SCHEME)?.takeIf { it != authorization } ?: return null
        return TokenDigest.ofToken(token.trim())
    }

    internal companion object {
        private const val SCHEME = "Bearer "

        /** Returns the owners of [digests], each a checked digest in hexadecimal digits with its owner. */
        fun <T> ownersOf(digests: List<Pair<String, T>>): TokenOwners<T> =
            digests.mapNotNull { (text, owner) -> TokenDigest.parse(text)?.let { it to owner } }.toMap()
    }
}
