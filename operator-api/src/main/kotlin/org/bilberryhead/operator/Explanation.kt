package org.bilberryhead.operator

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion

/** Where a request of [kind] would be routed now, stage by stage. */
@Serializable
data class Explanation(val kind: RequestKind, val tableVersion: TableVersion, val stages: List<StageExplanation>)

/**
 * The endpoint that would run a stage now.
 *
 * @property candidates number of endpoints that the choice was made from
 * @property chosen null when no endpoint is available
 * @property why reason of the choice, or why no endpoint is available
 */
@Serializable
data class StageExplanation(
    val stage: StageName,
    val pool: PoolName,
    val candidates: Int,
    val chosen: EndpointId?,
    val why: String,
)
