package org.bilberryhead.daemon

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * One fault of a settings file.
 *
 * @property path where in the file, such as `platform.timeout`; empty for the file as a whole
 */
data class SettingsError(val path: String, val problem: String) {
    override fun toString(): String = if (path.isEmpty()) problem else "$path: $problem"
}

/** Settings that can tell what is wrong with them. */
interface CheckedSettings {
    /** Returns every fault; empty when the settings can be used. */
    fun check(): List<SettingsError>
}

/** Reads settings files in YAML, also in its JSON form, which is read faster. Unknown keys are refused. */
object SettingsReader {
    private val yaml by lazy { Yaml(configuration = YamlConfiguration(strictMode = true)) }

    /** Returns the settings in [file], or every fault that was found. */
    fun <T : CheckedSettings> read(file: Path, serializer: KSerializer<T>): Result<T, List<SettingsError>> = try {
        parse(file.readText(), serializer)
    } catch (failure: IOException) {
        Err(listOf(SettingsError("", "can not read $file: ${failure.message}")))
    }

    /** Returns the settings in [text], or every fault that was found. */
    fun <T : CheckedSettings> parse(text: String, serializer: KSerializer<T>): Result<T, List<SettingsError>> =
        parseJson(text, serializer)?.let(::checked) ?: parseYaml(text, serializer)

    /** Returns null for what is no JSON or does not fit; the YAML reader then names the faults. */
    private fun <T : CheckedSettings> parseJson(text: String, serializer: KSerializer<T>): T? = try {
        if (text.startsWith(JSON_START)) Json.decodeFromString(serializer, text) else null
    } catch (_: SerializationException) {
        null
    }

    private fun <T : CheckedSettings> parseYaml(
        text: String,
        serializer: KSerializer<T>,
    ): Result<T, List<SettingsError>> = try {
        val shapeErrors = SettingsShape.check(yaml.parseToYamlNode(text), serializer.descriptor)
        if (shapeErrors.isEmpty()) decode(text, serializer) else Err(shapeErrors)
    } catch (failure: YamlException) {
        Err(listOf(SettingsError(failure.path.toHumanReadableString(), "line ${failure.line}: ${failure.message}")))
    }

    private fun <T : CheckedSettings> decode(text: String, serializer: KSerializer<T>): Result<T, List<SettingsError>> =
        checked(yaml.decodeFromString(serializer, text))

    private fun <T : CheckedSettings> checked(settings: T): Result<T, List<SettingsError>> {
        val errors = settings.check()
        return if (errors.isEmpty()) Ok(settings) else Err(errors)
    }

    private const val JSON_START = "{"
}
