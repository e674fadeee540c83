package org.bilberryhead.cli

/**
 * Exit status of the command, for scripts.
 *
 * @property code the status that the process ends with
 */
enum class ExitCode(val code: Int) {
    /** What was asked for is done. */
    DONE(0),

    /** The command line can not be used. */
    USAGE(1),

    /** The tables are not valid; nothing was changed. */
    INVALID_TABLES(2),

    /** Another operator's change came first; nothing was changed. */
    LOST_RACE(3),

    /** The change was not committed and will not be. */
    NOT_COMMITTED(4),

    /** The change may be committed; its id was printed. */
    OUTCOME_UNKNOWN(5),

    /** No entry answered. */
    NO_ENTRY_REACHABLE(6),

    /** The token is not an operator's. */
    NOT_AUTHORIZED(7),
}
