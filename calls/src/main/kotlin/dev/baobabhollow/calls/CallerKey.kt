package dev.baobabhollow.calls

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result

/** Key made by the caller: `<deadline epoch ms>-<anything>`. Must be claimed in the log before use. */
data class CallerKey internal constructor(
    override val text: String,
    override val deadlineMillis: Long,
) : IdempotencyKey {
    internal companion object {
        fun parse(text: String): Result<CallerKey, KeyError> {
            val deadline = parseNumber(text.substringBefore('-'))
            val name = text.substringAfter('-', "")
            if (deadline == null || name.isEmpty()) {
                return Err(KeyError.Malformed("expected '<deadline epoch ms>-<anything>' or an issued key"))
            }
            return Ok(CallerKey(text, deadline))
        }
    }
}
