package org.bilberryhead.forwarding

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.platform.wire.RowKey
import org.bilberryhead.platform.wire.WireTables
import java.util.Base64
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** A store that waits for changes as long as it is asked to, and that can fall silent and go on. */
internal class PausingStore(rows: Map<RowKey, String> = emptyMap()) : AutoCloseable {
    private class Change(val row: RowKey, val value: String?, val version: Long)

    private val lock = Object()
    private val changes = mutableListOf<Change>()
    private var silentUntil = 0L
    private var nextSilence: Pair<String, Duration>? = null
    private val server = ScriptedEndpoint { serve() }

    /** Heads of the calls so far. */
    val calls = CopyOnWriteArrayList<String>()
    val address = SocketAddress(HOST, server.address.substringAfter(':').toInt())

    init {
        rows.forEach { (row, value) -> change(row, value) }
    }

    /** Writes a row, or removes it when [value] is null. */
    fun change(row: RowKey, value: String?): Unit = synchronized(lock) {
        changes += Change(row, value, changes.size + 1L)
        lock.notifyAll()
    }

    /** Responds to no call for [time], and then to all of them. */
    fun fallSilent(time: Duration): Unit = synchronized(lock) {
        silentUntil = System.nanoTime() + time.inWholeNanoseconds
    }

    /** Falls silent for [time] when the next poll of [table] has waited in vain; returns when that is so. */
    fun fallSilentAfterPoll(table: String, time: Duration) {
        synchronized(lock) {
            nextSilence = table to time
            while (nextSilence != null) lock.wait()
        }
    }

    private fun ScriptedEndpoint.Exchange.serve() {
        val uri = request.head.substringAfter(' ').substringBefore(' ')
        calls += uri
        val table = uri.substringAfter("table=").substringBefore('&')
        val body = synchronized(lock) {
            if ("rows-feed" in uri) awaitChange(table, numberIn(uri, "after"), numberIn(uri, "wait_ms"))
            awaitNoSilence()
            when {
                "rows-feed" in uri -> bodyOf(changesOf(table, numberIn(uri, "after")))
                "rows-get" in uri -> bodyOf(rowsOf(table))
                else -> """{"ver":${changes.size}}"""
            }
        }
        respond(body = body, id = "")
    }

    private fun numberIn(uri: String, name: String) = uri.substringAfter("$name=").substringBefore('&').toLong()

    private fun rowsOf(table: String): List<Change> =
        changes.filter { it.row.table == table }.associateBy { it.row }.values.filter { it.value != null }

    private fun changesOf(table: String, version: Long) =
        changes.filter { it.row.table == table && it.version > version }

    private fun awaitChange(table: String, version: Long, milliseconds: Long) {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds)
        while (changesOf(table, version).isEmpty()) {
            val left = end - System.nanoTime()
            if (left <= 0) return startNextSilence(table)
            TimeUnit.NANOSECONDS.timedWait(lock, left)
        }
    }

    private fun startNextSilence(table: String) {
        val (silentTable, time) = nextSilence ?: return
        if (silentTable != table) return
        nextSilence = null
        fallSilent(time)
        lock.notifyAll()
    }

    private fun awaitNoSilence() {
        while (true) {
            val left = silentUntil - System.nanoTime()
            if (left <= 0) return
            TimeUnit.NANOSECONDS.timedWait(lock, left)
        }
    }

    private fun bodyOf(rows: List<Change>): String {
        val texts = rows.joinToString(",") {
            val value = Base64.getEncoder().encodeToString(it.value.orEmpty().encodeToByteArray())
            """{"key":"${it.row.key}","value":"$value","removed":${it.value == null},"ver":${it.version}}"""
        }
        return """{"rows":[$texts],"truncated":false,"ver":${changes.size}}"""
    }

    override fun close() = server.close()
}

/** A store that holds [configuration] and the endpoints of [pools]. */
internal fun pausingStoreOf(configuration: String, pools: Map<String, List<ScriptedEndpoint>>): PausingStore =
    PausingStore(
        mapOf(RowKey(WireTables.OPERATOR, WireTables.CONFIGURATION_KEY) to configuration) +
            endpointRows(pools).associate { (key, value) -> RowKey(WireTables.ENDPOINTS, key) to value },
    )
