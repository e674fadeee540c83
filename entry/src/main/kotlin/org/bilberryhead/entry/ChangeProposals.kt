package org.bilberryhead.entry

import com.github.michaelbull.result.getOrElse
import io.github.oshai.kotlinlogging.KotlinLogging
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.TableProblem
import org.bilberryhead.core.tables.TableValidator
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.operator.ChangeResponse
import org.bilberryhead.platform.ChangeOutcome
import org.bilberryhead.platform.ChangeRecord
import org.bilberryhead.platform.TableLog

private val log = KotlinLogging.logger("control")

/** Processes operators' changes: validates them, commits them to the log and publishes the new tables. */
class ChangeProposals(private val control: ControlPlane, private val tableLog: TableLog) {
    /**
     * Proposes [change] and returns the outcome. A change that is already in the log counts as accepted.
     *
     * @param isFirst whether the id of the change has never been sent to any entry before
     */
    suspend fun propose(change: TableChange, isFirst: Boolean = false): ChangeResponse {
        if (change.baseVersion > control.tables.version) control.refresh()
        val tables = control.tables
        if (change.baseVersion > tables.version) return respondToUnknownBase(change)
        if (change.baseVersion == tables.version) {
            val problems = problemsOf(change, tables)
            if (problems.isNotEmpty()) return ChangeResponse.Invalid(problems)
        }
        return completeProposal(change, tableLog.commit(change, isFirst))
    }

    private fun problemsOf(change: TableChange, tables: Tables): List<TableProblem> {
        val changed = change.applyTo(tables)
        val problems = TableValidator.check(changed.routes.values, changed.pools.values)
        return if (change.isEmpty) problems + TableProblem(emptyList(), "the change alters no row") else problems
    }

    /** Logs [outcome], publishes the change if it was committed, and returns the response. */
    private suspend fun completeProposal(change: TableChange, outcome: ChangeOutcome): ChangeResponse {
        log.info {
            "control: change ${change.id} by ${change.author} on version ${change.baseVersion}: ${describe(outcome)}"
        }
        return when (outcome) {
            is ChangeOutcome.Committed -> ChangeResponse.Accepted(
                outcome.change.version,
                control.publishCommitted(outcome.change),
            )
            is ChangeOutcome.LostRace -> ChangeResponse.LostRace(change, outcome.winner)
            is ChangeOutcome.NotCommitted -> ChangeResponse.NotCommitted(outcome.detail)
            is ChangeOutcome.Unknown -> ChangeResponse.Unknown(outcome.detail)
        }
    }

    /** Handles a change whose base version is newer than this entry's tables, so that it cannot be validated here. */
    private suspend fun respondToUnknownBase(change: TableChange): ChangeResponse {
        val detail = "the change is for version ${change.baseVersion}, this entry holds ${control.tables.version}"
        val record = tableLog.find(change.id).getOrElse { return ChangeResponse.Unknown("$detail; ${it.detail}") }
        return when (record) {
            is ChangeRecord.InLog -> ChangeResponse.Accepted(record.version, control.holders(record.version))
            ChangeRecord.Sealed -> ChangeResponse.NotCommitted(detail)
            // An earlier submission may still be in flight to the log.
            ChangeRecord.Absent -> completeProposal(change, tableLog.resolveOutcome(change, detail))
        }
    }

    private fun describe(outcome: ChangeOutcome): String = when (outcome) {
        is ChangeOutcome.Committed -> "committed as version ${outcome.change.version}"
        is ChangeOutcome.LostRace -> "lost the race to change ${outcome.winner?.id}"
        is ChangeOutcome.NotCommitted -> "not committed, ${outcome.detail}"
        is ChangeOutcome.Unknown -> "outcome unknown, ${outcome.detail}"
    }
}
