package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import it.krzeminski.snakeyaml.engine.kmp.api.LoadSettings
import it.krzeminski.snakeyaml.engine.kmp.api.lowlevel.Parse
import it.krzeminski.snakeyaml.engine.kmp.events.Event
import it.krzeminski.snakeyaml.engine.kmp.events.MappingEndEvent
import it.krzeminski.snakeyaml.engine.kmp.events.MappingStartEvent
import it.krzeminski.snakeyaml.engine.kmp.events.NodeEvent
import it.krzeminski.snakeyaml.engine.kmp.events.ScalarEvent
import it.krzeminski.snakeyaml.engine.kmp.events.SequenceEndEvent
import it.krzeminski.snakeyaml.engine.kmp.events.SequenceStartEvent
import it.krzeminski.snakeyaml.engine.kmp.exceptions.MarkedYamlEngineException
import it.krzeminski.snakeyaml.engine.kmp.exceptions.YamlEngineException
import org.bilberryhead.daemon.SettingsError
import java.io.Reader

/**
 * Reads a list of hashed tokens and their owners from YAML. The file is parsed as a stream of events, because its node
 * tree would take most of the heap of an entry. No error message contains content of the file.
 *
 * @param ownerKey key of the owner in each row, next to `tokenSha256`
 * @param owner creates an owner from its text
 */
internal class TokenFileReader<T : Any>(private val ownerKey: String, private val owner: (String) -> T) {
    private val knownKeys = setOf(ownerKey, DIGEST_KEY)

    /** Returns the owners of all tokens in [input], or every error. Reading stops at the first malformed YAML. */
    fun read(input: Reader): Result<TokenOwners<T>, List<SettingsError>> {
        val parser = RowParser()
        try {
            parser.readAll(Parse(loadSettings).parse(input).iterator())
        } catch (failure: MarkedYamlEngineException) {
            parser.addError("", "line ${lineOf(failure)}: not well-formed YAML")
        } catch (_: YamlEngineException) {
            parser.addError("", "not well-formed YAML in UTF-8 of at most $MAXIMUM_CHARACTERS characters")
        }
        return if (parser.errors.isEmpty()) Ok(parser.owners) else Err(parser.errors)
    }

    private fun lineOf(failure: MarkedYamlEngineException) = (failure.problemMark?.line ?: 0) + 1

    private inner class RowParser {
        val owners = HashMap<TokenDigest, T>()
        val errors = mutableListOf<SettingsError>()
        private val rowByDigest = HashMap<TokenDigest, Int>()

        fun addError(path: String, problem: String) {
            errors += SettingsError(path, problem)
        }

        fun readAll(events: Iterator<Event>) {
            if (nextNode(events) !is SequenceStartEvent) {
                return addError("", "must be a list of $ownerKey and $DIGEST_KEY")
            }
            var row = 0
            var event = events.next()
            while (event !is SequenceEndEvent) {
                if (event !is MappingStartEvent) return addError("[$row]", "must be a map of $ownerKey and $DIGEST_KEY")
                val fields = readRow("[$row]", events) ?: return
                addRow(row, fields)
                row++
                event = events.next()
            }
            if (nextNode(events) != null) addError("", "must be one document")
        }

        private fun nextNode(events: Iterator<Event>): Event? = events.asSequence().firstOrNull { it is NodeEvent }

        /** Returns the values of a row by key, or null when the rest of the file cannot be parsed. */
        private fun readRow(path: String, events: Iterator<Event>): Map<String, String>? {
            val fields = HashMap<String, String>()
            while (true) {
                val key = events.next()
                if (key is MappingEndEvent) return fields
                val value = events.next()
                if (key !is ScalarEvent || value !is ScalarEvent) {
                    addError(path, "must hold single values only")
                    return null
                }
                if (key.value !in knownKeys) addError(path, "unknown key; known are $ownerKey, $DIGEST_KEY")
                if (fields.put(key.value, value.value) != null) addError(path, "a key is given twice")
            }
        }

        private fun addRow(row: Int, fields: Map<String, String>) {
            val name = fields[ownerKey].orEmpty()
            if (name.isBlank()) addError("[$row].$ownerKey", "is missing")
            val digest = TokenDigest.parse(fields[DIGEST_KEY].orEmpty())
            if (digest == null) {
                return addError("[$row].$DIGEST_KEY", "not ${TokenDigest.HEX_DIGITS} hexadecimal digits")
            }
            val previousRow = rowByDigest.putIfAbsent(digest, row)
            if (previousRow != null) addError("[$row].$DIGEST_KEY", "is the same as in [$previousRow]")
            owners[digest] = owner(name)
        }
    }

    private companion object {
        const val DIGEST_KEY = "tokenSha256"

        /** Maximum length of a file, in characters. */
        const val MAXIMUM_CHARACTERS = 64 * 1024 * 1024

        val loadSettings = LoadSettings(codePointLimit = MAXIMUM_CHARACTERS)
    }
}
