package org.bilberryhead.core.order

import kotlinx.serialization.Serializable
import org.bilberryhead.core.tables.EngineConfiguration

/** Name and version of a model, such as `advisor-v3`. */
@Serializable
@JvmInline
value class ModelVersion(val value: String) : Comparable<ModelVersion> {
    override fun compareTo(other: ModelVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of an adapter that is loaded on top of a model. */
@Serializable
@JvmInline
value class AdapterName(val value: String) : Comparable<AdapterName> {
    override fun compareTo(other: AdapterName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Role of an engine, such as `prefill` or `decode`. */
@Serializable
@JvmInline
value class EngineRole(val value: String) {
    override fun toString(): String = value
}

/**
 * What an engine should have loaded, according to its pool's row.
 *
 * @property role null if the engine may have any role
 */
data class DesiredEngineState(
    val model: ModelVersion,
    val adapters: Set<AdapterName> = emptySet(),
    val role: EngineRole? = null,
) {
    companion object {
        /** Returns the desired state that [configuration] describes. */
        fun of(configuration: EngineConfiguration): DesiredEngineState = DesiredEngineState(
            model = ModelVersion(configuration.model),
            adapters = configuration.adapters.map(::AdapterName).toSet(),
            role = configuration.role?.let(::EngineRole),
        )
    }
}

/**
 * What an engine reports as loaded.
 *
 * @property models more than one while an old model is not unloaded yet
 * @property role null if the engine has none yet
 */
@Serializable
data class EngineState(
    val models: Set<ModelVersion> = emptySet(),
    val adapters: Set<AdapterName> = emptySet(),
    val role: EngineRole? = null,
)
