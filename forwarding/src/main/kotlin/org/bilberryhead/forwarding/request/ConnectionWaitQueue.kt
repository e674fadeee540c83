package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName

/** Requests that wait for a connection to an endpoint of their pool, the most urgent first. */
internal class ConnectionWaitQueue {
    private val waiting = mutableMapOf<PoolName, MutableList<Waiter>>()

    /** A request that waits. */
    class Waiter(val pool: PoolName, val priority: Int, val dispatch: () -> Unit)

    /** Lets a request wait. */
    fun add(waiter: Waiter) {
        val list = waiting.getOrPut(waiter.pool) { mutableListOf() }
        val after = list.indexOfFirst { it.priority > waiter.priority }
        if (after < 0) list += waiter else list.add(after, waiter)
    }

    /** Takes a request out. */
    fun remove(waiter: Waiter) {
        waiting[waiter.pool]?.remove(waiter)
    }

    /** Lets the first request of [pool] try again. */
    fun dispatchFirst(pool: PoolName) {
        waiting[pool]?.removeFirstOrNull()?.dispatch?.invoke()
    }
}
