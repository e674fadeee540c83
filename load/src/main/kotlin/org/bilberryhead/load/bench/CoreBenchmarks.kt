package org.bilberryhead.load.bench

import org.bilberryhead.core.admission.FairShares
import org.bilberryhead.core.common.AttemptId
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.Incarnation
import org.bilberryhead.core.common.Payload
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.RequestId
import org.bilberryhead.core.common.RequestKind
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.common.StageName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.execution.AttemptFingerprint
import org.bilberryhead.core.execution.AttemptLedger
import org.bilberryhead.core.gate.ConnectionId
import org.bilberryhead.core.gate.GateEvent
import org.bilberryhead.core.gate.SidecarGate
import org.bilberryhead.core.message.Dispatch
import org.bilberryhead.core.message.Frame
import org.bilberryhead.core.message.Heartbeat
import org.bilberryhead.core.message.LoadReport
import org.bilberryhead.core.message.Message
import org.bilberryhead.core.pipeline.AdmittedRequest
import org.bilberryhead.core.pipeline.RequestAction
import org.bilberryhead.core.pipeline.RequestEvent
import org.bilberryhead.core.pipeline.RequestExecution
import org.bilberryhead.core.propagation.TableReplica
import org.bilberryhead.core.retry.RetryBudget
import org.bilberryhead.core.routing.Candidate
import org.bilberryhead.core.routing.PolicySelector
import org.bilberryhead.core.routing.SelectionRequest
import org.bilberryhead.core.tables.Endpoint
import org.bilberryhead.core.tables.Objective
import org.bilberryhead.core.tables.Pool
import org.bilberryhead.core.tables.Route
import org.bilberryhead.core.tables.Stage
import org.bilberryhead.core.tables.Tables
import org.bilberryhead.protocol.MessageCodec
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds
import kotlin.time.Instant

/** Benchmarks of the decisions of core, of message encoding and of the memory of process state. */
@Suppress("MagicNumber") // sizes and call counts of the benchmarks
class CoreBenchmarks {
    private val now = Instant.fromEpochSeconds(1_800_000_000)
    private val incarnation = Incarnation("6f1c2a52-0c4e-4a57-9a55-4bb1f8b5f1aa")
    private val kind = RequestKind("question")

    /** Runs all benchmarks; takes some seconds. */
    fun runAll(): List<Measurement> = listOf(40, 400).map { endpointChoice(it) } +
        listOf(380, 3_800).map { snapshotSwap(it) } +
        listOf(heartbeat(), dispatch(), frame()).flatten() +
        listOf(gate(), requestExecution(stages = 1), requestExecution(stages = 4)) +
        listOf(1_000, 20_000).map { ledgerMemory(it) } +
        listOf(380, 3_800).map { endpointMemory(it) } +
        listOf(380, 3_800).map { tableMemory(it) } +
        listOf(240, 24_000).map { accountMemory(it) }

    private fun endpointChoice(size: Int): Measurement {
        val pool = pool(size)
        val selector = selector(pool)
        val selection = SelectionRequest(RequestId("r"), pool, 4.seconds, Objective.ATTAINMENT)
        return Measure.microseconds("choice of an endpoint, by candidates", size, calls = 200_000) {
            selector.choose(selection, now)
        }
    }

    private fun snapshotSwap(size: Int): Measurement {
        var version = 1L
        val tables = tables(size)
        val replica = TableReplica()
        return Measure.microseconds("swap of the control snapshot, by endpoints", size, calls = 20) {
            replica.applySnapshot(tables.copy(version = TableVersion(version++)))
            replica.tables.pools.values.sumOf { pool -> pool.endpoints.associateBy { it.id }.size }
        }
    }

    private fun heartbeat() = message("heartbeat", Heartbeat(TableVersion(22_000), LoadReport(3, 4, 4, 187.5)))

    private fun dispatch() = message("dispatch of 1 KB", dispatch(0))

    private fun frame() =
        message("frame of 200 B", Frame(attempt(0), 0, Payload(ByteArray(200)), false, LoadReport(3, 4, 4, 187.5)))

    private fun message(name: String, message: Message): List<Measurement> {
        val encoded = MessageCodec.encode(message)
        return listOf(
            Measurement("size of a $name", 1, encoded.size.toDouble(), "B"),
            Measure.microseconds("encoding a $name", 1, calls = 50_000) { MessageCodec.encode(message) },
            Measure.microseconds("decoding a $name", 1, calls = 50_000) { MessageCodec.decode(encoded) },
        )
    }

    private fun gate(): Measurement {
        val gate = SidecarGate(incarnation)
        val connection = ConnectionId(1)
        gate.handle(GateEvent.Ready, now)
        gate.handle(GateEvent.ConnectionOpened(connection), now)
        var number = 0
        return Measure.microseconds("attempt through a gate", 1, calls = 20_000) {
            val dispatch = dispatch(number++)
            gate.handle(GateEvent.MessageArrived(connection, dispatch), now)
            gate.handle(GateEvent.EndpointResponded(dispatch.attempt, Payload.EMPTY, last = true), now + 1.seconds / 10)
        }
    }

    private fun requestExecution(stages: Int): Measurement {
        val pool = pool(40)
        val selector = selector(pool)
        val route = Route(kind, List(stages) { Stage(StageName("stage-$it"), pool.name) })
        val tables = Tables(TableVersion(1), mapOf(kind to route), mapOf(pool.name to pool))
        val budget = RetryBudget()
        return Measure.microseconds("request through an execution, by stages", stages, calls = 20_000) { number ->
            val id = RequestId("request-$number")
            val admitted = AdmittedRequest(id, ClientAccount("account"), Payload.EMPTY, now + 4.seconds)
            val execution = RequestExecution(admitted, route, tables, selector, budget)
            var actions = execution.handle(RequestEvent.Started, now)
            repeat(stages) {
                val sent = actions.filterIsInstance<RequestAction.Send>().first().message
                val frame = Frame(sent.attempt, 0, Payload.EMPTY, last = true)
                actions = execution.handle(RequestEvent.MessageArrived(frame), now)
            }
            actions
        }
    }

    private fun ledgerMemory(count: Int) = Measure.bytes("ledger entry with 200 B, by entries", count) {
        val ledger = AttemptLedger()
        repeat(count) {
            ledger.accept(attempt(it), AttemptFingerprint(ClientAccount("account"), it.toString()))
            ledger.append(attempt(it), Payload(ByteArray(200)), last = true, now)
        }
        ledger
    }

    private fun endpointMemory(count: Int): Measurement {
        val pool = pool(count)
        return Measure.bytes("state of an endpoint in the selector, by endpoints", count) { selector(pool) }
    }

    private fun tableMemory(count: Int) = Measure.bytes("endpoint in the tables, by endpoints", count) { tables(count) }

    private fun accountMemory(count: Int) = Measure.bytes("account in the fair shares, by accounts", count) {
        FairShares().also { shares -> repeat(count) { shares.recordDemand(ClientAccount("account-$it"), now) } }
    }

    /** Returns a selector with a load report of every endpoint of [pool]. */
    private fun selector(pool: Pool): PolicySelector {
        val candidates = pool.endpoints.map { Candidate(it.id, incarnation, it.dataCentre) }
        val selector = PolicySelector({ candidates }, DataCentre("nashua"), Random(1))
        repeat(pool.endpoints.size) { index ->
            val avoid = emptySet<EndpointId>()
            repeat(2) {
                selector.choose(SelectionRequest(RequestId("r"), pool, 4.seconds, Objective.ATTAINMENT, avoid), now)
            }
            val endpoint = pool.endpoints[index].id
            selector.recordLoad(endpoint, LoadReport(index % 3, 1, 4, 100.0 + index % 7), now)
        }
        return selector
    }

    private fun tables(endpoints: Int): Tables {
        val pools = List(10) { pool(endpoints / 10, "pool-$it") }
        return Tables(TableVersion(1), emptyMap(), pools.associateBy { it.name })
    }

    private fun pool(size: Int, name: String = "pool"): Pool {
        val dataCentres = List(10) { DataCentre("data-centre-$it") }
        val endpoints = List(size) {
            Endpoint(EndpointId("$name-endpoint-$it"), dataCentres[it % 10], SocketAddress("10.0.0.$it", 7_000))
        }
        return Pool(PoolName(name), endpoints)
    }

    private fun attempt(number: Int) = AttemptId("6f1c2a52-0c4e-4a57-9a55-$number:0:0")

    private fun dispatch(number: Int) = Dispatch(
        attempt = attempt(number),
        incarnation = incarnation,
        request = RequestId("6f1c2a52-0c4e-4a57-9a55-$number"),
        kind = kind,
        stage = StageName("generate"),
        clientAccount = ClientAccount("account-17"),
        remainingMillis = 3_900,
        idempotent = true,
        payload = Payload(ByteArray(1_024)),
    )
}
