package org.bilberryhead.forwarding.request

import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.serving.ApiKey
import org.bilberryhead.core.serving.CallerIdentity
import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.core.serving.ServingRoute
import org.bilberryhead.forwarding.caller.CallerListener
import org.bilberryhead.forwarding.caller.CallerRequest
import org.bilberryhead.forwarding.caller.LocalResponses
import org.bilberryhead.forwarding.caller.RequestHandler
import org.bilberryhead.forwarding.caller.ResponseWriter
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.WireHeaders
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Determines the route and the client account of each request, and starts to serve the request or refuses it. */
internal class RequestAdmission(private val context: ServingContext) : RequestHandler {
    private val executions = mutableSetOf<ForwardedRequestExecution>()

    /** Number of requests that are being served. */
    val runningCount: Int get() = executions.size

    /** Refuses every request that waits to be sent and may not be sent any more. */
    fun refuseBarred() = forEachExecution { it.refuseIfBarred() }

    /** Refuses every request that has not been sent to an endpoint. */
    fun refuseUnsent() = forEachExecution { it.refuseIfUnsent() }

    /** Ends every request immediately; the responses report whether the requests may have run. */
    fun terminateAll() = forEachExecution { it.terminate() }

    /** A failure for one request is none for the others. */
    private fun forEachExecution(action: (ForwardedRequestExecution) -> Unit) =
        executions.toList().forEach { context.thread.runGuarded("drain") { action(it) } }

    override fun serve(request: CallerRequest, response: ResponseWriter): CallerListener {
        var listener = IGNORE_DISCONNECT
        val isServed = context.thread.runGuarded("admission") { listener = startOrRefuse(request, response) }
        // A request that was started handles its own failures, so this one has not run.
        if (!isServed) listener = refuse(request, response, "unexpected failure", FAILURE_RETRY_AFTER)
        return listener
    }

    private fun startOrRefuse(request: CallerRequest, response: ResponseWriter): CallerListener {
        val matcher = context.matcher
            ?: return refuse(request, response, "no configuration is known yet", STARTUP_RETRY_AFTER)
        val id = request.headers[WireHeaders.REQUEST_ID]
        if (id.isNullOrBlank()) return reject(request, response, BAD_REQUEST, "no request id")
        val route = matcher.route(request.host, request.path)
            ?: return reject(request, response, NOT_FOUND, "no route", matcher)
        // Other blanks are part of the key.
        val identity = matcher.identity(route, request.headers[WireHeaders.API_KEY]?.let { ApiKey(it.trim(' ', '\t')) })
        if (identity is CallerIdentity.Unknown) return reject(request, response, UNAUTHORISED, "unknown key", matcher)
        return when {
            identity is CallerIdentity.NotSendable ->
                refuse(request, response, "the name of the client account cannot be sent", ACCOUNT_RETRY_AFTER)

            route.stages.isNotEmpty() && hasInvalidPieceCounts(request) ->
                reject(request, response, BAD_REQUEST, "the numbers of pieces are not valid", matcher)

            else -> startUnlessTooLate(admit(RequestId(id), request, route, identity, matcher), response)
        }
    }

    private fun hasInvalidPieceCounts(request: CallerRequest): Boolean =
        request.headers[WireHeaders.PIECE_COUNTS]?.let { HeaderValues.pieceCounts(it) == null } ?: false

    private fun startUnlessTooLate(request: AdmittedRequest, response: ResponseWriter): CallerListener =
        if (context.maySend(request)) {
            startUnlessQuarantined(request, response)
        } else {
            refuse(request.callerRequest, response, "the process ends soon", DRAIN_RETRY_AFTER)
        }

    private fun startUnlessQuarantined(request: AdmittedRequest, response: ResponseWriter): CallerListener {
        val refusal = context.quarantine.refusalOf(request.id.value, request.sharedParts)
            ?: return start(request, response)
        response.send(LocalResponses.notRun(request.id.value, refusal.reason, refusal.retryAfter))
        return IGNORE_DISCONNECT
    }

    private fun start(request: AdmittedRequest, response: ResponseWriter): CallerListener {
        val now = context.thread.now()
        context.retryBudget.countRequest(request.pool, now)
        request.route.stages.mapTo(mutableSetOf<PoolName>()) { it.pool }
            .forEach { context.retryBudget.countRequest(it, now) }
        val writer = BufferedStreamWriter(response, request, context)
        val execution = ForwardedRequestExecution(request, writer, context) { executions -= it }
        writer.listener = execution
        executions += execution
        execution.start()
        return writer
    }

    private fun admit(
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
            callerRequest = request,
            route = route,
            pool = matcher.drawPool(route, context.random),
            account = entry?.account,
            priority = entry?.priority ?: route.priority,
            prompt = HeaderValues.prompt(headers[WireHeaders.TOKEN_COUNTS], headers[WireHeaders.PROMPT_PARTS]),
            sharedParts = HeaderValues.sharedPartIds(headers[WireHeaders.PROMPT_PARTS]),
            callerDeadline = headers[WireHeaders.DEADLINE_MS]?.trim()?.toLongOrNull()
                ?.let { request.receivedAt + it.milliseconds },
            configurationVersion = matcher.configuration.version,
        )
    }

    private fun refuse(
        request: CallerRequest,
        response: ResponseWriter,
        reason: String,
        retryAfter: Duration,
    ): CallerListener {
        val id = request.headers[WireHeaders.REQUEST_ID]
        context.decisions.write("request refused") { mapOf("request" to id, "reason" to reason) }
        response.send(LocalResponses.notRun(id, reason, retryAfter))
        return IGNORE_DISCONNECT
    }

    private fun reject(
        request: CallerRequest,
        response: ResponseWriter,
        status: Int,
        reason: String,
        matcher: RouteMatcher? = null,
    ): CallerListener {
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
        response.send(LocalResponses.rejected(status, id, reason))
        return IGNORE_DISCONNECT
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORISED = 401
        const val NOT_FOUND = 404

        /** The configuration has to change first. */
        val ACCOUNT_RETRY_AFTER = 5.seconds
        val DRAIN_RETRY_AFTER = 50.milliseconds
        val STARTUP_RETRY_AFTER = 500.milliseconds
        val FAILURE_RETRY_AFTER = 100.milliseconds
        val IGNORE_DISCONNECT = CallerListener { }
    }
}
