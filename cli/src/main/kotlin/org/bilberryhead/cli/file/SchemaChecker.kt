package org.bilberryhead.cli.file

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import org.bilberryhead.core.common.DurationTextSerializer
import kotlin.time.Duration

/**
 * Validates a YAML document against the schema of a serializer and reports every error at once: unknown and missing
 * keys, and values of the wrong type. Decoding itself stops at the first error.
 */
@OptIn(ExperimentalSerializationApi::class)
internal class SchemaChecker {
    private val problems = mutableListOf<FileProblem>()

    /** Returns every error of [node] against [descriptor], in the order of the file. */
    fun check(node: YamlNode, descriptor: SerialDescriptor, path: List<String>): List<FileProblem> {
        problems.clear()
        visit(node, descriptor, path)
        return problems.toList()
    }

    private fun visit(node: YamlNode, descriptor: SerialDescriptor, path: List<String>) {
        if (node is YamlNull) {
            if (!descriptor.isNullable) report(node, path, "a value is missing")
            return
        }
        when (descriptor.kind) {
            StructureKind.CLASS -> if (descriptor.isInline) {
                visit(node, descriptor.getElementDescriptor(0), path)
            } else {
                visitClass(node, descriptor, path)
            }
            StructureKind.LIST -> visitList(node, descriptor, path)
            StructureKind.MAP -> visitMap(node, descriptor, path)
            else -> visitScalar(node, descriptor, path)
        }
    }

    private fun visitClass(node: YamlNode, descriptor: SerialDescriptor, path: List<String>) {
        if (node !is YamlMap) return report(node, path, "must be keys with values")
        val known = descriptor.elementNames.toList()
        for ((key, value) in node.entries) {
            val index = known.indexOf(key.content)
            if (index < 0) {
                report(key, path + key.content, "unknown key; known are ${known.joinToString()}")
            } else {
                visit(value, descriptor.getElementDescriptor(index), path + key.content)
            }
        }
        val present = node.entries.keys.map { it.content }
        known.filterIndexed { index, name -> name !in present && !descriptor.isElementOptional(index) }
            .forEach { report(node, path + it, "is missing") }
    }

    private fun visitList(node: YamlNode, descriptor: SerialDescriptor, path: List<String>) {
        if (node !is YamlList) return report(node, path, "must be a list")
        node.items.forEachIndexed { index, item ->
            visit(item, descriptor.getElementDescriptor(0), path + index.toString())
        }
    }

    private fun visitMap(node: YamlNode, descriptor: SerialDescriptor, path: List<String>) {
        if (node !is YamlMap) return report(node, path, "must be keys with values")
        node.entries.forEach { (key, value) -> visit(value, descriptor.getElementDescriptor(1), path + key.content) }
    }

    private fun visitScalar(node: YamlNode, descriptor: SerialDescriptor, path: List<String>) {
        if (node !is YamlScalar) return report(node, path, "must be a single value")
        val problem = scalarProblem(node.content, descriptor)
        if (problem != null) report(node, path, "'${node.content}' $problem")
    }

    private fun scalarProblem(text: String, descriptor: SerialDescriptor): String? = when {
        descriptor.serialName == DurationTextSerializer.descriptor.serialName ->
            "is not a duration such as 250ms or 4s".takeIf { Duration.parseOrNull(text) == null }
        descriptor.kind == SerialKind.ENUM -> "is none of ${descriptor.elementNames.joinToString()}"
            .takeIf { text !in descriptor.elementNames }
        descriptor.kind == PrimitiveKind.BOOLEAN -> "is neither true nor false".takeIf { text !in BOOLEANS }
        descriptor.kind == PrimitiveKind.INT -> "is not a whole number".takeIf { text.toIntOrNull() == null }
        descriptor.kind == PrimitiveKind.DOUBLE -> "is not a number".takeIf {
            text.toDoubleOrNull()?.isFinite() != true
        }
        else -> null
    }

    private fun report(node: YamlNode, path: List<String>, problem: String) {
        problems += FileProblem(node.location.line, path.joinToString("."), problem)
    }

    private companion object {
        val BOOLEANS = setOf("true", "false")
    }
}
