package org.bilberryhead.soak

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.bilberryhead.platform.wire.WirePaths
import java.util.Base64

/** Rows of the platform's store in memory, with transactions and feeds, so that entries see each other's rows. */
internal class RowStore {
    private data class Key(val table: String, val key: String)

    /** A row; [value] is null after its removal. */
    private class Row(val value: String?, val version: Long)

    private val monitor = Object()
    private val rows = sortedMapOf<Key, Row>(compareBy({ it.table }, { it.key }))
    private var version = 1L

    /** Writes one row as the operator or an endpoint does. */
    fun put(table: String, key: String, text: String) = synchronized(monitor) {
        version++
        rows[Key(table, key)] = Row(Base64.getEncoder().encodeToString(text.encodeToByteArray()), version)
        monitor.notifyAll()
    }

    /** Returns the status and the body of the response to a call to [uri] with [body]. */
    fun respond(uri: String, body: String): Pair<Int, String> {
        val parameters = uri.substringAfter('?', "").split('&').associate {
            it.substringBefore('=') to it.substringAfter('=', "")
        }
        val table = parameters["table"].orEmpty()
        return when {
            uri.startsWith(WirePaths.ROWS_TRANSACTION) -> transact(Json.parseToJsonElement(body).jsonObject)
            uri.startsWith(WirePaths.FEED) ->
                OK to changes(table, parameters.getValue("after").toLong(), parameters.getValue("wait_ms").toLong())

            else -> OK to synchronized(monitor) { encode(table) { it.value != null } }
        }
    }

    private fun changes(table: String, after: Long, waitMilliseconds: Long): String = synchronized(monitor) {
        val end = System.nanoTime() + minOf(waitMilliseconds, LONGEST_WAIT_MS) * NANOSECONDS_PER_MS
        while (rows.none { (key, row) -> key.table == table && row.version > after }) {
            val remaining = (end - System.nanoTime()) / NANOSECONDS_PER_MS
            if (remaining <= 0) break
            monitor.wait(remaining)
        }
        encode(table) { it.version > after }
    }

    private fun transact(call: JsonObject): Pair<Int, String> = synchronized(monitor) {
        val expected = call["expected_rev"]?.jsonArray.orEmpty()
        val conflicts = expected.filter { versionOf(keyOf(it)) != it.jsonObject["ver"]?.jsonPrimitive?.long }
        if (conflicts.isNotEmpty()) return CONFLICT to """{"rows":[],"ver":$version}"""
        version++
        call["set_keys"]?.jsonArray.orEmpty().forEach {
            rows[keyOf(it)] = Row(it.jsonObject.getValue("value").jsonPrimitive.content, version)
        }
        call["remove"]?.jsonArray.orEmpty().forEach { rows[keyOf(it)] = Row(value = null, version) }
        monitor.notifyAll()
        OK to """{"ver":$version}"""
    }

    private fun versionOf(key: Key): Long = rows[key]?.takeIf { it.value != null }?.version ?: 0

    private fun keyOf(element: JsonElement): Key {
        val fields = element.jsonObject
        return Key(fields.getValue("table").jsonPrimitive.content, fields.getValue("key").jsonPrimitive.content)
    }

    private fun encode(table: String, isWanted: (Row) -> Boolean): String {
        val wanted = rows.filter { (key, row) -> key.table == table && isWanted(row) }
        val texts = wanted.entries.sortedBy { it.value.version }.map { (key, row) ->
            val content = row.value?.let { """"value":"$it"""" } ?: """"removed":true"""
            """{"table":"$table","part":"","key":"${key.key}",$content,"ver":${row.version}}"""
        }
        return """{"rows":[${texts.joinToString(",")}],"truncated":false,"ver":$version}"""
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 412
        const val LONGEST_WAIT_MS = 2_000L
        const val NANOSECONDS_PER_MS = 1_000_000L
    }
}
