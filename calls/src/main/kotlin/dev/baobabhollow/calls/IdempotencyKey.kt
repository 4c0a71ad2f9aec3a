package dev.baobabhollow.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Longest time from the first use of an idempotency key to its deadline, in milliseconds. */
const val MAX_KEY_LIFETIME_MILLIS = 600_000L

/** Largest number of characters of an idempotency key. */
const val MAX_KEY_CHARS = 200

/** Key of a request that may run at most once until [deadlineMillis] (epoch milliseconds). */
sealed interface IdempotencyKey {
    /** The key as the caller sends it. Keys are equal if their texts are. */
    val text: String
    val deadlineMillis: Long

    /** Parses keys. */
    companion object {
        /** Parses [text] as an [IssuedKey] or a [CallerKey]. */
        fun parse(text: String): Result<IdempotencyKey, KeyError> =
            when {
                text.length > MAX_KEY_CHARS -> {
                    Err(KeyError.Malformed("longer than $MAX_KEY_CHARS characters"))
                }

                text.any { it !in PRINTABLE } -> {
                    Err(
                        KeyError.Malformed("contains a character that is not printable ASCII"),
                    )
                }

                text.startsWith(IssuedKey.PREFIX) -> {
                    IssuedKey.parse(text)
                }

                else -> {
                    CallerKey.parse(text)
                }
            }

        private val PRINTABLE = '!'..'~'
    }
}

/** Returns this key if it may be used at [nowMillis] (epoch milliseconds), else the reason why not. */
fun IdempotencyKey.checkLifetime(nowMillis: Long): Result<IdempotencyKey, KeyError> =
    when {
        deadlineMillis <= nowMillis -> Err(KeyError.Expired(deadlineMillis))
        deadlineMillis - nowMillis > MAX_KEY_LIFETIME_MILLIS -> Err(KeyError.DeadlineTooFar(deadlineMillis))
        else -> Ok(this)
    }

/** Reason for which an idempotency key was refused. */
sealed interface KeyError {
    /** Explanation for the caller. */
    val message: String

    /** The text is not a key. */
    data class Malformed(
        val reason: String,
    ) : KeyError {
        override val message get() = "idempotency-key is malformed: $reason"
    }

    /** The deadline has passed. */
    data class Expired(
        val deadlineMillis: Long,
    ) : KeyError {
        override val message get() = "idempotency-key expired at $deadlineMillis (epoch ms)"
    }

    /** The deadline is more than [MAX_KEY_LIFETIME_MILLIS] away, the longest time for which keys are kept. */
    data class DeadlineTooFar(
        val deadlineMillis: Long,
    ) : KeyError {
        override val message get() =
            "idempotency-key's deadline $deadlineMillis (epoch ms) is more than $MAX_KEY_LIFETIME_MILLIS ms away"
    }
}

/**
 * Parses a non-negative decimal without sign or leading zeros. Each number has one spelling, so equal keys have equal
 * texts.
 */
internal fun parseNumber(text: String): Long? = text.toLongOrNull()?.takeIf { it >= 0 && it.toString() == text }
