package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.flatMap
import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.onFailure
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.IdempotencyKey
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.execution.RequestFingerprint
import org.bilberryhead.core.execution.RequestIdGenerator
import org.bilberryhead.core.execution.Ticket
import org.bilberryhead.core.message.AttemptLocation
import org.bilberryhead.core.pipeline.RequestOutcome
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.routing.Selection
import org.bilberryhead.core.routing.SelectionRequest
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.platform.Claim
import org.bilberryhead.platform.ClaimKey
import org.bilberryhead.platform.ClaimOutcome
import org.bilberryhead.platform.ClaimStore
import org.bilberryhead.platform.StoreError
import kotlin.time.Clock

private val log = KotlinLogging.logger("keys")

/** Maps the key of a non-idempotent request to the one location where it runs, whichever entry receives it. */
internal class KeyResolver(
    private val selector: EndpointSelector,
    private val claims: ClaimStore,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val idGenerator: RequestIdGenerator,
) {
    /** Chooses a location for a new request with the route of [head]. Does not use the store. */
    fun chooseLocation(head: RequestHead): Result<AttemptLocation, Rejection> {
        val pool = poolOfNonIdempotentStage(head).getOrElse { return Err(it) }
        val id = idGenerator.next()
        val selection = SelectionRequest(id, pool, head.timeout, head.route.objective)
        return when (val chosen = selector.choose(selection, clock.now())) {
            is Selection.Chosen ->
                Ok(
                    AttemptLocation(
                        chosen.candidate.endpoint,
                        chosen.candidate.incarnation,
                        AttemptId("${id.value}:ticket"),
                    ),
                )
            is Selection.NoneAvailable -> Err(
                Rejection(RejectionReason.NO_ENDPOINT, chosen.reason, chosen.retryAfter ?: DEFAULT_RETRY_AFTER),
            )
        }
    }

    /** Returns the location for [key], which is either a ticket or a key that the caller chose. */
    suspend fun resolve(head: RequestHead, key: IdempotencyKey, body: Payload): Result<AttemptLocation, Rejection> =
        if (Ticket.isTicket(key.value)) readTicket(head, key) else claim(head, key, body)

    /**
     * Records asynchronously that the request with [key] was answered. A failed write does no harm, because the ledger
     * of the sidecar has the outcome too. Other outcomes are not recorded: a later submission with the same key may
     * change them.
     */
    fun recordCompletion(head: RequestHead, key: IdempotencyKey, outcome: RequestOutcome) {
        if (outcome !is RequestOutcome.Answered || Ticket.isTicket(key.value)) return
        scope.launch {
            claims.recordOutcome(ClaimKey(head.account, key), ClaimOutcome.ANSWERED)
                .onFailure { log.debug { "keys: the outcome of a key was not recorded: ${it.detail}" } }
        }
    }

    private fun readTicket(head: RequestHead, key: IdempotencyKey): Result<AttemptLocation, Rejection> {
        val location = Ticket.decode(key.value).getOrElse {
            return Err(Rejection(RejectionReason.BAD_KEY, "$KEY_HEADER begins like a ticket and is none"))
        }
        val pool = poolOfNonIdempotentStage(head).getOrElse { return Err(it) }
        if (pool.endpoints.none { it.id == location.endpoint }) {
            val detail = "the ticket names an endpoint that is not in the pool of this route"
            return Err(Rejection(RejectionReason.TICKET_MISPLACED, detail))
        }
        return Ok(location)
    }

    private suspend fun claim(
        head: RequestHead,
        key: IdempotencyKey,
        body: Payload,
    ): Result<AttemptLocation, Rejection> {
        val proposal = chooseLocation(head).getOrElse { return findExistingClaim(head, key, body, it) }
        val claimed = withTimeoutOrNull(head.timeout) {
            claims.claim(ClaimKey(head.account, key), Claim(proposal, RequestFingerprint.of(head.route.kind, body)))
        }
        return checkedLocation(claimed ?: Err(StoreError.OutcomeUnknown("no response in time")), head, body)
            .flatMap { found -> if (found == null) Err(unavailable("the store returned no claim")) else Ok(found) }
    }

    /** Used when no endpoint is available: an earlier claim may still name one that holds the response. */
    private suspend fun findExistingClaim(
        head: RequestHead,
        key: IdempotencyKey,
        body: Payload,
        rejection: Rejection,
    ): Result<AttemptLocation, Rejection> {
        val found = withTimeoutOrNull(head.timeout) { claims.find(ClaimKey(head.account, key)) }
        return checkedLocation(found ?: Err(StoreError.OutcomeUnknown("no response in time")), head, body)
            .flatMap { if (it == null) Err(rejection) else Ok(it) }
    }

    /** Returns the location of the claim in [result] after checking that the claim is for the same request. */
    private fun checkedLocation(
        result: Result<Claim?, StoreError>,
        head: RequestHead,
        body: Payload,
    ): Result<AttemptLocation?, Rejection> {
        val claim = result.getOrElse { return Err(unavailable(it.detail)) } ?: return Ok(null)
        if (claim.fingerprint != RequestFingerprint.of(head.route.kind, body)) {
            return Err(Rejection(RejectionReason.KEY_REUSED, "the key was used with another kind or body"))
        }
        return Ok(claim.location)
    }

    private fun unavailable(detail: String): Rejection {
        log.info { "keys: the claim of a key could not be read from the table service: $detail" }
        return Rejection(
            RejectionReason.STORE_UNAVAILABLE,
            "the table service can not tell what stands under the key",
            DEFAULT_RETRY_AFTER,
        )
    }

    private fun poolOfNonIdempotentStage(head: RequestHead): Result<Pool, Rejection> {
        val stage = head.route.stages.find { !it.idempotent }
            ?: return Err(Rejection(RejectionReason.TICKET_NOT_NEEDED, "requests of this kind may simply be repeated"))
        val pool = head.tables.poolOf(stage)
            ?: return Err(Rejection(RejectionReason.NO_ENDPOINT, "the pool of the route is gone", DEFAULT_RETRY_AFTER))
        return Ok(pool)
    }
}
