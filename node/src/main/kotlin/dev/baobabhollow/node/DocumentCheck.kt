package dev.baobabhollow.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import dev.baobabhollow.configuration.validate
import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.Patch
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Kind of file that `validate` recognises. */
enum class DocumentKind(
    internal val label: String,
    internal val serializer: KSerializer<*>,
) {
    /** Node settings. */
    SETTINGS("node settings", NodeSettings.serializer()),

    /** A patch. */
    PATCH("patch", Patch.serializer()),

    /** A whole mesh configuration. */
    MESH("mesh configuration", MeshConfig.serializer()),
    ;

    override fun toString(): String = label
}

/** Parses node settings or returns every error. */
fun parseSettings(text: String): Result<NodeSettings, List<ConfigError>> =
    parseDocument(text, NodeSettings.serializer()) { validate(it) }

/** Parses a patch or returns every error that can be found without the configuration that it changes. */
fun parsePatch(text: String): Result<Patch, List<ConfigError>> =
    parseDocument(text, Patch.serializer()) { patch ->
        if (patch.changes.isNotEmpty()) return@parseDocument emptyList()
        listOf(ConfigError("$.changes", "an empty list", "at least one change"))
    }

/** Parses a mesh configuration or returns every error. */
fun parseMesh(text: String): Result<MeshConfig, List<ConfigError>> =
    parseDocument(text, MeshConfig.serializer()) { validate(it) }

/** Detects the kind of [text] by its top-level keys and returns the kind with every error found. */
fun checkDocument(text: String): Pair<DocumentKind, List<ConfigError>> {
    val root = runCatching { ModelJson.parseToJsonElement(text) }.getOrNull()
    val kind = detectKind(root)
    val result =
        when (kind) {
            DocumentKind.SETTINGS -> parseSettings(text)
            DocumentKind.PATCH -> parsePatch(text)
            DocumentKind.MESH -> parseMesh(text)
        }
    return kind to result.getError().orEmpty()
}

/** Returns the kind with the most known top-level keys; among equals, the one with the fewest errors. */
private fun detectKind(root: JsonElement?): DocumentKind {
    if (root !is JsonObject) return DocumentKind.SETTINGS
    val fewestErrors = DocumentKind.entries.sortedBy { checkShape(root, it.serializer.descriptor).size }
    return fewestErrors.maxBy { kind -> root.keys.count { it in kind.serializer.descriptor.elementNames } }
}

private fun <T> parseDocument(
    text: String,
    serializer: KSerializer<T>,
    check: (T) -> List<ConfigError>,
): Result<T, List<ConfigError>> {
    val root =
        try {
            ModelJson.parseToJsonElement(text)
        } catch (e: SerializationException) {
            return Err(
                listOf(
                    ConfigError(
                        "$",
                        e.message
                            .orEmpty()
                            .lineSequence()
                            .first(),
                        "JSON",
                    ),
                ),
            )
        }
    val shapeErrors = checkShape(root, serializer.descriptor)
    if (shapeErrors.isNotEmpty()) return Err(shapeErrors)
    val value = ModelJson.decodeFromJsonElement(serializer, root)
    val errors = check(value)
    return if (errors.isEmpty()) Ok(value) else Err(errors)
}
