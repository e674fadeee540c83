package org.bilberryhead.forwarding.fuzz

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.property.RandomSource
import io.kotest.property.arbitrary.take
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Decodes mutated messages, with all decoders at the same time. `-Dfuzz.seed=N` sets the seed, `-Dfuzz.time=10m` the
 * time.
 */
class DecoderFuzzTest :
    DescribeSpec({
        val seed = System.getProperty("fuzz.seed")?.toLong() ?: 1
        val time = System.getProperty("fuzz.time")?.let(Duration::parse) ?: 1.seconds
        val limit = time + 60.seconds
        val targets = WireTargets.all + HttpTargets.all
        val counts by lazy { targets.map { target -> onSmallStack { decodeMutations(target, seed, time) } } }

        describe("the decoder of") {
            targets.forEachIndexed { index, target ->
                val name = "${target.name} lets no exception through, whatever it reads"
                it(name).config(timeout = limit, invocationTimeout = limit) {
                    val count = counts[index].await()
                    println("fuzzed ${target.name}: $count inputs, seed $seed")
                    count shouldBeGreaterThan 0
                }
            }
        }
    })

private const val BATCH = 200

/** Stack of the threads of a deployed entry, in bytes. */
private const val STACK_BYTES = 256L * 1024

private fun <T> onSmallStack(block: () -> T): Deferred<T> {
    val result = CompletableDeferred<T>()
    val run = Runnable { runCatching(block).fold(result::complete, result::completeExceptionally) }
    Thread(null, run, "fuzz", STACK_BYTES).start()
    return result
}

/** Decodes mutated inputs for [time] and returns their number. */
private fun decodeMutations(target: FuzzTarget, seed: Long, time: Duration): Int {
    val start = TimeSource.Monotonic.markNow()
    val mutations = mutationsOf(target.corpus)
    var count = 0
    while (count == 0 || start.elapsedNow() < time) {
        for (input in mutations.take(BATCH, RandomSource.seeded(seed + count))) {
            decode(target, input, seed)
            count++
        }
    }
    return count
}

@Suppress("TooGenericExceptionCaught") // reports the input of whatever the decoder throws
private fun decode(target: FuzzTarget, input: ByteArray, seed: Long) {
    try {
        target.decode(input)
    } catch (failure: Throwable) {
        val text = "${target.name}, seed $seed, input ${input.toHexString()}: ${input.decodeToString().take(500)}"
        throw AssertionError(text, failure)
    }
}
