package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName

/** Requests that wait for a connection to an endpoint of their pool, the most urgent first. */
internal class WaitingRoom {
    private val waiting = mutableMapOf<PoolName, MutableList<Place>>()

    /** A request that waits. */
    class Place(val pool: PoolName, val priority: Int, val tryAgain: () -> Unit)

    /** Lets a request wait. */
    fun enter(place: Place) {
        val list = waiting.getOrPut(place.pool) { mutableListOf() }
        val after = list.indexOfFirst { it.priority > place.priority }
        if (after < 0) list += place else list.add(after, place)
    }

    /** Takes a request out. */
    fun leave(place: Place) {
        waiting[place.pool]?.remove(place)
    }

    /** Lets the first request of [pool] try again. */
    fun roomFreed(pool: PoolName) {
        waiting[pool]?.removeFirstOrNull()?.tryAgain?.invoke()
    }
}
