package org.bilberryhead.daemon

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import it.krzeminski.snakeyaml.engine.kmp.exceptions.YamlEngineException
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/**
 * An error in a settings file.
 *
 * @property path location in the file, such as `platform.timeout`; empty for the complete file
 */
data class SettingsError(val path: String, val problem: String) {
    override fun toString(): String = if (path.isEmpty()) problem else "$path: $problem"
}

/** Settings that validate their values. */
interface CheckedSettings {
    /** Returns every error; empty if the settings are valid. */
    fun check(): List<SettingsError>
}

/** Reads settings files in YAML, or in JSON, which parses faster. Unknown keys are errors. */
object SettingsReader {
    private val yaml by lazy { Yaml(configuration = YamlConfiguration(strictMode = true)) }

    /** Returns the settings in [file], or every error that was found. */
    fun <T : CheckedSettings> read(file: Path, serializer: KSerializer<T>): Result<T, List<SettingsError>> = try {
        parse(file.readText(), serializer)
    } catch (failure: IOException) {
        Err(listOf(SettingsError("", "can not read $file: ${failure.message}")))
    }

    /** Returns the settings in [text], or every error that was found. */
    fun <T : CheckedSettings> parse(text: String, serializer: KSerializer<T>): Result<T, List<SettingsError>> =
        parseJson(text, serializer)?.let(::validated) ?: parseYaml(text, serializer)

    /** Returns null if [text] is not JSON or does not match the type; the YAML parser then reports the errors. */
    private fun <T : CheckedSettings> parseJson(text: String, serializer: KSerializer<T>): T? = try {
        if (text.startsWith(JSON_START)) Json.decodeFromString(serializer, text) else null
    } catch (_: SerializationException) {
        null
    }

    private fun <T : CheckedSettings> parseYaml(
        text: String,
        serializer: KSerializer<T>,
    ): Result<T, List<SettingsError>> = try {
        val schemaErrors = SettingsSchemaCheck.check(yaml.parseToYamlNode(text), serializer.descriptor)
        if (schemaErrors.isEmpty()) decode(text, serializer) else Err(schemaErrors)
    } catch (failure: YamlException) {
        Err(listOf(SettingsError(failure.path.toHumanReadableString(), "line ${failure.line}: ${failure.message}")))
    } catch (failure: SerializationException) {
        Err(listOf(SettingsError("", failure.message.orEmpty())))
    } catch (failure: YamlEngineException) {
        // Text that is not even YAML, such as text with control characters.
        Err(listOf(SettingsError("", failure.message.orEmpty())))
    } catch (_: StackOverflowError) {
        Err(listOf(SettingsError("", "nested too deeply")))
    }

    private fun <T : CheckedSettings> decode(text: String, serializer: KSerializer<T>): Result<T, List<SettingsError>> =
        validated(yaml.decodeFromString(serializer, text))

    private fun <T : CheckedSettings> validated(settings: T): Result<T, List<SettingsError>> {
        val errors = settings.check()
        return if (errors.isEmpty()) Ok(settings) else Err(errors)
    }

    private const val JSON_START = "{"
}
