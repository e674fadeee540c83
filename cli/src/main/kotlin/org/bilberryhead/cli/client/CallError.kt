package org.bilberryhead.cli.client

/** Why an entry gave no usable answer. */
sealed interface CallError {
    /** For the operator: what happened. */
    val detail: String

    /** No entry answered. */
    data class NoEntryReachable(override val detail: String) : CallError

    /** The token is missing, unknown or not an operator's. */
    data class NotAuthorized(override val detail: String) : CallError

    /** The entry knows nothing under this name. */
    data class NotFound(override val detail: String) : CallError

    /** An entry rejected the call. */
    data class Rejected(override val detail: String) : CallError

    /** The call was sent and its answer was lost; it may have taken effect. */
    data class ResponseLost(override val detail: String) : CallError
}
