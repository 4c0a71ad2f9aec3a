package dev.baobabhollow.cli.demo

import dev.baobabhollow.cli.percent
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.PatchResult
import kotlin.math.sqrt

private const val CONVERGENCE_LIMIT_MILLIS = 13_000L
private const val UNPROVEN_SHARE = 0.01
private const val SIGMAS = 3

/** Time after the log record of a take-back from which the release must get no more calls. */
private const val TAKE_BACK_MILLIS = 2_000L

/** Checks those promises of docs/design.md that a demo run can observe. */
internal fun checkPromises(result: DemoResult): List<PromiseCheck> =
    listOf(
        versionsNeverDecrease(result),
        routesComplete(result),
        neverAppliedInPart(result),
        firstPatchWins(result),
        converged(result),
        responsesMatchCalls(result),
        refusedCallsDidNotRun(result),
        atMostOnce(result),
        goodReleaseInTime(result),
        badReleaseTakenBack(result),
        badReleaseShareIsSmall(result),
        noCallsAfterTakeBack(result),
        gracefulStop(result),
        noNewWorkWhenLeaving(result),
    )

private fun versionsNeverDecrease(result: DemoResult) =
    PromiseCheck(
        "no node goes back to an earlier version",
        result.stepsBack.isEmpty() && result.polls > 0,
        "${result.polls} looks, ${result.stepsBack.size} steps back",
    )

private fun routesComplete(result: DemoResult): PromiseCheck {
    val lost = result.calls.count { it.detail.endsWith("no-route") || it.detail.endsWith("no-target") }
    return PromiseCheck(
        "no route points at something a node does not hold",
        lost == 0,
        "$lost calls without route or target",
    )
}

private fun neverAppliedInPart(result: DemoResult): PromiseCheck {
    val verdict = result.invalidVerdict.result
    val held = verdict is PatchResult.Invalid && result.versionAfterInvalid == result.invalidVerdict.baseVersion
    val figures = "broken patch: ${verdict::class.simpleName}, version stayed ${result.versionAfterInvalid}"
    return PromiseCheck("a bad configuration is never applied in part", held, figures)
}

private fun firstPatchWins(result: DemoResult): PromiseCheck {
    val verdict = result.conflictVerdict.result
    val held = verdict is PatchResult.Conflict && verdict.winner == result.winner
    return PromiseCheck("of two patches on one version the first wins", held, "second: $verdict")
}

private fun converged(result: DemoResult): PromiseCheck {
    val times = result.convergence.values
    val held = times.isNotEmpty() && times.all { it != null && it <= CONVERGENCE_LIMIT_MILLIS }
    return PromiseCheck("an accepted version is in force everywhere within 13 s", held, "${result.convergence} ms")
}

private fun responsesMatchCalls(result: DemoResult): PromiseCheck {
    val wrong = result.calls.count { it.result == CallResult.WRONG }
    val missing = result.calls.count { it.result == CallResult.MISSING }
    val held = wrong == 0 && missing == 0 && result.calls.any { it.result == CallResult.SERVED }
    return PromiseCheck("each caller gets the whole answer to its own call", held, "$wrong wrong, $missing missing")
}

private fun refusedCallsDidNotRun(result: DemoResult): PromiseCheck {
    val refused = result.calls.filter { it.result == CallResult.NOT_RUN }
    val ran = refused.count { executions(result, it.id) > 0 }
    return PromiseCheck("a call refused as not run did not run", ran == 0, "$ran of ${refused.size} refused calls ran")
}

private fun atMostOnce(result: DemoResult): PromiseCheck {
    val once = result.calls.filter { it.route.isAtMostOnce }
    val twice = once.count { executions(result, it.id) > 1 }
    val figures = "$twice of ${once.size} orders and lot locks ran twice"
    return PromiseCheck("a call that may not be repeated runs at most once", twice == 0 && once.isNotEmpty(), figures)
}

private fun executions(
    result: DemoResult,
    id: String,
): Int = result.targets.values.sumOf { it.executionsByRequestId[id] ?: 0 }

private fun goodReleaseInTime(result: DemoResult): PromiseCheck {
    val state = result.goodMove.state
    val full = state.fullShareAtMillis
    val held = state.phase == MovePhase.DONE && full != null && full <= state.plan.completeByMillis
    val early = full?.let { "${state.plan.completeByMillis - it} ms before the deadline" } ?: "no full share"
    return PromiseCheck("a good release is completed in time", held, "${state.phase.name.lowercase()}, $early")
}

private fun badReleaseTakenBack(result: DemoResult): PromiseCheck {
    val state = result.badMove.state
    val after = state.stageAtMillis - result.movesStartedAtMillis
    val figures = "${state.phase.name.lowercase()} after $after ms: ${state.reason}"
    return PromiseCheck("a bad release is taken back", state.phase == MovePhase.TAKEN_BACK, figures)
}

/** Allows three standard deviations above a share of 1%, since calls are assigned to releases at random. */
private fun badReleaseShareIsSmall(result: DemoResult): PromiseCheck {
    val (bad, all) = badReleaseCalls(result)
    val deviation = sqrt(all * UNPROVEN_SHARE * (1 - UNPROVEN_SHARE))
    val limit = all * UNPROVEN_SHARE + SIGMAS * deviation
    val figures = "$bad of $all calls (${percent(bad.toDouble() / all.coerceAtLeast(1))}), limit 1% and $SIGMAS sigma"
    return PromiseCheck("a bad release gets at most 1% of the calls until its fault shows", bad <= limit, figures)
}

/**
 * Returns the number of calls that the bad release executed, and of all calls to its service until it was taken back.
 */
internal fun badReleaseCalls(result: DemoResult): Pair<Long, Long> {
    val until = result.badMove.state.stageAtMillis
    val all =
        result.calls.count {
            it.route.service == DemoPlan.VITRINA.value && it.sentAtMillis in result.movesStartedAtMillis..until
        }
    return result.badTargets.sumOf { result.targets.getValue(it).executions } to all.toLong()
}

private fun noCallsAfterTakeBack(result: DemoResult): PromiseCheck {
    val from = result.badMove.state.stageAtMillis + TAKE_BACK_MILLIS
    val later = result.calls.filter { it.route.service == DemoPlan.VITRINA.value && it.sentAtMillis > from }
    val late =
        later.count { call ->
            result.badTargets.any {
                call.id in
                    result.targets.getValue(it).executionsByRequestId
            }
        }
    val held = late == 0 && later.isNotEmpty()
    return PromiseCheck(
        "a bad release gets no calls 2 s after it was taken back",
        held,
        "$late of ${later.size} later calls",
    )
}

private fun gracefulStop(result: DemoResult): PromiseCheck {
    val stop = result.stop
    val unknown = result.calls.count { it.result == CallResult.UNKNOWN }
    val figures = "${stop.node}: exit code ${stop.exitCode} after ${stop.millis} ms, $unknown calls cut off"
    return PromiseCheck("a planned stop cuts off no call", stop.exitCode == 0 && unknown == 0, figures)
}

private fun noNewWorkWhenLeaving(result: DemoResult): PromiseCheck {
    val late = result.stop.lateExecutions
    return PromiseCheck("a leaving target gets no new work after 3 s", late == 0L, "$late executions after 3 s")
}
