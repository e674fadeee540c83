package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.ApiKey
import org.bilberryhead.core.serving.CallerIdentity
import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.core.serving.ServingRoute
import org.bilberryhead.forwarding.caller.CallerDisconnectListener
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.RequestHandler
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Finds out what a request is and who sends it, and starts to serve it or turns it away. */
internal class RequestAdmission(private val context: ServingContext) : RequestHandler {
    private val runs = mutableSetOf<RequestRun>()

    /** Requests that are being served. */
    val runningCount: Int get() = runs.size

    /** When the process ends, or null while it is not asked to. */
    var drainDeadline: Instant? = null

    /** Refuses what was not sent to an endpoint yet. */
    fun refuseUnsent() = runs.toList().forEach { it.refuseIfUnsent() }

    /** Ends every request with what is known of it. */
    fun terminateAll() = runs.toList().forEach { it.terminate() }

    override fun serve(request: CallerRequest, response: ResponseWriter): CallerDisconnectListener {
        val matcher = context.matcher ?: return refuse(request, response, "no configuration is known yet", START_WAIT)
        val id = request.headers[WireHeaders.REQUEST_ID]
        if (id.isNullOrBlank()) return reject(request, response, BAD_REQUEST, "no request id")
        val route = matcher.route(request.host, request.path)
            ?: return reject(request, response, NOT_FOUND, "no route", matcher)
        val identity = matcher.identity(route, request.headers[WireHeaders.API_KEY]?.let { ApiKey(it.trim()) })
        if (identity is CallerIdentity.Unknown) return reject(request, response, UNAUTHORISED, "unknown key", matcher)
        if (!isInTime(route)) return refuse(request, response, "the process ends soon", DRAIN_WAIT)
        return start(admitted(RequestId(id), request, route, identity, matcher), response)
    }

    /** While the process drains, takes only what it can most likely finish. */
    private fun isInTime(route: ServingRoute): Boolean {
        val left = (drainDeadline ?: return true) - context.thread.now()
        val usual = if (route.repeatRule.isStream) STREAM_TIME else route.objective * OBJECTIVES
        return left > minOf(usual, route.timeout)
    }

    private fun start(request: AdmittedRequest, response: ResponseWriter): CallerDisconnectListener {
        val now = context.thread.now()
        context.retryBudget.countRequest(request.pool, now)
        request.route.stages.mapTo(mutableSetOf<PoolName>()) { it.pool }
            .forEach { context.retryBudget.countRequest(it, now) }
        val run = RequestRun(request, response, context) { runs -= it }
        runs += run
        run.start()
        return run
    }

    private fun admitted(
        id: RequestId,
        request: CallerRequest,
        route: ServingRoute,
        identity: CallerIdentity,
        matcher: RouteMatcher,
    ): AdmittedRequest {
        val entry = (identity as? CallerIdentity.Known)?.entry
        val headers = request.headers
        return AdmittedRequest(
            id = id,
            caller = request,
            route = route,
            pool = matcher.drawPool(route, context.random),
            account = entry?.account,
            priority = entry?.priority ?: route.priority,
            prompt = HeaderValues.prompt(headers[WireHeaders.TOKEN_COUNTS], headers[WireHeaders.PROMPT_PARTS]),
            deadline = headers[WireHeaders.DEADLINE_MS]?.trim()?.toLongOrNull()
                ?.let { request.receivedAt + it.milliseconds },
            configurationVersion = matcher.configuration.version,
        )
    }

    private fun refuse(
        request: CallerRequest,
        response: ResponseWriter,
        reason: String,
        wait: Duration,
    ): CallerDisconnectListener {
        val id = request.headers[WireHeaders.REQUEST_ID]
        context.decisions.write("request refused") { mapOf("request" to id, "reason" to reason) }
        response.send(Refusals.notRun(id, reason, wait))
        return NOTHING_TO_DO
    }

    private fun reject(
        request: CallerRequest,
        response: ResponseWriter,
        status: Int,
        reason: String,
        matcher: RouteMatcher? = null,
    ): CallerDisconnectListener {
        val id = request.headers[WireHeaders.REQUEST_ID]
        context.decisions.write("request rejected") {
            mapOf(
                "request" to id,
                "status" to status,
                "reason" to reason,
                "host" to request.host,
                "path" to request.path,
                "configuration" to matcher?.configuration?.version,
            )
        }
        response.send(Refusals.rejected(status, id, reason))
        return NOTHING_TO_DO
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORISED = 401
        const val NOT_FOUND = 404
        const val OBJECTIVES = 3

        /** Usual time of a long stream with its stages. */
        val STREAM_TIME = 5.seconds
        val DRAIN_WAIT = 50.milliseconds
        val START_WAIT = 500.milliseconds
        val NOTHING_TO_DO = CallerDisconnectListener { }
    }
}
