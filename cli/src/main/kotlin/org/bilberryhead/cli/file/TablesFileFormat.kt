package org.bilberryhead.cli.file

import com.charleskorn.kaml.SingleLineStringStyle
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlConfiguration
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlScalar
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import kotlinx.serialization.KSerializer
import org.bilberryhead.core.tables.TableProblem
import org.bilberryhead.core.tables.TableValidator

/** Decodes and encodes tables files in YAML. */
object TablesFileFormat {
    private val yaml =
        Yaml(
            configuration = YamlConfiguration(
                strictMode = true,
                encodeDefaults = false,
                singleLineStringStyle = SingleLineStringStyle.PlainExceptAmbiguous,
            ),
        )

    /** Returns the tables in [text], or every error that was found. */
    fun read(text: String): Result<TablesFile, List<FileProblem>> {
        val root = parse(text).getOrElse { return Err(listOf(it)) }
        val schemaProblems = SchemaChecker().check(root, TablesFile.serializer().descriptor, emptyList())
        val rows = DecodableRows(root as? YamlMap, schemaProblems)
        val problems = schemaProblems + rows.tableProblems().map { locate(root, it) }
        return if (problems.isEmpty()) Ok(rows.file) else Err(problems.sortedBy { it.line })
    }

    /** Returns [file] as YAML; values that equal their defaults are left out. */
    fun write(file: TablesFile): String = yaml.encodeToString(TablesFile.serializer(), file) + "\n"

    /** Returns one row as YAML. */
    internal fun <T> writeRow(serializer: KSerializer<T>, row: T): String = yaml.encodeToString(serializer, row)

    private fun parse(text: String): Result<YamlNode, FileProblem> = try {
        Ok(yaml.parseToYamlNode(text))
    } catch (failure: YamlException) {
        Err(FileProblem(failure.line, "", failure.message))
    }

    private fun locate(root: YamlNode, problem: TableProblem): FileProblem {
        var node = root
        var line = root.location.line
        for (step in problem.path) {
            val next = child(node, step) ?: break
            node = next.value
            line = next.line
        }
        return FileProblem(line, problem.path.joinToString("."), problem.problem)
    }

    private fun child(node: YamlNode, step: String): ChildNode? = when (node) {
        is YamlMap -> node.entries.entries.find { it.key.content == step }?.let { (key, value) ->
            ChildNode(value, if (value is YamlScalar) value.location.line else key.location.line)
        }
        is YamlList -> step.toIntOrNull()?.let { node.items.getOrNull(it) }?.let { ChildNode(it, it.location.line) }
        else -> null
    }

    private class ChildNode(val value: YamlNode, val line: Int)

    /** The rows that match the schema, so that errors in other rows do not hide the errors in these. */
    private class DecodableRows(private val root: YamlMap?, schemaProblems: List<FileProblem>) {
        private val malformedRows = schemaProblems.map { it.path.split(".").take(2).joinToString(".") }.toSet()
        private val malformedPools = rowNodes("pools").keys.filter { "pools.$it" in malformedRows }

        val file = TablesFile(
            routes = decodeRows("routes", RouteRow.serializer()),
            pools = decodeRows("pools", PoolRow.serializer()),
        )

        /** Validates the tables. Malformed pools count as existing, and no further problem is reported for them. */
        fun tableProblems(): List<TableProblem> {
            val placeholders = malformedPools.associateWith { PoolRow(endpoints = emptyList()) }
            val pools = TablesFile(pools = file.pools + placeholders).toPools().values
            return TableValidator.check(file.toRoutes().values, pools)
                .filterNot { it.path.first() == "pools" && it.path.getOrNull(1) in malformedPools }
        }

        private fun rowNodes(table: String): Map<String, YamlNode> =
            (root?.entries?.entries?.find { it.key.content == table }?.value as? YamlMap)
                ?.entries?.mapKeys { it.key.content }
                .orEmpty()

        private fun <T> decodeRows(table: String, serializer: KSerializer<T>): Map<String, T> = rowNodes(table)
            .filterKeys { "$table.$it" !in malformedRows && table !in malformedRows }
            .mapValues { (_, node) -> yaml.decodeFromYamlNode(serializer, node) }
    }
}
