package org.bilberryhead.core.testing

import io.kotest.core.extensions.TestCaseExtension
import io.kotest.core.test.TestCase
import io.kotest.core.test.TestType
import io.kotest.engine.test.TestResult
import kotlinx.coroutines.withTimeoutOrNull
import java.lang.management.ManagementFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Ends a test that takes too long, and prints the stacks of all threads shortly before. The thread of the test is then
 * interrupted, in case it blocks where cancelling its coroutine cannot end it. Groups of tests have no limit here.
 *
 * @param defaultTimeout timeout of a test that sets none itself
 * @param margin time before the timeout at which the report is made
 */
class HangReporter(private val defaultTimeout: Duration, private val margin: Duration = 5.seconds) :
    TestCaseExtension {
    private val timer = Executors.newSingleThreadScheduledExecutor { action ->
        Thread(action, "hang-reporter").apply { isDaemon = true }
    }

    override suspend fun intercept(testCase: TestCase, execute: suspend (TestCase) -> TestResult): TestResult {
        if (testCase.type != TestType.Test) return execute(testCase)
        val timeout = testCase.config?.timeout ?: defaultTimeout
        val testThread = Thread.currentThread()
        val report = timer.schedule(
            {
                System.err.println("test takes almost $timeout: ${testCase.name.name}\n${threadDump()}")
                testThread.interrupt()
            },
            (timeout - margin).inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        return try {
            withTimeoutOrNull(timeout) { execute(testCase) }
                ?: TestResult.Error(timeout, AssertionError("the test did not end within $timeout"))
        } finally {
            report.cancel(false)
        }
    }

    private fun threadDump(): String =
        ManagementFactory.getThreadMXBean().dumpAllThreads(true, true).joinToString("") { it.toString() }
}
