package org.bilberryhead.core.common

import java.util.concurrent.atomic.AtomicLong

/** A floating-point number that several threads may read and update without locks. */
class AtomicDouble(initial: Double = 0.0) {
    private val bits = AtomicLong(initial.toRawBits())

    /** Returns the present value. */
    fun get(): Double = Double.fromBits(bits.get())

    /** Sets the value. */
    fun set(value: Double) = bits.set(value.toRawBits())

    /** Replaces the value by [next] of it, as one step that no other update comes between. */
    fun update(next: (Double) -> Double) {
        while (true) {
            val before = bits.get()
            val after = next(Double.fromBits(before)).toRawBits()
            if (bits.compareAndSet(before, after)) return
        }
    }
}
