package org.bilberryhead.core.order

import kotlinx.serialization.Serializable
import org.bilberryhead.core.tables.EngineConfiguration

/** Names one version of a model, such as `advisor-v3`. */
@Serializable
@JvmInline
value class ModelVersion(val value: String) : Comparable<ModelVersion> {
    override fun compareTo(other: ModelVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Names an adapter on top of a model. */
@Serializable
@JvmInline
value class AdapterName(val value: String) : Comparable<AdapterName> {
    override fun compareTo(other: AdapterName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** What an engine does, such as `prefill` or `decode`. */
@Serializable
@JvmInline
value class EngineRole(val value: String) {
    override fun toString(): String = value
}

/**
 * What an engine should have loaded, from its pool's row.
 *
 * @property role null when any role will do
 */
data class DesiredEngineState(
    val model: ModelVersion,
    val adapters: Set<AdapterName> = emptySet(),
    val role: EngineRole? = null,
) {
    companion object {
        /** Returns what [row] of a pool asks for. */
        fun of(row: EngineConfiguration): DesiredEngineState = DesiredEngineState(
            model = ModelVersion(row.model),
            adapters = row.adapters.map(::AdapterName).toSet(),
            role = row.role?.let(::EngineRole),
        )
    }
}

/**
 * What an engine reports as loaded.
 *
 * @property models several while an old model is not unloaded yet
 * @property role null when the engine has none yet
 */
@Serializable
data class EngineState(
    val models: Set<ModelVersion> = emptySet(),
    val adapters: Set<AdapterName> = emptySet(),
    val role: EngineRole? = null,
)
