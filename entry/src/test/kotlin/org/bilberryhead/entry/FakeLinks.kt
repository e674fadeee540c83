package org.bilberryhead.entry

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
import java.util.concurrent.ConcurrentLinkedQueue

/** Plays the sidecars of all endpoints: records what is sent and answers each dispatch with [respond]. */
internal class FakeLinks(var respond: (Dispatch) -> List<AttemptMessage> = { answer(it, "{\"done\":true}") }) :
    LinkSource {
    val sent = ConcurrentLinkedQueue<Pair<EndpointId, AttemptMessage>>()
    val outcomes = HashMap<AttemptLocation, OutcomeReport>()
    val dispatches: List<Dispatch> get() = sent.mapNotNull { it.second as? Dispatch }

    override fun link(endpoint: EndpointId): AttemptLink = object : AttemptLink {
        override fun send(incarnation: Incarnation, message: AttemptMessage, subscriber: AttemptSubscriber) {
            sent += endpoint to message
            if (message is Dispatch) respond(message).forEach { subscriber.deliver(RequestEvent.MessageArrived(it)) }
        }

        override fun forget(attempt: AttemptId, subscriber: AttemptSubscriber) = Unit

        override suspend fun askOutcome(location: AttemptLocation): OutcomeReport =
            outcomes[location] ?: OutcomeReport(location.attempt, AttemptOutcome.NEVER_SEEN)
    }

    companion object {
        fun answer(dispatch: Dispatch, vararg parts: String): List<AttemptMessage> =
            answerBytes(dispatch, parts.map { it.encodeToByteArray() })

        fun answerBytes(dispatch: Dispatch, parts: List<ByteArray>): List<AttemptMessage> =
            parts.mapIndexed { number, part ->
                Frame(dispatch.attempt, number, Payload(part), last = number == parts.lastIndex)
            }
    }
}
