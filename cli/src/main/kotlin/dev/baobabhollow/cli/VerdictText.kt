package dev.baobabhollow.cli

import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict

/** Renders [outcome] for an operator. */
internal fun render(outcome: PublishOutcome): String =
    when (outcome) {
        is PublishOutcome.Judged -> {
            render(outcome.verdict)
        }

        is PublishOutcome.NotAppended -> {
            "not published: the platform log did not take the patch (${outcome.error}); nothing has changed"
        }

        is PublishOutcome.NoVerdict -> {
            "outcome unknown: the patch may be in the log, but no verdict arrived (${outcome.reason}); " +
                "look for writer ${outcome.writer} in `versions` before you publish again"
        }
    }

/** Renders [verdict] for an operator. */
internal fun render(verdict: PatchVerdict): String =
    when (val result = verdict.result) {
        is PatchResult.Accepted -> {
            "accepted: version ${result.version} (offset ${verdict.offset}, base ${verdict.baseVersion}, " +
                "operator ${verdict.operator})"
        }

        is PatchResult.Conflict -> {
            val cause =
                result.winner?.let { "operator $it published against version ${verdict.baseVersion} first" }
                    ?: "version ${verdict.baseVersion} is not the base of any accepted patch"
            "conflict: $cause; the current version is ${result.currentVersion}"
        }

        is PatchResult.Invalid -> {
            val count = result.errors.size
            val heading = "invalid: nothing has changed; $count ${if (count == 1) "error" else "errors"}"
            (listOf(heading) + result.errors.map { "  $it" }).joinToString("\n")
        }
    }
