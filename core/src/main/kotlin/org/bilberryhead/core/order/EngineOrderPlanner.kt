package org.bilberryhead.core.order

/**
 * Compares what an engine should have loaded with what it has, and names the next order. Loads come before unloads, so
 * that the engine never stands without a model, and the role comes last.
 */
object EngineOrderPlanner {
    /** Returns the next order on the way from [loaded] to [wanted], or null when nothing differs. */
    fun next(wanted: DesiredEngineState, loaded: EngineState): Order? =
        load(wanted, loaded) ?: unload(wanted, loaded) ?: changeRole(wanted, loaded)

    private fun load(wanted: DesiredEngineState, loaded: EngineState): Order? {
        if (wanted.model !in loaded.models) return Order.LoadModel(wanted.model)
        return (wanted.adapters - loaded.adapters).minOrNull()?.let(Order::LoadAdapter)
    }

    private fun unload(wanted: DesiredEngineState, loaded: EngineState): Order? {
        val adapter = (loaded.adapters - wanted.adapters).minOrNull()
        if (adapter != null) return Order.UnloadAdapter(adapter)
        return (loaded.models - wanted.model).minOrNull()?.let(Order::UnloadModel)
    }

    private fun changeRole(wanted: DesiredEngineState, loaded: EngineState): Order? {
        val role = wanted.role ?: return null
        return if (role == loaded.role) null else Order.SetRole(role)
    }
}
