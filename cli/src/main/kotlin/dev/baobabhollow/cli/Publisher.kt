package dev.baobabhollow.cli

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.configuration.APPEND_RETRY_LIMIT_MILLIS
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.PlatformLog
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.platformlog.RetryingAppender
import java.util.UUID

/** Outcome of publishing a patch. */
internal sealed interface PublishOutcome {
    /** The patch is in the log and was accepted or rejected, as [verdict] tells. */
    data class Judged(
        val verdict: PatchVerdict,
    ) : PublishOutcome

    /** The log did not accept the patch; nothing has changed. */
    data class NotAppended(
        val error: LogError,
    ) : PublishOutcome

    /** The patch may be in the log, but no verdict arrived in time. */
    data class NoVerdict(
        val writer: WriterId,
        val reason: String,
    ) : PublishOutcome
}

/** Appends patches to [log] and finds their verdicts through the operator port of [node]. */
internal class Publisher(
    private val log: PlatformLog,
    private val operators: OperatorClient,
    private val node: Endpoint,
    private val nowMillis: () -> Long = System::currentTimeMillis,
) {
    /**
     * Publishes [patch] against [baseVersion] by [deadlineMillis]. Retries after an unknown outcome append the record
     * with the same writer and sequence, so that it takes effect only once.
     */
    fun publish(
        baseVersion: Long,
        patch: Patch,
        operator: String,
        deadlineMillis: Long,
    ): PublishOutcome {
        val writer = WriterId("cli-${UUID.randomUUID()}")
        val record = LogRecord(writer, SEQUENCE, PatchRecord(baseVersion, operator, patch))
        val error =
            RetryingAppender(log, APPEND_RETRY_LIMIT_MILLIS)
                .append(StreamName.CONFIGURATION, listOf(record), deadlineMillis)
                .getError()
        if (error != null && error !is LogError.OutcomeUnknown && error !is LogError.Malformed) {
            return PublishOutcome.NotAppended(error)
        }
        return awaitVerdict(writer, deadlineMillis)
    }

    private fun awaitVerdict(
        writer: WriterId,
        deadlineMillis: Long,
    ): PublishOutcome {
        var reason = "the deadline passed"
        do {
            val waitMillis = (deadlineMillis - nowMillis()).coerceAtLeast(MIN_WAIT_MILLIS)
            val verdict =
                operators.verdict(node, writer, SEQUENCE, waitMillis).getOrElse {
                    reason = it.toString()
                    null
                }
            if (verdict != null) return PublishOutcome.Judged(verdict)
            Thread.sleep(RETRY_PAUSE_MILLIS)
        } while (nowMillis() < deadlineMillis)
        return PublishOutcome.NoVerdict(writer, reason)
    }

    private companion object {
        const val SEQUENCE = 1L
        const val MIN_WAIT_MILLIS = 500L

        /** Pause between requests, so that a node that refuses immediately is not queried in a tight loop. */
        const val RETRY_PAUSE_MILLIS = 100L
    }
}
