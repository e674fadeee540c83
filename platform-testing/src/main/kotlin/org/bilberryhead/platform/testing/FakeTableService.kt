package org.bilberryhead.platform.testing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.bilberryhead.platform.Condition
import org.bilberryhead.platform.RowWrite
import org.bilberryhead.platform.StoreError
import org.bilberryhead.platform.TableRow
import org.bilberryhead.platform.TableService
import org.bilberryhead.platform.Transaction
import java.util.TreeMap

/** Fault of a call to a [FakeTableService]. */
enum class StoreFault {
    /** The call succeeds. */
    NONE,

    /** The call is refused and has no effect. */
    DOWN,

    /** The call takes effect, but its response is lost. */
    LOST_ANSWER,

    /** The call is lost before it takes effect. */
    LOST_CALL,

    /** The response is lost, and the call takes effect only in [FakeTableService.applyLateEffects]. */
    LATE_EFFECT,
}

/** Kinds of calls for which faults can be planned. */
enum class StoreCall { READ, SCAN, COMMIT }

/** A table service in memory, with faults on demand. Thread-safe. */
class FakeTableService : TableService {
    private val rows = TreeMap<String, TableRow>()
    private val lateCalls = ArrayDeque<() -> Unit>()
    private val plannedFaults = StoreCall.entries.associateWith { ArrayDeque<StoreFault>() }

    /** Fault of every call for which none is planned. */
    @Volatile
    var defaultFault = StoreFault.NONE

    /** Runs before each call, for example to delay it or to let another writer go first. */
    @Volatile
    var beforeCall: suspend (StoreCall) -> Unit = {}

    /** Transactions that took effect, in order. */
    val committed = mutableListOf<Transaction>()

    /** Number of calls of each kind so far, including failed ones. */
    val calls = mutableMapOf<StoreCall, Int>()

    /** Plans [faults] for the next calls of kind [call], one for each call. */
    fun planFaults(call: StoreCall, vararg faults: StoreFault) =
        synchronized(rows) { plannedFaults.getValue(call) += faults }

    /** Removes all faults, including planned ones. */
    fun clearFaults() = synchronized(rows) {
        defaultFault = StoreFault.NONE
        beforeCall = {}
        plannedFaults.values.forEach { it.clear() }
    }

    /** Writes [key] regardless of faults. */
    fun put(key: String, value: String) = synchronized(rows) { write(RowWrite(key, value)) }

    /** Removes [key] regardless of faults, as if the service was restored from an old backup. */
    fun remove(key: String) {
        synchronized(rows) { rows.remove(key) }
    }

    /** Executes the calls delayed by [StoreFault.LATE_EFFECT], as far as their conditions hold now. */
    fun applyLateEffects() = synchronized(rows) { while (lateCalls.isNotEmpty()) lateCalls.removeFirst().invoke() }

    /** Returns the value of [key] regardless of faults. */
    fun valueOf(key: String): String? = synchronized(rows) { rows[key]?.value }

    override suspend fun read(key: String): Result<TableRow?, StoreError> = call(StoreCall.READ) { Ok(rows[key]) }

    override suspend fun scan(prefix: String, after: String, limit: Int): Result<List<TableRow>, StoreError> =
        call(StoreCall.SCAN) {
            val from = if (after > prefix) rows.tailMap(after, false) else rows.tailMap(prefix, true)
            Ok(from.values.asSequence().takeWhile { it.key.startsWith(prefix) }.take(limit).toList())
        }

    override suspend fun commit(transaction: Transaction): Result<Unit, StoreError> = call(StoreCall.COMMIT) {
        val failedCondition = transaction.conditions.find { !holds(it) }
        if (failedCondition == null) {
            transaction.writes.forEach { write(it) }
            committed += transaction
            Ok(Unit)
        } else {
            Err(StoreError.Conflict("condition on ${failedCondition.key} does not hold"))
        }
    }

    private suspend fun <T> call(kind: StoreCall, execute: () -> Result<T, StoreError>): Result<T, StoreError> {
        beforeCall(kind)
        return synchronized(rows) {
            calls.merge(kind, 1, Int::plus)
            when (plannedFaults.getValue(kind).removeFirstOrNull() ?: defaultFault) {
                StoreFault.NONE -> execute()
                StoreFault.DOWN -> Err(StoreError.Refused("the table service is down"))
                StoreFault.LOST_CALL -> Err(StoreError.OutcomeUnknown("the call was lost"))
                StoreFault.LATE_EFFECT -> {
                    lateCalls += { execute() }
                    Err(StoreError.OutcomeUnknown("no answer in time"))
                }
                StoreFault.LOST_ANSWER -> {
                    execute()
                    Err(StoreError.OutcomeUnknown("the answer was lost"))
                }
            }
        }
    }

    private fun write(write: RowWrite) {
        val version = (rows[write.key]?.version ?: 0) + 1
        rows[write.key] = TableRow(write.key, write.value, version)
    }

    private fun holds(condition: Condition): Boolean = when (condition) {
        is Condition.Absent -> condition.key !in rows
        is Condition.HasVersion -> rows[condition.key]?.version == condition.version
    }
}
