package org.bilberryhead.cli.commands

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import org.bilberryhead.cli.ExitCode
import org.bilberryhead.cli.client.CallError
import org.bilberryhead.cli.client.EntryStatusResult
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.operator.EndpointState
import org.bilberryhead.operator.EndpointStatus
import org.bilberryhead.operator.EntryStatus
import org.bilberryhead.operator.Explanation
import org.bilberryhead.operator.PeerStatus
import kotlin.time.Duration.Companion.milliseconds

/** Status or error of one entry in the JSON output. */
@Serializable
internal data class StatusOutput(val entry: String, val status: EntryStatus?, val error: String?)

/** Prints the status of each entry that is named in the options. */
class StatusCommand : SessionCommand("status") {
    override fun help(context: Context): String =
        "Show members, table versions, leaving endpoints and whether the store is reachable."

    override fun run() {
        val results = withClient { it.statuses() }
        printResult(ListSerializer(StatusOutput.serializer()), results.map(::toOutput)) {
            results.forEach(::printStatus)
        }
        if (results.any { it.status.isOk }) return
        val isUnauthorized = results.any { it.status.getError() is CallError.NotAuthorized }
        exit(if (isUnauthorized) ExitCode.NOT_AUTHORIZED else ExitCode.NO_ENTRY_REACHABLE)
    }

    private fun toOutput(result: EntryStatusResult): StatusOutput =
        StatusOutput(result.entry, result.status.get(), result.status.getError()?.detail)

    private fun printStatus(result: EntryStatusResult) {
        val status = result.status.getOrElse { error ->
            echo("${result.entry}: ${error.detail}", err = true)
            return
        }
        val store = if (status.storeReachable) "reachable" else "not reachable"
        val draining = if (status.draining) ", draining" else ""
        echo("entry ${status.entry} in ${status.dataCentre} at ${result.entry}$draining")
        echo("  tables: version ${status.tableVersion}, confirmed ${status.tableAgeMillis.milliseconds} ago")
        echo("  store: $store")
        echo("  requests in flight: ${status.requestsInFlight}")
        status.peers.forEach { echo("  peer ${describe(it)}") }
        status.endpoints.groupBy { it.pool }.forEach { (pool, endpoints) ->
            val serving = endpoints.count { it.state == EndpointState.SERVING }
            echo("  pool $pool: $serving of ${endpoints.size} serving")
            endpoints.forEach { echo("    ${describe(it)}") }
        }
    }

    private fun describe(peer: PeerStatus): String {
        val connection = if (peer.connected) "connected, tables at version ${peer.tableVersion}" else "not connected"
        return "${peer.daemon ?: peer.address}: $connection"
    }

    private fun describe(endpoint: EndpointStatus): String {
        val version = endpoint.tableVersion?.let { ", tables at version $it" }.orEmpty()
        val load = endpoint.load?.let { ", ${it.running} running, ${it.queued} queued" }.orEmpty()
        return "${endpoint.endpoint} in ${endpoint.dataCentre}: ${endpoint.state.name.lowercase()}$version$load"
    }
}

/** Prints where a request of a kind would be routed now, and the reason. */
class ExplainCommand : SessionCommand("explain") {
    private val kind by argument("KIND")

    override fun help(context: Context): String = "Show where a request of a kind would be routed now, and why."

    override fun run() {
        val explanation = withClient { it.explain(RequestKind(kind)) }.orExit()
        printResult(Explanation.serializer(), explanation) {
            echo("${explanation.kind} with tables version ${explanation.tableVersion}")
            explanation.stages.forEach { stage ->
                val chosen = stage.chosen ?: "none"
                echo("  ${stage.stage} on pool ${stage.pool}: $chosen of ${stage.candidates}, ${stage.why}")
            }
        }
    }
}
