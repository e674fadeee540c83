package org.bilberryhead.cli

/**
 * Exit status of the command, for scripts.
 *
 * @property code exit status of the process
 */
enum class ExitCode(val code: Int) {
    /** The command succeeded. */
    DONE(0),

    /** The command line is invalid, or an entry rejected the call. */
    USAGE(1),

    /** The tables are not valid; nothing was changed. */
    INVALID_TABLES(2),

    /** Another change was committed first; nothing was changed. */
    LOST_RACE(3),

    /** The change was not committed and will not be. */
    NOT_COMMITTED(4),

    /** The change may be committed; its id was printed. */
    OUTCOME_UNKNOWN(5),

    /** No entry responded. */
    NO_ENTRY_REACHABLE(6),

    /** The token is not an operator's. */
    NOT_AUTHORIZED(7),
}
