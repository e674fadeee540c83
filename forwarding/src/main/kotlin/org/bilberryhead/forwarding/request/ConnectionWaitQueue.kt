package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName

/**
 * Requests that wait until an endpoint of their pool can take another exchange. They are ordered by ascending priority
 * number, and by arrival within one priority.
 */
internal class ConnectionWaitQueue {
    private val waiting = mutableMapOf<PoolName, MutableList<Waiter>>()

    /** A waiting request; [dispatch] selects an endpoint for it again. */
    class Waiter(val pool: PoolName, val priority: Int, val dispatch: () -> Unit)

    /** Adds [waiter] behind the waiters of its pool that are as urgent or more urgent. */
    fun add(waiter: Waiter) {
        val list = waiting.getOrPut(waiter.pool) { mutableListOf() }
        val insertIndex = list.indexOfFirst { it.priority > waiter.priority }
        if (insertIndex < 0) list += waiter else list.add(insertIndex, waiter)
    }

    /** Removes [waiter], if it still waits. */
    fun remove(waiter: Waiter) {
        waiting[waiter.pool]?.remove(waiter)
    }

    /** Removes the first waiter of [pool], if there is one, and dispatches it. */
    fun dispatchFirst(pool: PoolName) {
        waiting[pool]?.removeFirstOrNull()?.dispatch?.invoke()
    }
}
