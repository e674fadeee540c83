package org.bilberryhead.forwarding.store

import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.forwarding.EventThread
import org.bilberryhead.forwarding.ForwardingMetrics
import org.bilberryhead.forwarding.http.Connector
import org.bilberryhead.forwarding.http.SingleExchange
import kotlin.random.Random

/** Makes this entry's calls to the store at [address]. All of them know the newest era that any of them has seen. */
internal class StoreClient(
    private val address: SocketAddress,
    private val thread: EventThread,
    private val connector: Connector,
    private val decisions: DecisionLog,
    private val metrics: ForwardingMetrics,
    private val random: Random,
) {
    private val eras = StoreEras()

    /** Changes rows. */
    val writer = StoreWriter(address, SingleExchange(thread, connector), eras)

    /** Returns a watch on [table] that passes its rows to [listener] once it is started. */
    fun watch(table: String, timings: WatchTimings, listener: TableListener) =
        StoreTableWatch(table, address, timings, thread, connector, decisions, metrics, random, listener, eras)
}
