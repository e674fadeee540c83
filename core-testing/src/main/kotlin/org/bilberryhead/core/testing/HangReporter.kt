package org.bilberryhead.core.testing

import io.kotest.core.extensions.TestCaseExtension
import io.kotest.core.test.TestCase
import io.kotest.core.test.TestType
import io.kotest.engine.test.TestResult
import java.lang.management.ManagementFactory
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Prints the stacks of all threads when a test takes longer than [limit], and interrupts the test's thread, in case it
 * blocks where the timeout of the test framework cannot end it.
 */
class HangReporter(private val limit: Duration) : TestCaseExtension {
    private val timer = Executors.newSingleThreadScheduledExecutor { action ->
        Thread(action, "hang-reporter").apply { isDaemon = true }
    }

    override suspend fun intercept(testCase: TestCase, execute: suspend (TestCase) -> TestResult): TestResult {
        if (testCase.type != TestType.Test) return execute(testCase)
        val testThread = Thread.currentThread()
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
