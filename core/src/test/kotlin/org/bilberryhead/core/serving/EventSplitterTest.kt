package org.bilberryhead.core.serving

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll

class EventSplitterTest :
    DescribeSpec({
        describe("a stream of events") {
            val text = "id: 7\ndata: a\n\nid: 8\r\ndata: b\r\n\r\nid: 9\ndata: partial"

            it("is split at blank lines, with LF and CRLF line ends") {
                val splitter = EventSplitter()
                val events = splitter.add(text.encodeToByteArray())
                events.map { it.id } shouldContainExactly listOf(7L, 8L)
                splitter.hasPartialEvent shouldBe true
            }

            it("produces the same events for any split of its bytes") {
                val expected = EventSplitter().add(text.encodeToByteArray()).map { it.bytes.decodeToString() }
                checkAll(100, Arb.list(Arb.int(1..9), 0..30)) { lengths ->
                    val splitter = EventSplitter()
                    var rest = text.encodeToByteArray()
                    val events = mutableListOf<String>()
                    for (length in lengths + text.length) {
                        val part = rest.take(length).toByteArray()
                        rest = rest.drop(part.size).toByteArray()
                        events += splitter.add(part).map { it.bytes.decodeToString() }
                    }
                    events shouldContainExactly expected
                }
            }
        }

        describe("the order of events") {
            fun event(id: Long?) = StreamEvent(ByteArray(0), id)

            it("accepts the next number and refuses a gap or a repetition") {
                val order = EventOrder(lastReceivedByCaller = null)
                order.recordNext(event(4)) shouldBe true
                order.recordNext(event(5)) shouldBe true
                order.recordNext(event(5)) shouldBe false
                order.recordNext(event(7)) shouldBe false
                order.recordNext(event(6)) shouldBe true
                order.lastDelivered shouldBe 6
            }

            it("refuses an event without a number after one with a number, or where all must have one") {
                val order = EventOrder(lastReceivedByCaller = null)
                order.recordNext(event(null)) shouldBe true
                order.recordNext(event(4)) shouldBe true
                order.recordNext(event(null)) shouldBe false
                EventOrder(lastReceivedByCaller = 9).recordNext(event(null)) shouldBe false
                EventOrder(lastReceivedByCaller = null, requiresNumbers = true).recordNext(event(null)) shouldBe false
            }

            it("continues after the last event that the caller has received") {
                EventOrder(lastReceivedByCaller = 9).recordNext(event(1)) shouldBe false
                EventOrder(lastReceivedByCaller = 9).recordNext(event(10)) shouldBe true
            }
        }
    })
