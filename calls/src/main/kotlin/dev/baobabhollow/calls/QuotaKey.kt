package dev.baobabhollow.calls

import com.dynatrace.hash4j.hashing.Hashing

/**
 * Identifies a tenant in quota messages by 40 bits of a hash of its name, which keeps them short. With 2,000 tenants,
 * two share a key with a probability of 2e-6; they would then share one quota.
 */
@JvmInline
value class QuotaKey(
    val bits: Long,
) {
    /** Creates keys. */
    companion object {
        /** Number of bytes of a key. */
        const val BYTES = 5
        private const val MASK = (1L shl (BYTES * Byte.SIZE_BITS)) - 1

        /** Returns the key of the tenant called [name]. */
        fun of(name: String) = QuotaKey(Hashing.xxh3_64().hashCharsToLong(name) and MASK)
    }
}
