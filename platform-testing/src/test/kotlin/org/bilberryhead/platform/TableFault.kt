package org.bilberryhead.platform

/**
 * Faults that can be injected while the tables are changed.
 *
 * @property canIsolateEntry whether entry-a, which accepts the change, can lose contact with the others for a while
 */
internal enum class TableFault(val canIsolateEntry: Boolean = false) {
    NONE,
    ENTRY_KILLED(canIsolateEntry = true),
    ENTRY_RESTARTED(canIsolateEntry = true),
    ENTRY_RESTARTED_WITHOUT_STORE(canIsolateEntry = true),
    ENTRY_FROZEN(canIsolateEntry = true),
    ENTRY_DISCONNECTED(canIsolateEntry = true),
    ENTRY_CANNOT_SEND(canIsolateEntry = true),
    ENTRY_CANNOT_RECEIVE(canIsolateEntry = true),
    PEER_CANNOT_SEND,
    PEER_CANNOT_RECEIVE,
    PEER_RESTARTED,
    SIDECARS_RESTARTED,
    OTHERS_RESTARTED(canIsolateEntry = true),
    STORE_DOWN,
    STORE_SLOW,
    READ_ANSWERS_LOST,
    COMMIT_ANSWER_LOST,
    COMMIT_CALL_LOST,
    COMMIT_LATE,
    COMMIT_VERY_LATE,
    COMMIT_LATE_THEN_STORE_DOWN,
    OBJECT_STORE_DOWN,
    OPERATORS_RACING,
    OPERATOR_REPEATS,
    STALE_PEER,
    STALE_SIDECAR,
    STALE_SNAPSHOT,
    SNAPSHOT_OF_ANOTHER_LOG,
    CONFLICTING_PEER,
    LOG_ROLLED_BACK,
}

/** Steps of a table change at which a fault can be injected. */
internal enum class ChangeStep { BEFORE_READ, AFTER_READ, AT_COMMIT, AFTER_COMMIT, BEFORE_PUSH, AFTER_PUSH }

/** A [fault] that is injected at [step] of a table change. */
internal data class InjectedFault(val fault: TableFault, val step: ChangeStep)
