package org.bilberryhead.forwarding.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.handler.codec.http.DefaultHttpHeaders
import org.bilberryhead.core.memory.MemoryBudget
import org.bilberryhead.core.memory.MemoryKind
import org.bilberryhead.core.memory.MemoryReservation

private const val PART_BYTES = 16 * 1024

class ResponseCollectorTest :
    DescribeSpec({
        describe("responses of other entries, stage endpoints and the store that go on without an end") {
            it("end with an unknown outcome, once each, and hold no more than their limit") {
                val memory = MemoryBudget(capacity = 1024 * 1024)
                val outcomes = mutableListOf<ExchangeOutcome>()
                val collectors = List(4) { ResponseCollector(memory) { outcomes += it } }
                repeat(100) {
                    collectors.forEach { it.bodyPartReceived(ByteArray(PART_BYTES)) }
                    memory.held(MemoryKind.OTHER_RESPONSE) shouldBeLessThanOrEqual
                        memory.limit(MemoryKind.OTHER_RESPONSE) + collectors.size * MemoryReservation.SMALL_BYTES
                }
                collectors.forEach { it.exchangeFailed(ExchangeFailure.Broken("closed")) }
                outcomes shouldHaveSize collectors.size
                outcomes.forEach { it.shouldBeInstanceOf<ExchangeOutcome.Unknown>() }
                memory.held shouldBe 0
            }

            it("return their memory when nobody waits for them any more, and report nothing then") {
                val memory = MemoryBudget(capacity = 1024 * 1024)
                val outcomes = mutableListOf<ExchangeOutcome>()
                val collector = ResponseCollector(memory) { outcomes += it }
                collector.headReceived(ResponseHead(200, DefaultHttpHeaders()))
                collector.bodyPartReceived(ByteArray(PART_BYTES))
                collector.cancel()
                collector.responseCompleted()
                outcomes shouldHaveSize 0
                memory.held shouldBe 0
            }

            it("do not keep a small response from being complete") {
                val memory = MemoryBudget(capacity = 1024 * 1024)
                val large = ResponseCollector(memory) { }
                repeat(100) { large.bodyPartReceived(ByteArray(PART_BYTES)) }
                val outcomes = mutableListOf<ExchangeOutcome>()
                val small = ResponseCollector(memory) { outcomes += it }
                small.headReceived(ResponseHead(200, DefaultHttpHeaders()))
                small.bodyPartReceived("whole".encodeToByteArray())
                small.responseCompleted()
                outcomes.single().shouldBeInstanceOf<ExchangeOutcome.Completed>().response.text shouldBe "whole"
            }
        }
    })
