package dev.baobabhollow.peers

import java.nio.ByteBuffer

/** Message about the quota of one tenant, sent in a datagram of its own because a request waits for it. */
sealed interface QuotaMessage {
    /** Number of the question, up to 65,535. */
    val id: Int

    /** Asks for up to [wanted] tokens (1 to 255) of the tenant [key], a hash of 40 bits. */
    data class Question(
        override val id: Int,
        val key: Long,
        val wanted: Int,
    ) : QuotaMessage

    /**
     * Answers the question [id] with [granted] tokens (0 to 255). If these are too few, more are expected after
     * [retryMillis], which is rounded up to 5 ms and sent as at most 1,270. If [isAllocator] is false, the sender does
     * not allocate the tokens of this tenant.
     */
    data class Answer(
        override val id: Int,
        val granted: Int,
        val retryMillis: Long,
        val isAllocator: Boolean,
    ) : QuotaMessage
}

/**
 * Encodes quota messages in 9 and 4 or 5 bytes, because they are by far the most frequent datagrams. Their first byte is
 * never that of a CBOR map, with which all other datagrams start.
 */
internal object QuotaCodec {
    fun isQuotaMessage(bytes: ByteArray): Boolean = bytes.isNotEmpty() && (bytes[0] == QUESTION || bytes[0] == ANSWER)

    fun encode(message: QuotaMessage): ByteArray =
        when (message) {
            is QuotaMessage.Question -> encodeQuestion(message)
            is QuotaMessage.Answer -> encodeAnswer(message)
        }

    /** Returns the message in [bytes], or null if they are malformed. */
    fun decode(bytes: ByteArray): QuotaMessage? {
        val buffer = ByteBuffer.wrap(bytes)
        return when {
            bytes.size == QUESTION_BYTES && buffer.get() == QUESTION -> decodeQuestion(buffer)
            bytes.size in SHORT_ANSWER_BYTES..ANSWER_BYTES && bytes[0] == ANSWER -> decodeAnswer(buffer.position(1))
            else -> null
        }
    }

    private fun encodeQuestion(message: QuotaMessage.Question): ByteArray =
        ByteBuffer
            .allocate(QUESTION_BYTES)
            .put(QUESTION)
            .putShort(message.id.toShort())
            .put((message.key ushr Int.SIZE_BITS).toByte())
            .putInt(message.key.toInt())
            .put(message.wanted.coerceIn(1, MAX_TOKENS).toByte())
            .array()

    private fun decodeQuestion(buffer: ByteBuffer): QuotaMessage? {
        val id = buffer.short.toInt() and MAX_ID
        val key =
            (buffer.get().toLong() and MAX_TOKENS.toLong() shl Int.SIZE_BITS) or (buffer.int.toLong() and INT_MASK)
        val wanted = buffer.get().toInt() and MAX_TOKENS
        return if (wanted == 0) null else QuotaMessage.Question(id, key, wanted)
    }

    private fun encodeAnswer(message: QuotaMessage.Answer): ByteArray {
        val steps = (message.retryMillis.coerceAtLeast(0) + RETRY_STEP_MILLIS - 1) / RETRY_STEP_MILLIS
        val retry = if (message.isAllocator) steps.coerceAtMost(MAX_RETRY_STEPS).toInt() else NOT_ALLOCATOR
        val buffer = ByteBuffer.allocate(if (retry == 0) SHORT_ANSWER_BYTES else ANSWER_BYTES)
        buffer.put(ANSWER).putShort(message.id.toShort()).put(message.granted.coerceIn(0, MAX_TOKENS).toByte())
        if (retry != 0) buffer.put(retry.toByte())
        return buffer.array()
    }

    private fun decodeAnswer(buffer: ByteBuffer): QuotaMessage {
        val id = buffer.short.toInt() and MAX_ID
        val granted = buffer.get().toInt() and MAX_TOKENS
        val retry = if (buffer.hasRemaining()) buffer.get().toInt() and MAX_TOKENS else 0
        if (retry == NOT_ALLOCATOR) return QuotaMessage.Answer(id, granted, 0, isAllocator = false)
        return QuotaMessage.Answer(id, granted, retry * RETRY_STEP_MILLIS, isAllocator = true)
    }

    private const val QUESTION: Byte = 1
    private const val ANSWER: Byte = 2
    private const val QUESTION_BYTES = 9
    private const val ANSWER_BYTES = 5
    private const val SHORT_ANSWER_BYTES = 4
    private const val MAX_ID = 0xFFFF
    private const val MAX_TOKENS = 0xFF
    private const val INT_MASK = 0xFFFFFFFFL
    private const val RETRY_STEP_MILLIS = 5L
    private const val MAX_RETRY_STEPS = 254L

    /** Value of the time byte in an answer of a node that is not the allocator. */
    private const val NOT_ALLOCATOR = 255
}
