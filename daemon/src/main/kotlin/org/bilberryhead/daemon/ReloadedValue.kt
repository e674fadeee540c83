package org.bilberryhead.daemon

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlin.time.Clock
import kotlin.time.Instant

private val log = KotlinLogging.logger("files")

/** Where a value comes from that may change while the daemon runs. */
interface ReloadSource<T : Any> {
    /** Path of the setting that names the files. */
    val setting: String

    /** Returns what tells one state of the files from another; cheap, as it is called at each check. */
    fun stamps(): List<FileStamp>

    /** Returns the value that the files hold now, or every fault of theirs. No fault may show a secret. */
    fun load(): Result<T, List<SettingsError>>
}

/** A value from files that is read again whenever they have changed; faulty files leave the former value in force. */
class ReloadedValue<T : Any> private constructor(
    private val source: ReloadSource<T>,
    private val clock: Clock,
    private var seen: List<FileStamp>,
    first: T,
) {
    /** Path of the setting that names the files. */
    val setting: String get() = source.setting

    /** The value in force. */
    @Volatile
    var current: T = first
        private set

    /** Whether the files, as last read, hold the value in force. */
    @Volatile
    var isValid: Boolean = true
        private set

    /** When the files that hold the value in force were read. */
    @Volatile
    var loadedAt: Instant = clock.now()
        private set

    /** Reads the files if they have changed since the last check. Not to be called by two threads at once. */
    fun check() {
        val stamps = source.stamps()
        if (stamps == seen) return
        seen = stamps
        source.load()
            .onSuccess { accept(it) }
            .onFailure { reject(it) }
    }

    private fun accept(value: T) {
        current = value
        isValid = true
        loadedAt = clock.now()
        log.info { "files: $setting was read again" }
    }

    private fun reject(errors: List<SettingsError>) {
        isValid = false
        errors.take(MAXIMUM_LOGGED_ERRORS).forEach { log.error { "files: $setting: $it" } }
        log.error { "files: $setting has ${errors.size} faults, the former content stays in force" }
    }

    companion object {
        /** Faults of one state of the files that are logged one by one. */
        private const val MAXIMUM_LOGGED_ERRORS = 100

        /** Returns the value that the files of [source] hold now, or every fault of theirs. */
        fun <T : Any> load(source: ReloadSource<T>, clock: Clock): Result<ReloadedValue<T>, List<SettingsError>> {
            // A change between the stamps and the reading is seen by the next check.
            val stamps = source.stamps()
            return source.load().map { ReloadedValue(source, clock, stamps, it) }
        }

        /** Returns a value that never changes. */
        fun <T : Any> constant(value: T, clock: Clock): ReloadedValue<T> =
            ReloadedValue(ConstantSource(value), clock, emptyList(), value)
    }

    private class ConstantSource<T : Any>(private val value: T) : ReloadSource<T> {
        override val setting = ""

        override fun stamps() = emptyList<FileStamp>()

        override fun load() = Ok(value)
    }
}
