package org.bilberryhead.operator

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion

/** Where a request of a kind would go now, and why. */
@Serializable
data class Explanation(val kind: RequestKind, val tableVersion: TableVersion, val stages: List<StageExplanation>)

/** Which endpoint would run a stage now, and why. [chosen] is null when none can. */
@Serializable
data class StageExplanation(
    val stage: StageName,
    val pool: PoolName,
    val candidates: Int,
    val chosen: EndpointId?,
    val why: String,
)
