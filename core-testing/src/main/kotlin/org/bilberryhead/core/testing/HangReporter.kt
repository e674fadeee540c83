package org.bilberryhead.core.testing

import io.kotest.core.extensions.TestCaseExtension
import io.kotest.core.test.TestCase
import io.kotest.core.test.TestType
import io.kotest.engine.test.TestResult
import java.lang.management.ManagementFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Prints the stacks of all threads shortly before the timeout of a test, and interrupts the test's thread, in case it
 * blocks where the test framework cannot end it.
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
        val testThread = Thread.currentThread()
        val limit = (testCase.config?.timeout ?: defaultTimeout) - margin
        val report = timer.schedule(
            {
                System.err.println("test takes longer than $limit: ${testCase.name.name}\n${threadDump()}")
                testThread.interrupt()
            },
            limit.inWholeMilliseconds,
            TimeUnit.MILLISECONDS,
        )
        return try {
            execute(testCase)
        } finally {
            report.cancel(false)
        }
    }

    private fun threadDump(): String =
        ManagementFactory.getThreadMXBean().dumpAllThreads(true, true).joinToString("") { it.toString() }
}
