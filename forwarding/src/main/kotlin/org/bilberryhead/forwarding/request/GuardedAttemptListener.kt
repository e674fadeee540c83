package org.bilberryhead.forwarding.request

import org.bilberryhead.core.serving.StreamEvent
import org.bilberryhead.forwarding.http.FullResponse
import org.bilberryhead.forwarding.http.ResponseHead

/** Passes the events of an attempt on to [listener]; [guard] runs each call and handles its exceptions. */
internal class GuardedAttemptListener(
    private val listener: AttemptListener,
    private val guard: (call: () -> Unit) -> Unit,
) : AttemptListener {
    override fun responseReceived(attempt: Attempt, response: FullResponse) =
        guard { listener.responseReceived(attempt, response) }

    override fun eventReceived(attempt: Attempt, head: ResponseHead, event: StreamEvent) =
        guard { listener.eventReceived(attempt, head, event) }

    override fun streamCompleted(attempt: Attempt, head: ResponseHead) =
        guard { listener.streamCompleted(attempt, head) }

    override fun attemptFailed(attempt: Attempt, failure: AttemptFailure, response: FullResponse?) =
        guard { listener.attemptFailed(attempt, failure, response) }
}
