package org.bilberryhead.protocol

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.Leaving
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.message.Snapshot
import org.bilberryhead.core.testing.testTables
import java.lang.management.ManagementFactory
import kotlin.random.Random

private const val SEED = 20_261
private const val FUZZ_CASES = 20_000
private const val MAXIMUM_FUZZ_BYTES = 300
private const val MEGABYTE = 1024L * 1024

private val sampleMessages: List<Message> = listOf(
    Hello(MessageCodec.PROTOCOL_VERSION, DaemonId("entry-1"), TableVersion(3)),
    Heartbeat(TableVersion(3), LoadReport(1, 2, 4, 1.5)),
    Leaving,
    Frame(AttemptId("a"), number = 3, payload = Payload.ofText("answer"), last = true),
    Snapshot(testTables()),
    Dispatch(
        attempt = AttemptId("a"),
        incarnation = Incarnation("run"),
        request = RequestId("r"),
        kind = RequestKind("plan"),
        stage = StageName("generate"),
        clientAccount = ClientAccount("granite"),
        remainingMillis = 4_000,
        idempotent = true,
        payload = Payload.ofText("{}"),
    ),
)

class MessageCodecTest :
    DescribeSpec({
        describe("each type of message") {
            for (message in sampleMessages) {
                it("is unchanged after encoding and decoding: ${message::class.simpleName}") {
                    MessageCodec.decode(MessageCodec.encode(message)) shouldBe Ok(message)
                }
            }
        }

        describe("bytes that are not a message") {
            it("cause no exception when they are random") {
                val random = Random(SEED)

                repeat(FUZZ_CASES) { MessageCodec.decode(random.nextBytes(random.nextInt(MAXIMUM_FUZZ_BYTES))) }
            }

            it("are reported as malformed when a message is truncated") {
                for (message in sampleMessages) {
                    val bytes = MessageCodec.encode(message)
                    for (length in 0 until bytes.size) {
                        MessageCodec.decode(bytes.copyOf(length)).getError()
                            .shouldBeInstanceOf<ProtocolError.Malformed>()
                    }
                }
            }

            it("cause no exception when bytes of a message are changed") {
                val random = Random(SEED)
                val encoded = sampleMessages.map { MessageCodec.encode(it) }

                repeat(FUZZ_CASES) {
                    val bytes = encoded.random(random).copyOf()
                    repeat(random.nextInt(1, 4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                    MessageCodec.decode(bytes)
                }
            }

            it("do not cause the announced length to be allocated") {
                // CBOR headers of a byte string, text, list and map, each with the 32-bit length 0x7fffffff
                val announcedLengths = listOf(0x5a, 0x7a, 0x9a, 0xba).map { type ->
                    byteArrayOf(type.toByte(), 0x7f, -1, -1, -1, 1)
                }
                val encoded = MessageCodec.encode(sampleMessages.last())
                val inMessage = announcedLengths.flatMap { length ->
                    encoded.indices.map { encoded.copyOf(it) + length }
                }

                val before = allocatedBytes()
                (announcedLengths + inMessage).forEach { MessageCodec.decode(it) }

                (allocatedBytes() - before) shouldBeLessThan 256 * MEGABYTE
            }

            it("are reported as malformed when lists are nested too deeply") {
                // 0x9f starts a CBOR list of indefinite length
                val nested = ByteArray(100_000) { 0x9f.toByte() }

                MessageCodec.decode(nested).getError().shouldBeInstanceOf<ProtocolError.Malformed>()
            }
        }
    })

private fun allocatedBytes(): Long =
    (ManagementFactory.getThreadMXBean() as com.sun.management.ThreadMXBean).currentThreadAllocatedBytes
