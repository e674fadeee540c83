package org.bilberryhead.entry

import org.bilberryhead.core.common.ClientAccount

/** Owners of tokens, by the digest of the token. */
internal typealias TokenOwners<T> = Map<TokenDigest, T>

/** Finds the owner of a bearer token. Stores only digests of tokens. */
class Tokens internal constructor(
    private val account: (TokenDigest) -> ClientAccount?,
    private val operator: (TokenDigest) -> String?,
) {
    /** Creates a fixed set of tokens. */
    constructor(accounts: List<AccountToken>, operators: List<OperatorToken>) : this(
        account = ownersOf(accounts.map { it.tokenSha256 to it.account })::get,
        operator = ownersOf(operators.map { it.tokenSha256 to it.name })::get,
    )

    /** Returns the client account of the token in the header [authorization], `Bearer TOKEN`; null when unknown. */
    fun account(authorization: String?): ClientAccount? = digest(authorization)?.let(account)

    /** Returns the name of the operator whose token is in the header [authorization]; null when unknown. */
    fun operator(authorization: String?): String? = digest(authorization)?.let(operator)

    private fun digest(authorization: String?): TokenDigest? {
        val token = authorization?.removePrefix(SCHEME)?.takeIf { it != authorization } ?: return null
        return TokenDigest.ofToken(token.trim())
    }

    internal companion object {
        private const val SCHEME = "Bearer "

        /** Returns the owners by digest for [digests], pairs of a validated hexadecimal digest and its owner. */
        fun <T> ownersOf(digests: List<Pair<String, T>>): TokenOwners<T> =
            digests.mapNotNull { (text, owner) -> TokenDigest.parse(text)?.let { it to owner } }.toMap()
    }
}
