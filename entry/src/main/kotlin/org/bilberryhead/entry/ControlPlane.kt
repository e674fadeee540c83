package org.bilberryhead.entry

import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.newSingleThreadContext
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.bilberryhead.core.message.FetchChanges
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.Hello
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.propagation.TableReplica
import org.bilberryhead.core.routing.EndpointSelector
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.TableChange
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.platform.TableLog
import org.bilberryhead.platform.readAllChanges
import org.bilberryhead.protocol.MessageCodec
import kotlin.time.Clock

private val log = KotlinLogging.logger("control")

/** Owns the tables of an entry on one control thread, and publishes immutable snapshots of them. */
@OptIn(ExperimentalCoroutinesApi::class)
class ControlPlane(
    private val settings: EntrySettings,
    private val tableLog: TableLog,
    private val clock: Clock,
    private val scope: CoroutineScope,
) : LinkOwner {
    private val control = newSingleThreadContext("control")
    private val replica = TableReplica()

    /** Links to the sidecars of all endpoints. */
    val directory = SidecarDirectory(this, SelectorManager(Dispatchers.IO), scope)

    /** The selector that learns from load reports; set once while the entry is wired. */
    lateinit var selector: EndpointSelector

    /** The newest tables; read by traffic. */
    @Volatile
    var tables: Tables = Tables()
        private set

    /** Whether the last call to the table service succeeded. */
    @Volatile
    var isStoreReachable: Boolean = false
        private set

    /** Begins to follow the table log. */
    fun start() {
        scope.launch { pollLoop() }
    }

    /** Takes [changes] that another process or this one's operator made. */
    suspend fun take(changes: List<TableChange>) = withContext(control) {
        if (replica.applyChanges(changes)) publish()
    }

    override fun hello() = Hello(MessageCodec.PROTOCOL_VERSION, settings.id, tables.version)

    override fun heartbeat() = Heartbeat(tables.version)

    override fun answer(fetch: FetchChanges): Message? = runBlocking(control) { replica.answer(fetch) }

    override fun loadReported(endpoint: Endpoint, load: LoadReport) =
        selector.recordLoad(endpoint.id, load, clock.now())

    private suspend fun pollLoop() {
        while (true) {
            poll()
            delay(settings.pollInterval)
        }
    }

    private suspend fun poll() {
        readAllChanges(tableLog, tables.version)
            .onSuccess {
                isStoreReachable = true
                take(it)
            }.onFailure {
                if (isStoreReachable) log.warn { "control: table service: ${it.detail}" }
                isStoreReachable = false
            }
    }

    private fun publish() {
        tables = replica.tables
        directory.update(tables)
        log.info { "control: tables are at version ${tables.version}" }
    }
}
