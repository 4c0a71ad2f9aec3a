package dev.baobabhollow.model

import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.util.HexFormat

/**
 * SHA-256 digest of an API key. The configuration contains digests only, so that no key can be read from a record, a
 * message or a log. Serialized as 64 hexadecimal digits in lower case.
 */
@Serializable(with = ApiKeyDigestSerializer::class)
data class ApiKeyDigest(
    // Four numbers instead of an array, which would take twice the memory and need its own equality.
    private val first: Long,
    private val second: Long,
    private val third: Long,
    private val fourth: Long,
) : Comparable<ApiKeyDigest> {
    /** First 64 bits, which are uniformly distributed. */
    val prefix: Long get() = first

    /** Returns the 32 bytes of the digest. */
    fun toBytes(): ByteArray =
        ByteBuffer
            .allocate(BYTES)
            .putLong(first)
            .putLong(second)
            .putLong(third)
            .putLong(fourth)
            .array()

    override fun compareTo(other: ApiKeyDigest): Int =
        compareValuesBy(this, other, { it.first }, { it.second }, { it.third }, { it.fourth })

    override fun hashCode(): Int = first.hashCode()

    override fun toString(): String = HexFormat.of().formatHex(toBytes())

    /** Creates digests. */
    companion object {
        private const val BYTES = 32

        /** Returns the digest of the bytes of [key]. */
        fun of(key: ByteArray): ApiKeyDigest = ofBytes(MessageDigest.getInstance("SHA-256").digest(key))

        /** Returns the digest that [text] represents, or null if it is not 64 hexadecimal digits. */
        fun parse(text: String): ApiKeyDigest? =
            if (text.length != 2 * BYTES) {
                null
            } else {
                runCatching { ofBytes(HexFormat.of().parseHex(text)) }.getOrNull()
            }

        private fun ofBytes(bytes: ByteArray): ApiKeyDigest {
            val buffer = ByteBuffer.wrap(bytes)
            return ApiKeyDigest(buffer.getLong(), buffer.getLong(), buffer.getLong(), buffer.getLong())
        }
    }
}

/** Serializes digests as text. Its error does not repeat the text, which may be a key. */
internal object ApiKeyDigestSerializer : KSerializer<ApiKeyDigest> {
    override val descriptor = PrimitiveSerialDescriptor("dev.baobabhollow.model.ApiKeyDigest", PrimitiveKind.STRING)

    override fun serialize(
        encoder: Encoder,
        value: ApiKeyDigest,
    ) = encoder.encodeString(value.toString())

    override fun deserialize(decoder: Decoder): ApiKeyDigest =
        ApiKeyDigest.parse(decoder.decodeString())
            ?: throw SerializationException("a digest of an API key has 64 hexadecimal digits")
}
