package org.bilberryhead.platform

/**
 * What can go wrong while the tables are changed.
 *
 * @property setsEntryApart whether entry-a, which takes the change, may be left without others for a while
 */
internal enum class TableFault(val setsEntryApart: Boolean = false) {
    NONE,
    ENTRY_KILLED(setsEntryApart = true),
    ENTRY_RESTARTED(setsEntryApart = true),
    ENTRY_RESTARTED_WITHOUT_STORE(setsEntryApart = true),
    ENTRY_FROZEN(setsEntryApart = true),
    ENTRY_CUT(setsEntryApart = true),
    ENTRY_MUTE(setsEntryApart = true),
    ENTRY_DEAF(setsEntryApart = true),
    PEER_MUTE,
    PEER_DEAF,
    PEER_RESTARTED,
    SIDECARS_RESTARTED,
    OTHERS_RESTARTED(setsEntryApart = true),
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
    CONTRADICTING_PEER,
    LOG_SET_BACK,
}

/** Points of a change of the tables at which a fault can hit. */
internal enum class ChangeStep { BEFORE_READ, AFTER_READ, AT_COMMIT, AFTER_COMMIT, BEFORE_PUSH, AFTER_PUSH }

/** [fault] at [step] of a change. */
internal data class Hit(val fault: TableFault, val step: ChangeStep)
