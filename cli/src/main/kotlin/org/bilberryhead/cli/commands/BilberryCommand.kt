package org.bilberryhead.cli.commands

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.path
import com.github.michaelbull.result.getOrElse
import org.bilberryhead.cli.ExitCode
import org.bilberryhead.cli.client.CertificateAuthority
import org.bilberryhead.cli.client.OperatorClient
import java.nio.file.Path
import kotlin.io.path.readText

/** Format of the printed results. */
enum class OutputFormat { TEXT, JSON }

/** The operators' command, `bilberry`. */
class BilberryCommand : CliktCommand("bilberry") {
    private val entries by option("--entry", envvar = "BILBERRY_ENTRY", help = "Address of an entry. May be repeated.")
        .multiple()
    private val tokenFile by option("--token-file", help = "File with the operator's token.")
        .path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val token by option(envvar = "BILBERRY_TOKEN", names = arrayOf("--token"), hidden = true)
    private val authorityFile by option(
        "--certificate-authority",
        envvar = "BILBERRY_CERTIFICATE_AUTHORITY",
        help = "File with the PEM certificates of the authorities that sign the entries' certificates.",
    ).path(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val output by option("--output", help = "Format of the output.").enum<OutputFormat> { it.name.lowercase() }
        .default(OutputFormat.TEXT)

    override fun help(context: Context): String = "Shows and changes the tables of a bilberryhead system."

    override fun helpEpilog(context: Context): String = "Exit status: " + ExitCode.entries.joinToString {
        "${it.code} ${it.name.lowercase().replace('_', ' ')}"
    }

    override fun run() {
        currentContext.obj = Session(entries, tokenFile, token, authorityFile, output)
    }
}

/** The global options of one invocation, which determine how to reach the entries and how to print results. */
class Session(
    private val entries: List<String>,
    private val tokenFile: Path?,
    private val token: String?,
    private val authorityFile: Path?,
    val output: OutputFormat,
) {
    /** Returns a client of the entries; throws [UsageError] when a required option is missing or invalid. */
    fun connect(): OperatorClient {
        if (entries.isEmpty()) throw UsageError("name an entry with --entry or BILBERRY_ENTRY")
        val text = tokenFile?.readText() ?: token
        if (text.isNullOrBlank()) throw UsageError("give a token with --token-file or BILBERRY_TOKEN")
        val authority = authorityFile?.let { file ->
            CertificateAuthority.read(file).getOrElse { throw UsageError(it) }
        }
        return OperatorClient(entries, text.trim(), authority)
    }
}
