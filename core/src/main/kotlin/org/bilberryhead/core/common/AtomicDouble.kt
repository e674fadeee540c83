package org.bilberryhead.core.common

import java.util.concurrent.atomic.AtomicLong

/** A floating-point number that several threads can read and update. Lock-free. */
class AtomicDouble(initial: Double = 0.0) {
    private val bits = AtomicLong(initial.toRawBits())

    /** Returns the current value. */
    fun get(): Double = Double.fromBits(bits.get())

    /** Sets the value. */
    fun set(value: Double) = bits.set(value.toRawBits())

    /** Atomically replaces the value by the result of [next], which may be called more than once. */
    fun update(next: (Double) -> Double) {
        while (true) {
            val before = bits.get()
            val after = next(Double.fromBits(before)).toRawBits()
            if (bits.compareAndSet(before, after)) return
        }
    }
}
