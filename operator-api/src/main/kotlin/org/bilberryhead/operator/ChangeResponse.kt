package org.bilberryhead.operator

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.TableProblem

/** Outcome of a proposed change of the tables. */
@Serializable
sealed interface ChangeResponse {
    /**
     * The change is committed and will not be reverted.
     *
     * @property holders number of other live processes known to hold the change; 0 when this entry knows of none
     */
    @Serializable
    @SerialName("accepted")
    data class Accepted(val version: TableVersion, val holders: Int) : ChangeResponse

    /** Another change was committed first: [winner], or null when it is not known. */
    @Serializable
    @SerialName("lost_race")
    data class LostRace(val proposed: TableChange, val winner: TableChange?) : ChangeResponse

    /** The change would make the tables invalid, so nothing was written. */
    @Serializable
    @SerialName("invalid")
    data class Invalid(val problems: List<TableProblem>) : ChangeResponse

    /** The change is not in the log and will not be. */
    @Serializable
    @SerialName("not_committed")
    data class NotCommitted(val detail: String) : ChangeResponse

    /** The change may be in the log; the outcome can be queried later with the id of the change. */
    @Serializable
    @SerialName("unknown")
    data class Unknown(val detail: String) : ChangeResponse
}
