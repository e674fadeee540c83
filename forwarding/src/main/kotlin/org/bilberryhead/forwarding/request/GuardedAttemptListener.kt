package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.AttemptOutcome
import org.bilberryhead.core.serving.StreamEvent
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead

/** Passes the events of an attempt on to [listener]; [guard] runs each call and handles its exceptions. */
internal class GuardedAttemptListener(
    private val listener: AttemptListener,
    private val guard: (call: () -> Unit) -> Unit,
) : AttemptListener {
    override fun responseReceived(response: FullResponse) = guard { listener.responseReceived(response) }

    override fun eventReceived(head: ResponseHead, event: StreamEvent) = guard { listener.eventReceived(head, event) }

    override fun streamCompleted(head: ResponseHead) = guard { listener.streamCompleted(head) }

    override fun attemptFailed(outcome: AttemptOutcome, reason: String, response: FullResponse?) =
        guard { listener.attemptFailed(outcome, reason, response) }
}
