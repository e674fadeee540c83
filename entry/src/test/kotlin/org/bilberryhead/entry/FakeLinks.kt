package org.bilberryhead.entry

import kotlinx.coroutines.channels.Channel
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.message.AttemptMessage
import org.bilberryhead.core.message.AttemptOutcome
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.OutcomeReport
import org.bilberryhead.core.pipeline.RequestEvent
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration

/** Fake sidecars of all endpoints: records the sent messages and responds to each dispatch with [respond]. */
internal class FakeLinks(var respond: (Dispatch) -> List<AttemptMessage> = { frames(it, "{\"done\":true}") }) :
    LinkSource {
    val sent = ConcurrentLinkedQueue<Pair<EndpointId, AttemptMessage>>()

    /** The messages of [sent], for tests that wait for the next one. */
    val arrivals = Channel<AttemptMessage>(Channel.UNLIMITED)

    private val subscribers = ConcurrentHashMap<AttemptId, AttemptSubscriber>()
    val outcomes = HashMap<AttemptLocation, OutcomeReport>()
    val dispatches: List<Dispatch> get() = sent.mapNotNull { it.second as? Dispatch }

    /** Delivers [messages] about attempts that have been dispatched. */
    fun deliver(messages: List<AttemptMessage>) = messages.forEach {
        subscribers.getValue(it.attempt).deliver(RequestEvent.MessageArrived(it))
    }

    override fun link(endpoint: EndpointId): AttemptLink = object : AttemptLink {
        override fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber) {
            sent += endpoint to message
            subscribers[message.attempt] = subscriber
            arrivals.trySend(message)
            if (message is Dispatch) respond(message).forEach { subscriber.deliver(RequestEvent.MessageArrived(it)) }
        }

        override fun unsubscribe(attempt: AttemptId, subscriber: AttemptSubscriber) = Unit

        override suspend fun awaitFirstConnection(timeout: Duration) = Unit

        override suspend fun queryOutcome(location: AttemptLocation, timeout: Duration): OutcomeReport =
            outcomes[location] ?: OutcomeReport(location.attempt, AttemptOutcome.NEVER_SEEN)
    }

    companion object {
        fun frames(dispatch: Dispatch, vararg parts: String): List<AttemptMessage> =
            binaryFrames(dispatch, parts.map { it.encodeToByteArray() })

        fun binaryFrames(dispatch: Dispatch, parts: List<ByteArray>): List<AttemptMessage> =
            parts.mapIndexed { number, part ->
                Frame(dispatch.attempt, number, Payload(part), last = number == parts.lastIndex)
            }
    }
}
