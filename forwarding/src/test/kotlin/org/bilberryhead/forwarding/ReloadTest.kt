package org.bilberryhead.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.serving.ResponseTimeWindow
import org.bilberryhead.daemon.SettingsError
import java.util.concurrent.atomic.AtomicInteger

class ReloadTest :
    DescribeSpec({
        /** Runs [use] with an entry whose two endpoints together fail every other request, beginning with the first. */
        fun withFailingEndpoints(use: (LoopbackDeployment) -> Unit) {
            val count = AtomicInteger()
            val endpoints = List(2) {
                ScriptedEndpoint {
                    if (count.getAndIncrement() % 2 == 0) respond(status = "500 Oops") else respond(body = "found")
                }
            }
            try {
                LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("p" to endpoints)).use(use)
            } finally {
                endpoints.forEach { it.close() }
            }
        }

        fun LoopbackDeployment.lookUp(id: String) = get("/lookup/a", id).shouldNotBeNull().head

        describe("an entry that reloads its settings") {
            it("applies the new retry limits") {
                withFailingEndpoints { entry ->
                    entry.lookUp("before") shouldContain " 200 "
                    entry.reload(Ok(entry.settings.copy(retryRatio = 0.0, retrySlack = 0.0)))
                    entry.lookUp("after") shouldContain " 500 "
                }
            }

            it("applies the hedge ratio, so that hedging begins and stops without a restart") {
                val slowRequests = AtomicInteger()
                val endpoints = List(2) {
                    ScriptedEndpoint {
                        val isFirst = id.startsWith("slow") && slowRequests.getAndIncrement() % 2 == 0
                        if (isFirst) awaitClose() else respond()
                    }
                }
                LoopbackDeployment(LoopbackDeployment.CONFIGURATION, mapOf("p" to endpoints)).use { entry ->
                    entry.reload(Ok(entry.settings.copy(hedgeRatio = 0.5)))
                    repeat(ResponseTimeWindow.MINIMUM_SAMPLES) { entry.lookUp("fast$it") }
                    entry.lookUp("slow1") shouldContain " 200 "
                    entry.reload(Ok(entry.settings))
                    entry.lookUp("slow2") shouldContain " 504 "
                }
                endpoints.forEach { it.close() }
            }

            it("rejects a hedge ratio that is not between 0 and 1") {
                withFailingEndpoints { entry ->
                    for (ratio in listOf(-0.1, 1.1, Double.NaN)) {
                        entry.settings.copy(hedgeRatio = ratio).check().map { it.path } shouldBe listOf("hedgeRatio")
                    }
                }
            }

            it("keeps its settings when the new ones are invalid") {
                withFailingEndpoints { entry ->
                    entry.reload(Err(listOf(SettingsError("retryRatio", "-1 is negative"))))
                    entry.lookUp("after") shouldContain " 200 "
                }
            }

            it("keeps its addresses and its data centre until the next start") {
                withFailingEndpoints { entry ->
                    val moved = entry.settings.copy(dataCentre = DataCentre("y"), callers = entry.settings.peers)
                    entry.settings.withReloadable(moved) shouldBe entry.settings
                    entry.reload(Ok(moved))
                    entry.lookUp("after") shouldContain " 200 "
                }
            }
        }
    })
