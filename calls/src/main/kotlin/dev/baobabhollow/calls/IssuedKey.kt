package dev.baobabhollow.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.NodeId
import java.util.HexFormat

/**
 * Key issued by a node: `bh1.<node>.<incarnation>.<deadline epoch ms>.<random>`. Only that incarnation of the node
 * stores its outcome. The node's name may contain dots.
 */
data class IssuedKey internal constructor(
    val node: NodeId,
    val incarnation: Long,
    override val deadlineMillis: Long,
    val random: String,
) : IdempotencyKey {
    override val text: String get() = "$PREFIX$node.$incarnation.$deadlineMillis.$random"

    /** Issues and parses keys. */
    companion object {
        internal const val PREFIX = "bh1."
        private const val RANDOM_BYTES = 16
        private const val FIELDS_AFTER_NODE = 3
        private val RANDOM_REGEX = Regex("[0-9a-f]{${RANDOM_BYTES * 2}}")
        private val NODE_REGEX = Regex("[A-Za-z0-9._:-]{1,100}")

        /** Issues a key. [fillRandom] fills an array with cryptographically secure random bytes. */
        fun issue(
            node: NodeId,
            incarnation: Long,
            deadlineMillis: Long,
            fillRandom: (ByteArray) -> Unit,
        ): IssuedKey {
            require(NODE_REGEX.matches(node.value)) { "node name '$node' cannot be part of a key" }
            require(incarnation >= 0 && deadlineMillis >= 0) { "incarnation and deadline must not be negative" }
            val bytes = ByteArray(RANDOM_BYTES).also(fillRandom)
            return IssuedKey(node, incarnation, deadlineMillis, HexFormat.of().formatHex(bytes))
        }

        internal fun parse(text: String): Result<IssuedKey, KeyError> {
            val fields = text.removePrefix(PREFIX).split('.')
            val node = fields.dropLast(FIELDS_AFTER_NODE).joinToString(".")
            val rest = fields.takeLast(FIELDS_AFTER_NODE)
            val incarnation = rest.getOrNull(0)?.let(::parseNumber)
            val deadline = rest.getOrNull(1)?.let(::parseNumber)
            val random = rest.getOrNull(2).orEmpty()
            if (incarnation == null || deadline == null || !NODE_REGEX.matches(node) || !RANDOM_REGEX.matches(random)) {
                return Err(KeyError.Malformed("expected 'bh1.<node>.<incarnation>.<deadline epoch ms>.<random>'"))
            }
            return Ok(IssuedKey(NodeId(node), incarnation, deadline, random))
        }
    }
}
