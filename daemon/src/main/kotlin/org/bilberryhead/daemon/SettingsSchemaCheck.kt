package org.bilberryhead.daemon

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

/** Compares a YAML document with the descriptor of the type to decode, and reports all mismatches at once. */
@OptIn(ExperimentalSerializationApi::class)
internal object SettingsSchemaCheck {
    /** Returns every mismatch between [node] and [descriptor]; empty if [node] can be decoded. */
    fun check(node: YamlNode, descriptor: SerialDescriptor, path: String = ""): List<SettingsError> = when {
        descriptor.isInline -> check(node, descriptor.getElementDescriptor(0), path)
        node is YamlNull -> if (descriptor.isNullable) emptyList() else listOf(error(node, path, "a value is missing"))
        descriptor.kind == StructureKind.CLASS -> checkClass(node, descriptor, path)
        descriptor.kind == StructureKind.LIST -> checkList(node, descriptor, path)
        descriptor.kind == StructureKind.MAP -> checkMap(node, descriptor, path)
        descriptor.kind is PrimitiveKind || descriptor.kind == SerialKind.ENUM -> checkScalar(node, descriptor, path)
        else -> emptyList()
    }

    private fun checkClass(node: YamlNode, descriptor: SerialDescriptor, path: String): List<SettingsError> {
        if (node !is YamlMap) return listOf(error(node, path, "must be a map of ${names(descriptor)}"))
        val present = node.entries.mapKeys { (key, _) -> key.content }
        val unknown = node.entries.keys
            .filter { descriptor.getElementIndex(it.content) < 0 }
            .map { error(it, join(path, it.content), "unknown key; known are ${names(descriptor)}") }
        val known = (0 until descriptor.elementsCount).flatMap { index ->
            val name = descriptor.getElementName(index)
            val value = present[name]
            when {
                value != null -> check(value, descriptor.getElementDescriptor(index), join(path, name))
                descriptor.isElementOptional(index) -> emptyList()
                else -> listOf(SettingsError(join(path, name), "is missing"))
            }
        }
        return unknown + known
    }

    private fun checkList(node: YamlNode, descriptor: SerialDescriptor, path: String): List<SettingsError> {
        if (node !is YamlList) return listOf(error(node, path, "must be a list"))
        val element = descriptor.getElementDescriptor(0)
        return node.items.flatMapIndexed { index, item -> check(item, element, "$path[$index]") }
    }

    private fun checkMap(node: YamlNode, descriptor: SerialDescriptor, path: String): List<SettingsError> {
        if (node !is YamlMap) return listOf(error(node, path, "must be a map"))
        val value = descriptor.getElementDescriptor(1)
        return node.entries.flatMap { (key, item) -> check(item, value, join(path, key.content)) }
    }

    private fun checkScalar(node: YamlNode, descriptor: SerialDescriptor, path: String): List<SettingsError> {
        if (node !is YamlScalar) return listOf(error(node, path, "must be a single value"))
        val expected = unmetExpectation(node.content, descriptor) ?: return emptyList()
        return listOf(error(node, path, "'${node.content}' is not $expected"))
    }

    /** Returns a description of the values that are valid for [descriptor] if [text] is not one of them, else null. */
    private fun unmetExpectation(text: String, descriptor: SerialDescriptor): String? = when (descriptor.kind) {
        PrimitiveKind.INT -> if (text.toIntOrNull() == null) "a whole number" else null
        PrimitiveKind.LONG -> if (text.toLongOrNull() == null) "a whole number" else null
        PrimitiveKind.DOUBLE -> if (text.toDoubleOrNull() == null) "a number" else null
        PrimitiveKind.BOOLEAN -> if (text.toBooleanStrictOrNull() == null) "true or false" else null
        SerialKind.ENUM -> if (text !in descriptor.elementNames) "one of ${names(descriptor)}" else null
        PrimitiveKind.STRING -> if (isInvalidDuration(text, descriptor)) "a duration such as 250ms or 4s" else null
        else -> null
    }

    private fun isInvalidDuration(text: String, descriptor: SerialDescriptor): Boolean =
        descriptor.serialName == DurationTextSerializer.descriptor.serialName && Duration.parseOrNull(text) == null

    private fun error(node: YamlNode, path: String, problem: String) =
        SettingsError(path, "line ${node.location.line}: $problem")

    private fun names(descriptor: SerialDescriptor) = descriptor.elementNames.joinToString(", ")

    private fun join(path: String, name: String) = if (path.isEmpty()) name else "$path.$name"
}
