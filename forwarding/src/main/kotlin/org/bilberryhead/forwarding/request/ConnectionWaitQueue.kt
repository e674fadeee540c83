package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName

/**
 * Requests that wait until an endpoint of their pool can take another exchange. They are ordered by ascending priority
 * number, and by arrival within one priority.
 */
internal class ConnectionWaitQueue {
    private val waiting = mutableMapOf<PoolName, MutableList<Waiter>>()
    private val dispatchingPools = mutableSetOf<PoolName>()

    /**
     * A waiting request; [dispatch] selects an endpoint for it again, and removes it from the queue unless it has to
     * wait on.
     *
     * @property isSelective whether it does not use every endpoint of its pool, so that one behind it may find one
     */
    class Waiter(val pool: PoolName, val priority: Int, val isSelective: Boolean, val dispatch: () -> Unit)

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

    /** Returns whether requests of [pool] wait. */
    fun hasWaiters(pool: PoolName): Boolean = !waiting[pool].isNullOrEmpty()

    /** Dispatches the waiters of [pool] in order, until the next one finds no free endpoint. */
    fun dispatch(pool: PoolName) {
        // A dispatch can free a connection at once; the dispatch in progress then goes on with it.
        if (!dispatchingPools.add(pool)) return
        try {
            dispatchInOrder(waiting[pool].orEmpty())
        } finally {
            dispatchingPools -= pool
        }
    }

    /** Dispatches the waiters of every pool. To be called when the endpoints or their limits have changed. */
    fun dispatchAll() = waiting.keys.toList().forEach(::dispatch)

    private fun dispatchInOrder(list: List<Waiter>) {
        val waitingOn = mutableSetOf<Waiter>()
        while (true) {
            val next = list.firstOrNull { it !in waitingOn } ?: return
            next.dispatch()
            if (next !in list) continue
            if (!next.isSelective) return
            waitingOn += next
        }
    }
}
