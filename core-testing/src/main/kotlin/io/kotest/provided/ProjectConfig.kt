package io.kotest.provided

import io.kotest.core.config.AbstractProjectConfig
import io.kotest.core.extensions.Extension
import org.bilberryhead.core.testing.HangReporter
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** Kotest settings of every module that has this one on its test class path. Kotest finds the class by its name. */
class ProjectConfig : AbstractProjectConfig() {
    /** Applies to groups of tests too, which take as long as all of their tests. */
    override val timeout: Duration = GROUP_TIMEOUT

    override val extensions: List<Extension> = listOf(HangReporter(TEST_TIMEOUT))

    private companion object {
        val GROUP_TIMEOUT = 20.minutes
        val TEST_TIMEOUT = 5.minutes
    }
}
