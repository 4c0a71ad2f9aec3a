package dev.baobabhollow.model

private const val VARINT_BITS = 7
private const val VARINT_MASK = 0x7FL

/**
 * Writes nonnegative numbers in groups of 7 bits, least significant first; all bytes but the last have the high bit
 * set.
 */
internal class VarintWriter {
    private var bytes = ByteArray(INITIAL_BYTES)
    private var size = 0

    fun write(value: Long) {
        if (bytes.size - size < MAX_VARINT_BYTES) bytes = bytes.copyOf(bytes.size * 2)
        var rest = value
        while (rest > VARINT_MASK) {
            bytes[size++] = ((rest and VARINT_MASK) or (VARINT_MASK + 1)).toByte()
            rest = rest ushr VARINT_BITS
        }
        bytes[size++] = rest.toByte()
    }

    fun toByteArray(): ByteArray = bytes.copyOf(size)

    private companion object {
        const val INITIAL_BYTES = 64
        const val MAX_VARINT_BYTES = 10
    }
}

/** Reads numbers written by [VarintWriter]. */
class VarintReader(
    private val bytes: ByteArray,
) {
    private var position = 0

    /** Returns true if another number follows. */
    fun hasRemaining(): Boolean = position < bytes.size

    /** Returns the next number. Throws [IllegalArgumentException] if it is truncated or has more than 49 bits. */
    fun read(): Long {
        var result = 0L
        var shift = 0
        do {
            require(position < bytes.size && shift <= MAX_VARINT_SHIFT) { "number is cut off or too long at $position" }
            val next = bytes[position++].toLong()
            result = result or ((next and VARINT_MASK) shl shift)
            shift += VARINT_BITS
        } while (next < 0)
        return result
    }

    private companion object {
        const val MAX_VARINT_SHIFT = 42
    }
}
