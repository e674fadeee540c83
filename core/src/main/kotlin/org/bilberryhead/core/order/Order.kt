package org.bilberryhead.core.order

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order to an engine. Orders are idempotent: each names the state to reach. */
@Serializable
sealed interface Order {
    /** Whether the engine reads weights from the weight store to execute the order. */
    val loadsWeights: Boolean get() = false

    /** Name of the kind of order, for logs and metrics. */
    val label: String

    /** Load [model] in addition to what is loaded. */
    @Serializable
    @SerialName("load_model")
    data class LoadModel(val model: ModelVersion) : Order {
        override val loadsWeights: Boolean get() = true
        override val label: String get() = "load_model"

        override fun toString(): String = "$label $model"
    }

    /** Load [adapter] in addition to what is loaded. */
    @Serializable
    @SerialName("load_adapter")
    data class LoadAdapter(val adapter: AdapterName) : Order {
        override val loadsWeights: Boolean get() = true
        override val label: String get() = "load_adapter"

        override fun toString(): String = "$label $adapter"
    }

    /** Unload [adapter]. */
    @Serializable
    @SerialName("unload_adapter")
    data class UnloadAdapter(val adapter: AdapterName) : Order {
        override val label: String get() = "unload_adapter"

        override fun toString(): String = "$label $adapter"
    }

    /** Unload [model]. */
    @Serializable
    @SerialName("unload_model")
    data class UnloadModel(val model: ModelVersion) : Order {
        override val label: String get() = "unload_model"

        override fun toString(): String = "$label $model"
    }

    /** Change the role to [role]. */
    @Serializable
    @SerialName("set_role")
    data class SetRole(val role: EngineRole) : Order {
        override val label: String get() = "set_role"

        override fun toString(): String = "$label $role"
    }
}

/** Returns the state of the engine after it has executed [order]. */
fun EngineState.after(order: Order): EngineState = when (order) {
    is Order.LoadModel -> copy(models = models + order.model)
    is Order.LoadAdapter -> copy(adapters = adapters + order.adapter)
    is Order.UnloadAdapter -> copy(adapters = adapters - order.adapter)
    is Order.UnloadModel -> copy(models = models - order.model)
    is Order.SetRole -> copy(role = order.role)
}
