package org.bilberryhead.platform.testing

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.StoreEra
import org.bilberryhead.platform.wire.WirePaths
import java.util.Base64
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Rows of the platform's store in memory: whole tables, changes of them, and transactions. The store can fall silent
 * for a while, and can come back from a copy of its rows. Thread-safe.
 */
class RowStore(rows: Map<RowKey, String> = emptyMap()) {
    /** A row; [value] is its encoded text, or null after its removal. */
    internal class Row(val value: String?, val version: Long)

    /** The rows at one time, from which the store can come back. */
    class Copy internal constructor(internal val rows: Map<RowKey, Row>, internal val version: Long)

    /** A response of the store. */
    class Response(val status: Int, val body: String, val era: StoreEra)

    private val monitor = Object()
    private val rows = sortedMapOf<RowKey, Row>(compareBy({ it.table }, { it.key }))
    private var version = 1L
    private var era = StoreEra(1)
    private var silentUntil = 0L
    private var nextSilence: Pair<String, Duration>? = null

    /** Paths of the calls so far. */
    val calls: MutableList<String> = CopyOnWriteArrayList()

    init {
        rows.forEach { (row, text) -> put(row, text) }
    }

    /** Writes a row as another writer would. */
    fun put(row: RowKey, text: String) = change(row, Base64.getEncoder().encodeToString(text.encodeToByteArray()))

    /** Removes a row as another writer would. */
    fun remove(row: RowKey) = change(row, value = null)

    /** Returns the keys of the rows of [table]. */
    fun keys(table: String): Set<String> = synchronized(monitor) {
        val present = rows.filter { (row, content) -> row.table == table && content.value != null }
        present.keys.mapTo(mutableSetOf()) { it.key }
    }

    /** Returns the text of [row], or null when there is none. */
    fun text(row: RowKey): String? = synchronized(monitor) {
        rows[row]?.value?.let { Base64.getDecoder().decode(it).decodeToString() }
    }

    /** Copies all rows. */
    fun copy(): Copy = synchronized(monitor) { Copy(rows.toMap(), version) }

    /**
     * Comes back from [copy]: what was written since is lost, its versions are given out again, and a new era begins.
     * Calls that wait for a change get no response any more. The rows [writtenAgain] are there at the next call.
     */
    fun restore(copy: Copy, writtenAgain: Map<RowKey, String> = emptyMap()) = synchronized(monitor) {
        rows.clear()
        rows.putAll(copy.rows)
        version = copy.version
        era = StoreEra(era.number + 1)
        writtenAgain.forEach { (row, text) -> put(row, text) }
        monitor.notifyAll()
    }

    /** Responds to no call for [time], and then to all of them. */
    fun fallSilent(time: Duration): Unit = synchronized(monitor) {
        silentUntil = System.nanoTime() + time.inWholeNanoseconds
    }

    /** Falls silent for [time] when the next poll of [table] has waited in vain; returns when that is so. */
    fun fallSilentAfterPoll(table: String, time: Duration): Unit = synchronized(monitor) {
        nextSilence = table to time
        while (nextSilence != null) monitor.wait()
    }

    /** Returns the response to a call to [uri] with [body], or null when the store came back from a copy meanwhile. */
    fun respond(uri: String, body: String): Response? {
        calls += uri
        return synchronized(monitor) {
            val eraOfCall = era
            val response = perform(uri, body)
            awaitNoSilence()
            response?.takeIf { eraOfCall == era }
        }
    }

    private fun perform(uri: String, body: String): Response? {
        val parameters = uri.substringAfter('?', "").split('&').associate {
            it.substringBefore('=') to it.substringAfter('=', "")
        }
        val table = parameters["table"].orEmpty()
        return when {
            uri.startsWith(WirePaths.ROWS_TRANSACTION) -> transact(Json.parseToJsonElement(body).jsonObject)
            uri.startsWith(WirePaths.FEED) ->
                changes(table, parameters.getValue("after").toLong(), parameters.getValue("wait_ms").toLong())

            else -> rowsOf(table) { it.value != null }
        }
    }

    private fun change(row: RowKey, value: String?) = synchronized(monitor) {
        version++
        rows[row] = Row(value, version)
        monitor.notifyAll()
    }

    private fun changes(table: String, after: Long, waitMilliseconds: Long): Response? {
        if (after > version) return Response(HISTORY_GONE, "", era)
        val eraOfCall = era
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMilliseconds)
        while (eraOfCall == era && rows.none { (row, content) -> row.table == table && content.version > after }) {
            val left = end - System.nanoTime()
            if (left <= 0) {
                startNextSilence(table)
                break
            }
            TimeUnit.NANOSECONDS.timedWait(monitor, left)
        }
        return rowsOf(table) { it.version > after }
    }

    private fun startNextSilence(table: String) {
        val (silentTable, time) = nextSilence ?: return
        if (silentTable != table) return
        nextSilence = null
        fallSilent(time)
        monitor.notifyAll()
    }

    private fun awaitNoSilence() {
        while (true) {
            val left = silentUntil - System.nanoTime()
            if (left <= 0) return
            TimeUnit.NANOSECONDS.timedWait(monitor, left)
        }
    }

    private fun transact(call: JsonObject): Response {
        val isExpected = call.rows("expected_rev").all {
            versionOf(keyOf(it)) == it.getValue("ver").jsonPrimitive.long
        }
        if (!isExpected) return Response(CONFLICT, """{"rows":[],"ver":$version}""", era)
        version++
        call.rows("set_keys").forEach { rows[keyOf(it)] = Row(it.getValue("value").jsonPrimitive.content, version) }
        call.rows("remove").forEach { rows[keyOf(it)] = Row(value = null, version) }
        monitor.notifyAll()
        return Response(OK, """{"ver":$version}""", era)
    }

    private fun JsonObject.rows(name: String): List<JsonObject> =
        get(name)?.jsonArray.orEmpty().map(JsonElement::jsonObject)

    private fun versionOf(row: RowKey): Long = rows[row]?.takeIf { it.value != null }?.version ?: 0

    private fun keyOf(fields: JsonObject) =
        RowKey(fields.getValue("table").jsonPrimitive.content, fields.getValue("key").jsonPrimitive.content)

    private fun rowsOf(table: String, isWanted: (Row) -> Boolean): Response {
        val wanted = rows.filter { (row, content) -> row.table == table && isWanted(content) }
        val texts = wanted.entries.sortedBy { it.value.version }.map { (row, content) ->
            val value = content.value?.let { """"value":"$it"""" } ?: """"removed":true"""
            """{"table":"$table","part":"","key":"${row.key}",$value,"ver":${content.version}}"""
        }
        return Response(OK, """{"rows":[${texts.joinToString(",")}],"truncated":false,"ver":$version}""", era)
    }

    private companion object {
        const val OK = 200
        const val HISTORY_GONE = 410
        const val CONFLICT = 412
    }
}
