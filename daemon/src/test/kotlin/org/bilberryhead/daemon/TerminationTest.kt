package org.bilberryhead.daemon

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.io.BufferedReader
import java.net.URI
import java.nio.file.Files
import java.util.concurrent.TimeUnit
import kotlin.io.path.writeText

class TerminationTest :
    DescribeSpec({
        describe("a process that receives SIGTERM") {
            it("responds over HTTP until it has drained, and then exits") {
                val settings = Files.createTempFile("draining", ".yaml").apply { writeText("answer: whole\n") }
                val process = ProcessBuilder(
                    "${System.getProperty("java.home")}/bin/java",
                    "-cp",
                    System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
                    "org.bilberryhead.daemon.DrainingDaemonKt",
                    "--settings",
                    settings.toString(),
                ).start()
                try {
                    val output = process.inputStream.bufferedReader()
                    val port = awaitLine(output, "port ").removePrefix("port ").toInt()

                    process.toHandle().destroy()
                    awaitLine(output, "draining")
                    get(port, "work") shouldBe "whole"
                    get(port, "end") shouldBe "ending"

                    process.waitFor(30, TimeUnit.SECONDS) shouldBe true
                } finally {
                    process.destroyForcibly()
                    Files.delete(settings)
                }
            }
        }
    })

private fun awaitLine(output: BufferedReader, prefix: String): String =
    generateSequence { output.readLine() }.first { it.startsWith(prefix) }

private fun get(port: Int, path: String): String =
    URI("http://127.0.0.1:$port/$path").toURL().openStream().use { it.readBytes().decodeToString() }
