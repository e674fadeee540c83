package org.bilberryhead.cli.client

/** Reason why a call to an entry failed. */
sealed interface CallError {
    /** Description for the operator. */
    val detail: String

    /** No entry responded. */
    data class NoEntryReachable(override val detail: String) : CallError

    /** The token is missing, unknown or not an operator's. */
    data class NotAuthorized(override val detail: String) : CallError

    /** The requested resource does not exist at the entry. */
    data class NotFound(override val detail: String) : CallError

    /** An entry rejected the call. */
    data class Rejected(override val detail: String) : CallError

    /** The call was sent and its response was lost; it may have taken effect. */
    data class ResponseLost(override val detail: String) : CallError
}
