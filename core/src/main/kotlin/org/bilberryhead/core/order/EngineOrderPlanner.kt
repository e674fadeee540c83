package org.bilberryhead.core.order

/**
 * Compares the desired state of an engine with its actual state and chooses the next order. Models and adapters are
 * loaded before others are unloaded, so that the engine is never left without a model; the role is set last.
 */
object EngineOrderPlanner {
    /** Returns the next order on the way from [actual] to [desired], or null if none is needed. */
    fun next(desired: DesiredEngineState, actual: EngineState): Order? =
        nextLoad(desired, actual) ?: nextUnload(desired, actual) ?: nextRole(desired, actual)

    private fun nextLoad(desired: DesiredEngineState, actual: EngineState): Order? {
        if (desired.model !in actual.models) return Order.LoadModel(desired.model)
        return (desired.adapters - actual.adapters).minOrNull()?.let(Order::LoadAdapter)
    }

    private fun nextUnload(desired: DesiredEngineState, actual: EngineState): Order? {
        val adapter = (actual.adapters - desired.adapters).minOrNull()
        if (adapter != null) return Order.UnloadAdapter(adapter)
        return (actual.models - desired.model).minOrNull()?.let(Order::UnloadModel)
    }

    private fun nextRole(desired: DesiredEngineState, actual: EngineState): Order? {
        val role = desired.role ?: return null
        return if (role == actual.role) null else Order.SetRole(role)
    }
}
