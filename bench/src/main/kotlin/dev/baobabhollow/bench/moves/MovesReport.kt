package dev.baobabhollow.bench.moves

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/**
 * Results of one judge over the moves of one kind. Shares are fractions; times are in seconds.
 *
 * A fault is visible once a test with full knowledge of it ([KnownFaultTest]) has proven it. There is enough evidence
 * once a judge that gets each summary without delay takes the release back. For a release that is bad from the start,
 * [shareBeforeVisible] is the fraction of the calls up to the time of visibility that went to the new release; for
 * later faults it is the calls to the new release up to that time as a fraction of all calls of the move.
 * [wrongReasons] holds the last reasons of up to 5 wrongly decided moves.
 */
@Serializable
data class MoveFigures(
    val completedInTime: Double,
    val takenBack: Double,
    val givenUp: Double,
    val newCallShare: Double,
    val newCalls: Double,
    val shareBeforeVisible: Double?,
    val faultyCallsBeforeVisible: Double,
    val faultToNoTrafficP50: Double?,
    val faultToNoTrafficP99: Double?,
    val visibleToNoTrafficP50: Double?,
    val visibleToNoTrafficP99: Double?,
    val enoughToNoTrafficP50: Double?,
    val enoughToNoTrafficP99: Double?,
    val enoughWithin2Seconds: Double?,
    val neverVisible: Double,
    val wrongReasons: List<String>,
)

/** Results of both judges for one kind of move. */
@Serializable
data class MovesRow(
    val kind: MoveKind,
    val judged: MoveFigures,
    val baseline: MoveFigures,
)

/** Results of one run of [runMovesBench]. */
@Serializable
data class MovesReport(
    val member: BenchMember,
    val moves: Int,
    val seed: Long,
    val summaryMillis: Long,
    val decisionMillis: Long,
    val seconds: Double,
    val rows: List<MovesRow>,
) {
    /** Returns the report as JSON. */
    fun toJson(): String = JSON.encodeToString(serializer(), this)

    private companion object {
        val JSON = Json { prettyPrint = true }
    }
}

internal fun summarize(
    kind: MoveKind,
    pairs: List<PairedOutcome>,
): MovesRow = MovesRow(kind, figures(kind, pairs.map { it.judged }), figures(kind, pairs.map { it.baseline }))

private fun isWrong(
    kind: MoveKind,
    outcome: MoveOutcome,
) = if (kind.isBad) !outcome.isTakenBack else !outcome.isCompletedInTime

private fun figures(
    kind: MoveKind,
    outcomes: List<MoveOutcome>,
): MoveFigures {
    val count = outcomes.size.toDouble()
    val fault = outcomes.mapNotNull { seconds(it.firstFaultAtMillis, it.noTrafficAtMillis) }
    val visible = outcomes.mapNotNull { seconds(it.visibleAtMillis, it.noTrafficAtMillis) }
    val enough = outcomes.mapNotNull { seconds(it.enoughEvidenceAtMillis, it.noTrafficAtMillis) }
    val callsBefore =
        outcomes.sumOf {
            if (kind.isBadFromStart) it.newCallsBeforeVisible else it.faultyCallsBeforeVisible
        }
    val allBefore = outcomes.sumOf { if (kind.isBadFromStart) it.allCallsBeforeVisible else it.allCalls }
    return MoveFigures(
        completedInTime = outcomes.count { it.isCompletedInTime } / count,
        takenBack = outcomes.count { it.isTakenBack } / count,
        givenUp = outcomes.count { it.isGivenUp } / count,
        newCallShare = outcomes.sumOf { it.newCalls }.toDouble() / outcomes.sumOf { it.allCalls }.coerceAtLeast(1),
        newCalls = outcomes.sumOf { it.newCalls } / count,
        shareBeforeVisible =
            if (allBefore ==
                0L
            ) {
                null
            } else {
                outcomes.sumOf { it.newCallsBeforeVisible }.toDouble() / allBefore
            },
        faultyCallsBeforeVisible = outcomes.sumOf { it.faultyCallsBeforeVisible } / count,
        faultToNoTrafficP50 = quantile(fault, MEDIAN),
        faultToNoTrafficP99 = quantile(fault, P99),
        visibleToNoTrafficP50 = quantile(visible, MEDIAN),
        visibleToNoTrafficP99 = quantile(visible, P99),
        enoughToNoTrafficP50 = quantile(enough, MEDIAN),
        enoughToNoTrafficP99 = quantile(enough, P99),
        enoughWithin2Seconds = if (enough.isEmpty()) null else enough.count { it <= 2.0 }.toDouble() / enough.size,
        neverVisible = outcomes.count { it.visibleAtMillis == null } / count,
        wrongReasons = outcomes.filter { isWrong(kind, it) }.map { it.reason }.take(KEPT_REASONS),
    )
}

private fun seconds(
    fromMillis: Long?,
    toMillis: Long?,
): Double? = if (fromMillis == null || toMillis == null) null else (toMillis - fromMillis) / 1e3

private fun quantile(
    values: List<Double>,
    quantile: Double,
): Double? = values.sorted().getOrNull(((values.size - 1) * quantile).toInt())

private const val MEDIAN = 0.5
private const val KEPT_REASONS = 5
private const val P99 = 0.99
