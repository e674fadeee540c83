package org.bilberryhead.sidecar

import com.github.michaelbull.result.getOrElse
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Frame
import org.bilberryhead.protocol.MessageCodec

/** Loads and compiles the code that the first attempt needs, so that it is not delayed. Does not call the endpoint. */
internal object WarmUp {
    private const val ROUNDS = 20
    private const val TIMEOUT_MILLIS = 500L

    /** Runs the message codec, and the HTTP client against the sidecar's own [operations] server. */
    suspend fun run(operations: SocketAddress, incarnation: Incarnation) {
        val dispatch = dispatch(incarnation)
        EndpointCaller("http://$operations").use { caller ->
            repeat(ROUNDS) { round ->
                encodeAndDecode(dispatch)
                caller.call(dispatch.copy(streamed = round % 2 == 0)) { }
            }
        }
    }

    private fun encodeAndDecode(dispatch: Dispatch) {
        for (message in listOf(dispatch, Frame(dispatch.attempt, 0, dispatch.payload, last = true))) {
            MessageCodec.decode(MessageCodec.encode(message)).getOrElse { error("codec: $it") }
        }
    }

    private fun dispatch(incarnation: Incarnation) = Dispatch(
        attempt = AttemptId("warm-up"),
        incarnation = incarnation,
        request = RequestId("warm-up"),
        kind = RequestKind("warm-up"),
        stage = StageName("warm-up"),
        clientAccount = ClientAccount("warm-up"),
        remainingMillis = TIMEOUT_MILLIS,
        idempotent = true,
        payload = Payload.ofText("{}"),
    )
}
