package org.bilberryhead.core.serving

import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.SocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

internal fun endpointEntry(
    id: String,
    dataCentre: String = "x",
    isDraining: Boolean = false,
    startedAt: Long = 1,
    slots: Int = 4,
    sequence: Long? = null,
) = EndpointEntry(
    id = EndpointId(id),
    pool = PoolName("p"),
    address = SocketAddress("10.0.0.1", 80),
    dataCentre = DataCentre(dataCentre),
    slots = slots,
    isDraining = isDraining,
    startedAt = startedAt,
    sequence = sequence,
)

internal fun stagePiece(
    request: String,
    index: Int = 0,
    latestStart: Instant,
    latestUsefulStart: Instant = latestStart + 10.seconds,
    resultBytes: Long = 100,
    priority: Int = 0,
    preferred: String? = null,
    stage: Int = 0,
) = StagePiece(
    request = RequestId(request),
    stage = stage,
    index = index,
    key = "k",
    inputs = emptyList(),
    priority = priority,
    latestStart = latestStart,
    deadline = latestUsefulStart,
    latestUsefulStart = latestUsefulStart,
    resultBytes = resultBytes,
    preferredDataCentre = preferred?.let(::DataCentre),
)

internal fun pieceProfile(
    batchSize: Int = 4,
    resultMemoryBytes: Double = 1_000.0,
    callOverhead: Duration = 240.milliseconds,
    timePerPiece: Duration = 10.milliseconds,
) = PieceProcessingProfile(
    concurrentCalls = 1,
    queueLength = 2,
    batchSize = batchSize,
    callOverhead = callOverhead,
    timePerPiece = timePerPiece,
    resultMemoryBytes = resultMemoryBytes,
    resultRetention = 4.seconds,
)
