package org.bilberryhead.core.common

import java.util.concurrent.atomic.AtomicLong

/** A floating-point number that several threads can read and update. Lock-free. */
class AtomicDouble(initial: Double = 0.0) {
    private val bits = AtomicLong(initial.toRawBits())

    /** Returns the current value. */
    fun get(): Double = Double.fromBits(bits.get())

    /** Sets the value. */
    fun set(value: Double) = bits.set(value.toRawBits())

    /** Atomically replaces the value by the result of [next], which is called again if another thread updates first. */
    fun update(next: (Double) -> Double) {
        while (true) {
            val currentBits = bits.get()
            val updatedBits = next(Double.fromBits(currentBits)).toRawBits()
            if (bits.compareAndSet(currentBits, updatedBits)) return
        }
    }
}
