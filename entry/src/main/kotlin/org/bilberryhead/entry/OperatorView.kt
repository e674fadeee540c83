package org.bilberryhead.entry

import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.membership.Eligibility
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.operator.EndpointState
import org.bilberryhead.operator.EndpointStatus
import org.bilberryhead.operator.EntryStatus
import org.bilberryhead.operator.Explanation
import org.bilberryhead.operator.StageExplanation

/** Builds the status and the routing explanations of an entry for operators; read-only. */
class OperatorView(private val control: ControlPlane, private val activity: EntryActivity) {
    /** Returns the status of the entry, its peers and its endpoints. */
    suspend fun status(): EntryStatus {
        val view = control.view()
        val tables = control.tables
        return EntryStatus(
            entry = control.settings.id,
            dataCentre = control.settings.dataCentre,
            tableVersion = tables.version,
            tableAgeMillis = (control.clock.now() - control.tablesConfirmedAt).inWholeMilliseconds,
            storeReachable = control.isStoreReachable,
            draining = activity.isDraining,
            requestsInFlight = activity.requestsInFlight,
            peers = view.peers,
            endpoints = tables.pools.values.flatMap { pool -> pool.endpoints.map { status(pool, it, view) } },
        )
    }

    /** Returns where a request of [kind] would be routed now, or null when no route serves that kind. */
    fun explain(kind: RequestKind): Explanation? {
        val tables = control.tables
        val route = tables.routes[kind] ?: return null
        return Explanation(kind, tables.version, route.stages.map { explain(route, it, tables) })
    }

    private fun explain(route: Route, stage: Stage, tables: Tables): StageExplanation {
        val pool = tables.poolOf(stage)
            ?: return StageExplanation(stage.name, stage.pool, 0, null, "no pool is named '${stage.pool}'")
        val request = SelectionRequest(RequestId("explain"), pool, route.defaultDeadline, route.objective)
        val selection = control.selector.choose(request, control.clock.now())
        return when (selection) {
            is Selection.Chosen ->
                StageExplanation(
                    stage.name,
                    pool.name,
                    selection.candidates,
                    selection.candidate.endpoint,
                    selection.reason,
                )
            is Selection.NoneAvailable ->
                StageExplanation(stage.name, pool.name, selection.candidates, null, selection.reason)
        }
    }

    private fun status(pool: Pool, endpoint: Endpoint, view: ControlView) = EndpointStatus(
        endpoint = endpoint.id,
        pool = pool.name,
        dataCentre = endpoint.dataCentre,
        state = when (control.directory.eligibility(endpoint.id, pool.name)) {
            Eligibility.ELIGIBLE -> EndpointState.SERVING
            Eligibility.VM_LEAVING, Eligibility.SIDECAR_LEAVING -> EndpointState.LEAVING
            Eligibility.NOT_CONNECTED, Eligibility.NOT_IN_POOL -> EndpointState.DISCONNECTED
        },
        tableVersion = view.sidecarVersions[endpoint.id],
        load = view.loadReports[endpoint.id],
    )
}
