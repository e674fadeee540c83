package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import org.bilberryhead.platform.Claim
import org.bilberryhead.platform.ClaimKey
import org.bilberryhead.platform.ClaimOutcome
import org.bilberryhead.platform.ClaimStore
import org.bilberryhead.platform.StoreError

/** Refuses every claim, so that only tickets serve as keys. */
internal object NoClaimStore : ClaimStore {
    private val refused = Err(StoreError.Refused("this entry keeps no claims"))

    override suspend fun claim(key: ClaimKey, proposal: Claim): Result<Claim, StoreError> = refused

    override suspend fun find(key: ClaimKey): Result<Claim?, StoreError> = refused

    override suspend fun recordOutcome(key: ClaimKey, outcome: ClaimOutcome): Result<Unit, StoreError> = refused
}
