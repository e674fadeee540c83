package org.bilberryhead.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import org.bilberryhead.cli.client.CallError
import org.bilberryhead.cli.client.CertificateAuthority
import org.bilberryhead.cli.client.EntryStatusResult
import org.bilberryhead.cli.client.OperatorClient
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.FreePorts
import org.bilberryhead.core.testing.TestClock
import org.bilberryhead.daemon.MonotonicClock
import org.bilberryhead.daemon.ReloadedValue
import org.bilberryhead.daemon.ServerTls
import org.bilberryhead.daemon.TlsSettings
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.nio.file.Path
import javax.net.ssl.SSLHandshakeException
import kotlin.io.path.copyTo
import kotlin.io.path.writeText
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val OPERATOR_TOKEN = "operator-token"

class EntryTlsTest :
    DescribeSpec({
        val directory = tempdir().toPath()
        val chain = directory.resolve("chain.pem")
        val key = directory.resolve("key.pem")
        val tls = TlsSettings(chain.toString(), key.toString())
        val first = TestAuthority("first")
        val second = TestAuthority("second")

        fun settings() = EntrySettings(
            id = DaemonId("entry-0"),
            dataCentre = DataCentre("nashua"),
            listen = SocketAddress("127.0.0.1", FreePorts.next()),
            peerListen = SocketAddress("127.0.0.1", FreePorts.next()),
            platformUrl = "http://127.0.0.1:1",
            clientAccounts = listOf(AccountToken(TEST_ACCOUNT, digest(TEST_TOKEN))),
            operators = listOf(OperatorToken("ann", digest(OPERATOR_TOKEN))),
            tls = tls,
            fileCheckInterval = 100.milliseconds,
            drainDelay = Duration.ZERO,
        )

        suspend fun queryStatus(settings: EntrySettings, authority: TestAuthority): EntryStatusResult {
            val file = directory.resolve("authority.pem").also { authority.writeCertificate(it) }
            val client = OperatorClient(
                listOf("https://${settings.listen}"),
                OPERATOR_TOKEN,
                CertificateAuthority.read(file).get(),
            )
            return client.use { it.statuses().single() }
        }

        fun sendRequest(settings: EntrySettings, authority: TestAuthority): HttpResponse<String> {
            val request = HttpRequest.newBuilder(URI("https://${settings.listen}/v1/requests/plan"))
                .header("Authorization", "Bearer $TEST_TOKEN")
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build()
            val client = HttpClient.newBuilder().sslContext(authority.trustingContext()).build()
            return client.send(request, HttpResponse.BodyHandlers.ofString())
        }

        describe("an entry with a certificate") {
            it(
                "is accepted by clients that trust its authority and rejected by others, also after a reload",
            ) {
                first.issue(chain, key)
                val settings = settings()
                val files = EntryFiles.load(settings, MonotonicClock()).get().shouldNotBeNull()
                val daemon = EntryDaemon(settings, MonotonicClock(), files)
                daemon.start()

                sendRequest(settings, first).body() shouldContain "urn:bilberryhead:problem:no-tables"
                shouldThrow<SSLHandshakeException> { sendRequest(settings, second) }
                queryStatus(settings, first).status.get()?.entry shouldBe DaemonId("entry-0")
                val refused = queryStatus(settings, second).status.getError()
                refused.shouldBeInstanceOf<CallError.NoEntryReachable>().detail shouldContain "no TLS connection"

                second.issue(chain, key)
                withTimeout(20.seconds) {
                    while (queryStatus(settings, second).status.get() == null) delay(10.milliseconds)
                }
                queryStatus(settings, first).status.getError().shouldBeInstanceOf<CallError.NoEntryReachable>()
                daemon.drain()
            }
        }
        describe("certificate and key in files") {
            fun errorsOf(tls: TlsSettings) = ServerTls(tls).load().getError().orEmpty().map { it.path }

            fun garbage(name: String): Path = directory.resolve(name).apply { writeText("no PEM") }

            it("have every error reported with its path") {
                errorsOf(TlsSettings("/none/chain.pem", "/none/key.pem")) shouldContainExactly
                    listOf("tls.certificateChainFile", "tls.privateKeyFile")
                errorsOf(TlsSettings(garbage("a").toString(), garbage("b").toString())) shouldContainExactly
                    listOf("tls.certificateChainFile", "tls.privateKeyFile")
            }
            it("leave the previous pair in use until both of them are replaced") {
                first.issue(chain, key)
                val value = ReloadedValue.load(ServerTls(tls), TestClock()).get().shouldNotBeNull()
                val previous = value.current

                val newChain = directory.resolve("new-chain.pem")
                second.issue(newChain, key)
                value.reloadIfChanged()
                value.current shouldBe previous
                value.isValid shouldBe false

                newChain.copyTo(chain, overwrite = true)
                value.reloadIfChanged()
                (value.current === previous) shouldBe false
                value.isValid shouldBe true
            }
        }
    })
