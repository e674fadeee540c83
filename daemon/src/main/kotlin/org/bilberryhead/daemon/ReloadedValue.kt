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

/** Loads a value from files that may change while the daemon runs. */
interface ReloadSource<T : Any> {
    /** Path of the setting that names the files. */
    val setting: String

    /** Returns the current stamps of the files. Called at each check, so it must be cheap. */
    fun stamps(): List<FileStamp>

    /** Returns the value that the files contain now, or every error in them. No error may contain a secret. */
    fun load(): Result<T, List<SettingsError>>
}

/** A value that is reloaded when its files have changed. While the files are invalid, the last valid value is kept. */
class ReloadedValue<T : Any> private constructor(
    private val source: ReloadSource<T>,
    private val clock: Clock,
    private var lastStamps: List<FileStamp>,
    initial: T,
) {
    /** Path of the setting that names the files. */
    val setting: String get() = source.setting

    /** The last valid value. */
    @Volatile
    var current: T = initial
        private set

    /** Whether the files were valid when last read, so that [current] is their content. */
    @Volatile
    var isValid: Boolean = true
        private set

    /** When [current] was read. */
    @Volatile
    var loadedAt: Instant = clock.now()
        private set

    /** Reads the files if they have changed since the last check. Must not be called concurrently. */
    fun reloadIfChanged() {
        val stamps = source.stamps()
        if (stamps == lastStamps) return
        lastStamps = stamps
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
        log.error { "files: $setting has ${errors.size} errors, keeping the last valid content" }
    }

    companion object {
        /** Number of errors that are logged one by one for each reload. */
        private const val MAXIMUM_LOGGED_ERRORS = 100

        /** Returns the value that the files of [source] contain now, or every error in them. */
        fun <T : Any> load(source: ReloadSource<T>, clock: Clock): Result<ReloadedValue<T>, List<SettingsError>> {
            // The stamps are read first, so that the next check detects a change during the load.
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
