package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.netty.handler.ssl.SslContext
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.daemon.FileWatcher
import org.bilberryhead.daemon.ReloadedValue
import org.bilberryhead.daemon.ServerTls
import org.bilberryhead.daemon.SettingsError
import kotlin.io.path.Path
import kotlin.time.Clock

/** What an entry holds of the files that its settings name, read again whenever they change. */
class EntryFiles private constructor(
    settings: EntrySettings,
    private val accounts: ReloadedValue<TokenOwners<ClientAccount>>?,
    private val operators: ReloadedValue<TokenOwners<String>>?,
    internal val tls: ReloadedValue<SslContext>?,
) {
    private val settingsAccounts = Tokens.ownersOf(settings.clientAccounts.map { it.tokenSha256 to it.account })
    private val settingsOperators = Tokens.ownersOf(settings.operators.map { it.tokenSha256 to it.name })

    /** Reads the files again when they change. */
    val follower = FileWatcher(listOfNotNull(accounts, operators, tls))

    /** The tokens of the settings and of the files that they name. */
    val tokens = Tokens(
        account = { digest -> settingsAccounts[digest] ?: accounts?.current?.get(digest) },
        operator = { digest -> settingsOperators[digest] ?: operators?.current?.get(digest) },
    )

    companion object {
        private val accountReader = TokenFileReader("account", ::ClientAccount)
        private val operatorReader = TokenFileReader("name") { it }

        /** Returns what the files hold that [settings] name, or every fault of theirs. */
        fun load(settings: EntrySettings, clock: Clock): Result<EntryFiles, List<SettingsError>> {
            val accounts = settings.clientAccountsFile?.let { file ->
                ReloadedValue.load(TokenFile("clientAccountsFile", Path(file), accountReader), clock)
            }
            val operators = settings.operatorsFile?.let { file ->
                ReloadedValue.load(TokenFile("operatorsFile", Path(file), operatorReader), clock)
            }
            val tls = settings.tls?.let { ReloadedValue.load(ServerTls(it), clock) }
            val errors = listOfNotNull(accounts, operators, tls).flatMap { it.getError().orEmpty() }
            if (errors.isNotEmpty()) return Err(errors)
            return Ok(EntryFiles(settings, accounts?.get(), operators?.get(), tls?.get()))
        }
    }
}
