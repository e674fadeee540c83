package org.bilberryhead.entry

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.daemon.CheckedSettings
import org.bilberryhead.daemon.FileWatcher
import org.bilberryhead.daemon.SettingsError
import org.bilberryhead.daemon.TlsSettings
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of an entry.
 *
 * @property listen address for the HTTP connections of callers and operators
 * @property peerListen address for the connections of other entries
 * @property peers the other entries' `peerListen` addresses
 * @property clientAccounts client accounts that may send requests
 * @property operators operators that may read and change the tables
 * @property clientAccountsFile file with further client accounts, reloaded when it changes
 * @property operatorsFile file with further operators, reloaded when it changes
 * @property tls certificate and key for HTTPS on [listen]; null for HTTP
 * @property fileCheckInterval interval between two checks whether a file named in these settings has changed
 * @property pollInterval interval between two polls of the table service for changes
 * @property drainDelay time between failing the readiness check and refusing requests, for the load balancer to notice
 * @property drainLimit maximum duration of a graceful shutdown, from the end of [drainDelay]
 * @property maximumBodyBytes maximum size of a request body, in bytes
 */
@Serializable
data class EntrySettings(
    val id: DaemonId,
    val dataCentre: DataCentre,
    val listen: SocketAddress,
    val peerListen: SocketAddress,
    val platformUrl: String,
    val peers: List<SocketAddress> = emptyList(),
    val clientAccounts: List<AccountToken> = emptyList(),
    val operators: List<OperatorToken> = emptyList(),
    val clientAccountsFile: String? = null,
    val operatorsFile: String? = null,
    val tls: TlsSettings? = null,
    @Serializable(with = DurationTextSerializer::class) val fileCheckInterval: Duration = 5.seconds,
    @Serializable(with = DurationTextSerializer::class) val pollInterval: Duration = 500.milliseconds,
    @Serializable(with = DurationTextSerializer::class) val drainDelay: Duration = 2.seconds,
    @Serializable(with = DurationTextSerializer::class) val drainLimit: Duration = 60.seconds,
    val maximumBodyBytes: Long = 1_048_576,
) : CheckedSettings {
    override fun check(): List<SettingsError> = buildList {
        if (!platformUrl.startsWith("http")) add(SettingsError("platformUrl", "'$platformUrl' is not an HTTP address"))
        if (drainDelay.isNegative()) add(SettingsError("drainDelay", "$drainDelay is negative"))
        if (!drainLimit.isPositive()) add(SettingsError("drainLimit", "$drainLimit is not positive"))
        if (maximumBodyBytes < 1) add(SettingsError("maximumBodyBytes", "$maximumBodyBytes is less than 1"))
        if (pollInterval < 50.milliseconds) add(SettingsError("pollInterval", "$pollInterval is less than 50ms"))
        FileWatcher.intervalError(fileCheckInterval)?.let(::add)
        clientAccounts.forEachIndexed { index, account -> checkDigest("clientAccounts[$index]", account.tokenSha256) }
        operators.forEachIndexed { index, operator -> checkDigest("operators[$index]", operator.tokenSha256) }
    }

    private fun MutableList<SettingsError>.checkDigest(path: String, digest: String) {
        if (TokenDigest.parse(digest) == null) {
            add(SettingsError("$path.tokenSha256", "not ${TokenDigest.HEX_DIGITS} hexadecimal digits"))
        }
    }
}

/** The hashed token of a client account. */
@Serializable
data class AccountToken(val account: ClientAccount, val tokenSha256: String)

/** The hashed token of an operator. */
@Serializable
data class OperatorToken(val name: String, val tokenSha256: String)
