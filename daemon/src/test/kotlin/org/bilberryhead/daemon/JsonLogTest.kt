package org.bilberryhead.daemon

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import ch.qos.logback.classic.util.LogbackMDCAdapter
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import org.slf4j.Logger
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class JsonLogTest :
    DescribeSpec({
        /** Returns the lines that [write] logs with the configuration of the daemons. */
        fun logLines(format: String, write: (Logger) -> Unit): List<String> {
            val loggers = LoggerContext()
            loggers.mdcAdapter = LogbackMDCAdapter()
            loggers.putProperty("BILBERRY_LOG_FORMAT", format)
            val originalOutput = System.out
            val capturedOutput = ByteArrayOutputStream()
            System.setOut(PrintStream(capturedOutput, true))
            try {
                JoranConfigurator().apply { context = loggers }
                    .doConfigure(checkNotNull(JsonLogTest::class.java.getResource("/logback.xml")))
                write(loggers.getLogger("routing"))
                loggers.stop()
            } finally {
                System.setOut(originalOutput)
            }
            return capturedOutput.toString().lines().filter { it.isNotBlank() }
        }

        fun JsonObject.text(key: String) = getValue(key).jsonPrimitive.content

        describe("the log format json") {
            it("writes each event as one JSON object on one line, whatever the message contains") {
                val message = "routing: chose \"orders-1\"\nof 2, \t\\ é"

                val lines = logLines("json") {
                    it.info(message)
                    it.error("routing: failed", IllegalStateException("line 1\nline 2"))
                    it.debug("routing: not shown")
                }

                lines shouldHaveSize 2
                val (first, second) = lines.map { Json.parseToJsonElement(it).jsonObject }
                first.text("message") shouldBe message
                first.text("level") shouldBe "INFO"
                first.text("loggerName") shouldBe "routing"
                first.getValue("timestamp").jsonPrimitive.long shouldBeGreaterThan 0
                val throwable = second.getValue("throwable").jsonObject
                throwable.text("message") shouldBe "line 1\nline 2"
                throwable.getValue("stepArray").jsonArray.size shouldBeGreaterThan 0
            }
        }
        describe("the log format text") {
            it("writes time, level and message") {
                val line = logLines("text") { it.info("routing: chose orders-1") }.single()

                line shouldContain Regex("""^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}\S+ INFO  routing: chose orders-1$""")
            }
        }
    })
