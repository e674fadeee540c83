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

/** Contents of the files named in the settings of an entry, reloaded when they change. */
class EntryFiles private constructor(
    settings: EntrySettings,
    private val accounts: ReloadedValue<TokenOwners<ClientAccount>>?,
    private val operators: ReloadedValue<TokenOwners<String>>?,
    internal val tls: ReloadedValue<SslContext>?,
) {
    private val settingsAccounts = Tokens.ownersOf(settings.clientAccounts.map { it.tokenSha256 to it.account })
    private val settingsOperators = Tokens.ownersOf(settings.operators.map { it.tokenSha256 to it.name })

    /** Reloads the files when they change. */
    val watcher = FileWatcher(listOfNotNull(accounts, operators, tls))

    /** The tokens from the settings and from the files named in the settings. */
    val tokens = Tokens(
        account = { digest -> settingsAccounts[digest] ?: accounts?.current?.get(digest) },
        operator = { digest -> settingsOperators[digest] ?: operators?.current?.get(digest) },
    )

    companion object {
        private val accountReader = TokenFileReader("account", ::ClientAccount)
        private val operatorReader = TokenFileReader("name") { it }

        /** Loads the files named in [settings]; returns every error when any of them is invalid. */
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
