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

/** What goes wrong with a call. */
enum class StoreFault {
    /** Nothing. */
    NONE,

    /** The call is refused and has no effect. */
    DOWN,

    /** The call has its effect and its answer is lost. */
    LOST_ANSWER,

    /** The call has no effect and its answer is lost. */
    LOST_CALL,

    /** The call's answer is lost, and its effect comes only with [FakeTableService.applyLateEffects]. */
    LATE_EFFECT,
}

/** Kinds of calls that a fault can hit. */
enum class StoreCall { READ, SCAN, COMMIT }

/** A table service in memory. Safe for use by several threads. */
class FakeTableService : TableService {
    private val rows = TreeMap<String, TableRow>()
    private val late = ArrayDeque<() -> Unit>()
    private val planned = StoreCall.entries.associateWith { ArrayDeque<StoreFault>() }

    /** Hits every call that has no planned fault. */
    @Volatile
    var defaultFault = StoreFault.NONE

    /** Runs before each call; suspends to make the service slow, or lets another writer in. */
    @Volatile
    var beforeCall: suspend (StoreCall) -> Unit = {}

    /** Transactions that took effect, in order. */
    val committed = mutableListOf<Transaction>()

    /** Number of calls of each kind so far, with those that failed. */
    val calls = mutableMapOf<StoreCall, Int>()

    /** Lets [faults] hit the next calls of kind [call], one each. */
    fun planFaults(call: StoreCall, vararg faults: StoreFault) = synchronized(rows) { planned.getValue(call) += faults }

    /** Ends all faults, also those planned. */
    fun clearFaults() = synchronized(rows) {
        defaultFault = StoreFault.NONE
        beforeCall = {}
        planned.values.forEach { it.clear() }
    }

    /** Writes [key] past all faults. */
    fun put(key: String, value: String) = synchronized(rows) { write(RowWrite(key, value)) }

    /** Removes [key] past all faults, as a service does that was set back to an old state. */
    fun remove(key: String) {
        synchronized(rows) { rows.remove(key) }
    }

    /** Lets the calls that were hit by [StoreFault.LATE_EFFECT] take effect, as far as their conditions hold now. */
    fun applyLateEffects() = synchronized(rows) { while (late.isNotEmpty()) late.removeFirst().invoke() }

    /** Returns the value of [key] past all faults. */
    fun valueOf(key: String): String? = synchronized(rows) { rows[key]?.value }

    override suspend fun read(key: String): Result<TableRow?, StoreError> = call(StoreCall.READ) { Ok(rows[key]) }

    override suspend fun scan(prefix: String, after: String, limit: Int): Result<List<TableRow>, StoreError> =
        call(StoreCall.SCAN) {
            val from = if (after > prefix) rows.tailMap(after, false) else rows.tailMap(prefix, true)
            Ok(from.values.asSequence().takeWhile { it.key.startsWith(prefix) }.take(limit).toList())
        }

    override suspend fun commit(transaction: Transaction): Result<Unit, StoreError> = call(StoreCall.COMMIT) {
        val broken = transaction.conditions.find { !holds(it) }
        if (broken == null) {
            transaction.writes.forEach { write(it) }
            committed += transaction
            Ok(Unit)
        } else {
            Err(StoreError.Conflict("condition on ${broken.key} does not hold"))
        }
    }

    private suspend fun <T> call(kind: StoreCall, work: () -> Result<T, StoreError>): Result<T, StoreError> {
        beforeCall(kind)
        return synchronized(rows) {
            calls.merge(kind, 1, Int::plus)
            when (planned.getValue(kind).removeFirstOrNull() ?: defaultFault) {
                StoreFault.NONE -> work()
                StoreFault.DOWN -> Err(StoreError.Refused("the table service is down"))
                StoreFault.LOST_CALL -> Err(StoreError.OutcomeUnknown("the call was lost"))
                StoreFault.LATE_EFFECT -> {
                    late += { work() }
                    Err(StoreError.OutcomeUnknown("no answer in time"))
                }
                StoreFault.LOST_ANSWER -> {
                    work()
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
