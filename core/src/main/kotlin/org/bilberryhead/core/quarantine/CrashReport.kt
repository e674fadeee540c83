package org.bilberryhead.core.quarantine

import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.serving.PromptPartId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/**
 * Identifies a crash: a run of an endpoint crashes at most once.
 *
 * @property startedAt when the run of the endpoint started, in milliseconds since 1970
 */
data class CrashId(val endpoint: EndpointId, val startedAt: Long)

/**
 * What one entry knows of a crash. The reports of several entries on the same crash add up.
 *
 * @property suspects shared parts of the prompts that the endpoint was about to answer when it crashed, without those
 *   that the entry has cleared
 * @property cleared suspects of this crash, also of other entries, that were answered successfully since
 */
data class CrashReport(
    val crash: CrashId,
    val suspects: Set<PromptPartId> = emptySet(),
    val cleared: Set<PromptPartId> = emptySet(),
)

/**
 * Parts of prompts that are not sent to endpoints together.
 *
 * @property parts one part, or several of which one is the cause and that were in the same crashes so far; prompts that
 *   have only some of these may be sent, and tell which one it is
 * @property crashes the crashes for which they are held responsible
 * @property until when the quarantine ends unless there is new evidence
 */
data class QuarantinedParts(val parts: Set<PromptPartId>, val crashes: Set<CrashId>, val until: Instant)

/**
 * Limits of the quarantine.
 *
 * @property crashes number of crashes since its last success from which on a part is quarantined
 * @property crashesOfTied the same for parts that explain overlapping crashes equally well, and for parts that have
 *   succeeded before
 * @property maximumTogether largest number of parts that stay quarantined only together from [crashesOfTied] crashes on
 * @property succeededSpan least time between the first and the last of the crashes of a part that has succeeded before;
 *   endpoints that fail together for another reason do so in a shorter time
 * @property retention time after which a crash no longer counts, and a quarantine without new evidence ends
 * @property maximumCrashes largest number of crashes that are remembered
 * @property maximumSuspects largest number of parts that are remembered for all crashes together; the prompts that fit
 *   into the heads of several requests
 * @property maximumSucceeded largest number of parts of which a success is remembered
 */
data class QuarantineLimits(
    val crashes: Int = 3,
    val crashesOfTied: Int = 5,
    val maximumTogether: Int = 2,
    val succeededSpan: Duration = 5.seconds,
    val retention: Duration = 10.minutes,
    val maximumCrashes: Int = 64,
    val maximumSuspects: Int = 32_768,
    val maximumSucceeded: Int = 4_000,
)
