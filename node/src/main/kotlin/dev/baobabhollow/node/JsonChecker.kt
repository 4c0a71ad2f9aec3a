package dev.baobabhollow.node

import dev.baobabhollow.model.ConfigError
import kotlinx.serialization.descriptors.PolymorphicKind
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementDescriptors
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

private const val TYPE_KEY = "type"
private const val MAX_SHOWN_CHARACTERS = 60

/**
 * Validates [element] against [descriptor] and returns every mismatch with its JSON path: missing and unknown keys,
 * wrong types and unknown enum or type names. Unlike decoding it does not stop at the first error.
 */
fun checkShape(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String = "$",
): List<ConfigError> {
    if (element is JsonNull) {
        return if (descriptor.isNullable) {
            emptyList()
        } else {
            listOf(
                mismatch(path, element, descriptor),
            )
        }
    }
    if (descriptor.isInline) return checkShape(element, descriptor.getElementDescriptor(0), path)
    return when (descriptor.kind) {
        StructureKind.CLASS, StructureKind.OBJECT -> checkObject(element, descriptor, path)
        StructureKind.LIST -> checkList(element, descriptor, path)
        StructureKind.MAP -> checkMap(element, descriptor, path)
        PolymorphicKind.SEALED -> checkSealed(element, descriptor, path)
        else -> if (matchesPrimitive(element, descriptor)) emptyList() else listOf(mismatch(path, element, descriptor))
    }
}

private fun checkObject(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
    extraKeys: Set<String> = emptySet(),
): List<ConfigError> {
    if (element !is JsonObject) return listOf(mismatch(path, element, descriptor))
    val known = descriptor.elementNames.toList()
    val unknown =
        (element.keys - known.toSet() - extraKeys).map { key ->
            ConfigError("$path.$key", "unknown key \"$key\"", "\"${nearest(key, known)}\" or no such key")
        }
    val inner =
        known.flatMapIndexed { index, key ->
            val value = element[key]
            when {
                value != null -> {
                    checkShape(value, descriptor.getElementDescriptor(index), "$path.$key")
                }

                descriptor.isElementOptional(index) -> {
                    emptyList()
                }

                else -> {
                    listOf(
                        ConfigError("$path.$key", "nothing", describeExpected(descriptor.getElementDescriptor(index))),
                    )
                }
            }
        }
    return unknown + inner
}

private fun checkList(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
): List<ConfigError> {
    if (element !is JsonArray) return listOf(mismatch(path, element, descriptor))
    val item = descriptor.getElementDescriptor(0)
    return element.flatMapIndexed { index, value -> checkShape(value, item, "$path[$index]") }
}

private fun checkMap(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
): List<ConfigError> {
    if (element !is JsonObject) return listOf(mismatch(path, element, descriptor))
    val value = descriptor.getElementDescriptor(1)
    return element.flatMap { (key, item) -> checkShape(item, value, "$path.$key") }
}

private fun checkSealed(
    element: JsonElement,
    descriptor: SerialDescriptor,
    path: String,
): List<ConfigError> {
    if (element !is JsonObject) return listOf(mismatch(path, element, descriptor))
    val types = descriptor.getElementDescriptor(1)
    val names = types.elementNames.toList()
    val type = element[TYPE_KEY] ?: return listOf(ConfigError("$path.$TYPE_KEY", "nothing", "one of $names"))
    val name = (type as? JsonPrimitive)?.takeIf { it.isString }?.content
    val index = names.indexOf(name)
    if (index >= 0) return checkObject(element, types.elementDescriptors.toList()[index], path, setOf(TYPE_KEY))
    val expected = if (name == null) "one of $names" else "one of $names; the nearest is \"${nearest(name, names)}\""
    return listOf(ConfigError("$path.$TYPE_KEY", describe(type), expected))
}

private fun matchesPrimitive(
    element: JsonElement,
    descriptor: SerialDescriptor,
): Boolean {
    if (element !is JsonPrimitive) return false
    return when (descriptor.kind) {
        PrimitiveKind.STRING -> element.isString && hasFormat(element.content, descriptor)
        PrimitiveKind.BOOLEAN -> !element.isString && element.booleanOrNull != null
        PrimitiveKind.INT -> !element.isString && element.longOrNull in Int.MIN_VALUE..Int.MAX_VALUE
        PrimitiveKind.LONG -> !element.isString && element.longOrNull != null
        PrimitiveKind.DOUBLE -> !element.isString && element.doubleOrNull?.isFinite() == true
        SerialKind.ENUM -> element.isString && element.content in descriptor.elementNames
        else -> error("no check for ${descriptor.kind}")
    }
}

private operator fun IntRange.contains(value: Long?): Boolean = value != null && value >= first && value <= last

private fun hasFormat(
    text: String,
    descriptor: SerialDescriptor,
): Boolean = !isEndpoint(descriptor) || parseEndpoint(text) != null

private fun isEndpoint(descriptor: SerialDescriptor) =
    descriptor.serialName == EndpointTextSerializer.descriptor.serialName

private fun mismatch(
    path: String,
    element: JsonElement,
    descriptor: SerialDescriptor,
) = ConfigError(path, describe(element), describeExpected(descriptor))

private fun describe(element: JsonElement): String =
    when (element) {
        is JsonObject -> "an object"
        is JsonArray -> "a list"
        else -> element.toString().take(MAX_SHOWN_CHARACTERS)
    }

private fun describeExpected(descriptor: SerialDescriptor): String =
    when {
        descriptor.isInline -> describeExpected(descriptor.getElementDescriptor(0))
        isEndpoint(descriptor) -> "\"IP:PORT\" with an IPv4 number and a port of 1 to 65535"
        else -> describeKind(descriptor)
    }

private fun describeKind(descriptor: SerialDescriptor): String =
    when (descriptor.kind) {
        StructureKind.LIST -> "a list"
        PrimitiveKind.STRING -> "a string"
        PrimitiveKind.BOOLEAN -> "true or false"
        PrimitiveKind.INT -> "a whole number of at most ${Int.MAX_VALUE}"
        PrimitiveKind.LONG -> "a whole number"
        PrimitiveKind.DOUBLE -> "a number"
        SerialKind.ENUM -> "one of ${descriptor.elementNames.toList()}"
        else -> "an object"
    }
