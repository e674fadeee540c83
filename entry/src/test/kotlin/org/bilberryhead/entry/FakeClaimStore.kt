package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.bilberryhead.platform.Claim
import org.bilberryhead.platform.ClaimKey
import org.bilberryhead.platform.ClaimOutcome
import org.bilberryhead.platform.ClaimStore
import org.bilberryhead.platform.StoreError
import java.util.concurrent.ConcurrentHashMap

/** Keeps claims in memory; every call fails with [error] while it is set. */
internal class FakeClaimStore : ClaimStore {
    val claims = ConcurrentHashMap<ClaimKey, Claim>()
    var error: StoreError? = null

    override suspend fun claim(key: ClaimKey, proposal: Claim): Result<Claim, StoreError> =
        error?.let { Err(it) } ?: Ok(claims.putIfAbsent(key, proposal) ?: proposal)

    override suspend fun find(key: ClaimKey): Result<Claim?, StoreError> = error?.let { Err(it) } ?: Ok(claims[key])

    override suspend fun recordOutcome(key: ClaimKey, outcome: ClaimOutcome): Result<Unit, StoreError> {
        claims.computeIfPresent(key) { _, claim -> claim.copy(outcome = outcome) }
        return Ok(Unit)
    }
}
