package org.bilberryhead.sidecar

import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.message.Dispatch

val TEST_INCARNATION = Incarnation("run-1")

internal fun testDispatch(attempt: String = "entry.1:0:0", streamed: Boolean = false, remainingMillis: Long = 5_000) =
    Dispatch(
        attempt = AttemptId(attempt),
        incarnation = TEST_INCARNATION,
        request = RequestId(attempt.substringBefore(':')),
        kind = RequestKind("refill"),
        stage = StageName("record"),
        clientAccount = ClientAccount("granite"),
        remainingMillis = remainingMillis,
        idempotent = false,
        payload = Payload.ofText("{\"bin\":4}"),
        streamed = streamed,
    )
