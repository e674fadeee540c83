package org.bilberryhead.protocol

import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.Frame

class MessageCodecTest :
    DescribeSpec({
        describe("a frame") {
            it("is the same after encoding and decoding") {
                val frame = Frame(AttemptId("a"), number = 3, payload = Payload.ofText("answer"), last = true)

                MessageCodec.decode(MessageCodec.encode(frame)) shouldBe Ok(frame)
            }
        }
    })
