package org.bilberryhead.forwarding.fuzz

import kotlinx.serialization.KSerializer
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.quarantine.CrashId
import org.bilberryhead.core.quarantine.CrashReport
import org.bilberryhead.core.quarantine.PartQuarantine
import org.bilberryhead.core.serving.EngineCapacity
import org.bilberryhead.core.serving.EngineLoad
import org.bilberryhead.core.serving.PreparationPlan
import org.bilberryhead.core.serving.PromptPartId
import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.daemon.SettingsReader
import org.bilberryhead.forwarding.ForwardingSettings
import org.bilberryhead.forwarding.LoopbackDeployment
import org.bilberryhead.forwarding.peer.PeerCodec
import org.bilberryhead.forwarding.peer.PieceMessage
import org.bilberryhead.forwarding.peer.PieceOutcome
import org.bilberryhead.forwarding.peer.PieceOutcomeMessage
import org.bilberryhead.forwarding.peer.PieceOutcomesMessage
import org.bilberryhead.forwarding.peer.PiecesMessage
import org.bilberryhead.forwarding.peer.ReleaseMessage
import org.bilberryhead.forwarding.peer.SnapshotMessage
import org.bilberryhead.forwarding.store.CrashRow
import org.bilberryhead.forwarding.store.EntryRow
import org.bilberryhead.platform.wire.ConfigurationDecoder
import org.bilberryhead.platform.wire.EndpointEntryDecoder
import org.bilberryhead.platform.wire.HeaderValues
import org.bilberryhead.platform.wire.StageCodec
import org.bilberryhead.platform.wire.StoreCodec
import org.bilberryhead.platform.wire.StoreEra
import kotlin.time.Clock
import kotlin.time.Duration

private const val ENDPOINT_ROW =
    """{"service":"p","address":"10.0.0.1:80","zone":"x","slots":4,"state":"ready","born":1,"sequence":3}"""
private const val STORE_ROWS =
    """{"rows":[{"table":"t","part":"","key":"a","value":"aGk=","ver":5},{"key":"b","removed":true,"ver":6}],""" +
        """"truncated":true,"ver":6,"now_ms":17}"""
private const val STAGE_RESULTS =
    """{"items":[{"handle":"10.0.0.1:80/9f"},{"reason":"late"},{"reason":"gone"},{"reason":"room"}]}"""
private const val SETTINGS =
    """{"id":"e","dataCentre":"x","callers":"10.0.0.1:1","readiness":"10.0.0.1:2","peers":"10.0.0.1:3",""" +
        """"metrics":"10.0.0.1:4","seeds":["10.0.0.2:3"],"store":"10.0.0.3:5","drainLimit":"8s"}"""
private const val YAML_SETTINGS =
    "id: e\ndataCentre: x\ncallers: 10.0.0.1:1\nreadiness: 10.0.0.1:2\npeers: 10.0.0.1:3\nmetrics: 10.0.0.1:4\n" +
        "store: 10.0.0.3:5\nretryRatio: 0.2\nretryWindow: 10s\n"

/** Decoders of what the store, endpoints, operators and other entries write. */
internal object WireTargets {
    private val now = Clock.System.now()

    private val piece = PieceMessage(
        request = "r",
        stage = 0,
        index = 1,
        key = "k",
        inputs = listOf("10.0.0.1:80/9f"),
        priority = 3,
        startsWithinMs = -5,
        usefulMs = 100,
        remainingMs = 1_000,
        resultBytes = 10,
        preferred = DataCentre("x"),
        readers = 1,
    )

    val all: List<FuzzTarget> = listOf(
        textTarget("store rows", STORE_ROWS, """{"rows":[],"ver":1}""") { text ->
            StoreCodec.decodeRows(text, StoreEra.UNSTATED)?.rows?.forEach { it.value?.length }
        },
        textTarget("configuration", LoopbackDeployment.CONFIGURATION) { useConfiguration(it) },
        textTarget("endpoint entries", ENDPOINT_ROW) { EndpointEntryDecoder.decode("e", it) },
        textTarget("entry rows", ownRow()) { EntryRow.decode(it) },
        textTarget("crash reports", crashRow()) { text ->
            CrashRow.decode(text)?.reports?.forEach { PartQuarantine().record(it, now) }
        },
        textTarget("load reports", "3,0,8", "0,0,1", "3,1,8,250") { text ->
            HeaderValues.loadReport(text)?.let { check((it.workTimeFactor ?: 1.0) in 0.1..20.0) }
        },
        textTarget("prompts", "1460,80|5c1e07a2:800,91bd3f06:410", "10,10|a:5") { usePrompt(it) },
        textTarget("piece counts", "1,0,3", "2") { usePieceCounts(it) },
        textTarget("retry times", "0.25", "3") { text ->
            HeaderValues.retryAfter(text)?.let { check(it >= Duration.ZERO && it.isFinite()) }
        },
        textTarget("stage results", STAGE_RESULTS) { StageCodec.decodeRun(it, count = 4) },
        textTarget("settings", SETTINGS, YAML_SETTINGS) {
            SettingsReader.parse(it, ForwardingSettings.serializer())
        },
        peerTarget("pieces of peers", PiecesMessage.serializer(), PiecesMessage(PoolName("s"), listOf(piece, piece))) {
            it.pieces.forEach { message -> message.toPiece(now) }
        },
        peerTarget(
            "piece outcomes of peers",
            PieceOutcomesMessage.serializer(),
            PieceOutcomesMessage(PieceOutcome.entries.map { PieceOutcomeMessage(0, 1, it, "10.0.0.1:80/9f", "r", 5) }),
        ) { it.ends.forEach { outcome -> outcome.toCallOutcome() } },
        peerTarget(
            "releases of peers",
            ReleaseMessage.serializer(),
            ReleaseMessage(PoolName("s"), listOf("10.0.0.1:80/9f")),
        ) {},
        peerTarget(
            "snapshots of peers",
            SnapshotMessage.serializer(),
            SnapshotMessage(LoopbackDeployment.CONFIGURATION, mapOf("p-0" to ENDPOINT_ROW), ageMs = 20),
        ) {},
    )

    private fun ownRow() =
        EntryRow(DataCentre("x"), SocketAddress("10.0.0.1", 3), processorShare = 0.5, run = 7).encode()

    private fun crashRow(): String {
        val parts = setOf(PromptPartId("5c1e07a2"), PromptPartId("91bd3f06"))
        return CrashRow.encode(listOf(CrashReport(CrashId(EndpointId("e"), startedAt = 1), parts, parts))).single()
    }

    private fun useConfiguration(text: String) {
        val configuration = ConfigurationDecoder.decode(text) ?: return
        val matcher = RouteMatcher(configuration)
        for (route in configuration.routes) {
            matcher.route(route.host, route.prefix + "a")
            val plan = PreparationPlan(route.stages, List(route.stages.size) { 2 })
            plan.takeReady().forEach { plan.invalidateInputs(it.id) }
            plan.restart()
        }
    }

    private fun usePrompt(text: String) {
        HeaderValues.sharedPartIds(text.substringAfter('|'))
        val prompt = HeaderValues.prompt(text.substringBefore('|'), text.substringAfter('|', "")) ?: return
        val load = EngineLoad(EngineCapacity(slots = 4, memoryTokens = 1_000))
        val request = load.start(prompt, now)
        check(load.expectedTimeToFirstEvent(load.prefillTokens(prompt, now), now) >= Duration.ZERO)
        load.recordEnd(request, failed = false)
    }

    private fun usePieceCounts(text: String) {
        val counts = HeaderValues.pieceCounts(text) ?: return
        check(counts.all { it in 0..100_000 }) { "so many pieces fill the memory: $counts" }
    }

    private fun <T : Any> peerTarget(name: String, serializer: KSerializer<T>, example: T, use: (T) -> Unit) =
        FuzzTarget(name, listOf(PeerCodec.encode(serializer, example))) { bytes ->
            PeerCodec.decode(serializer, bytes)?.let(use)
        }
}
