package dev.baobabhollow.calls

import dev.baobabhollow.model.RouteId
import kotlin.math.exp
import kotlin.math.ln

/**
 * Expected times of a new call at a target, in microseconds, as its owner estimates them. [serviceMicros] is expected
 * at the moment, [usualServiceMicros] on average over the slower and faster phases of the target.
 */
data class ResponseTimeEstimate(
    val waitMicros: Long,
    val serviceMicros: Long,
    val usualServiceMicros: Long,
)

/**
 * Estimates the time of a new call at the target of an owner node from the measured service times and the work duration
 * that the target states: the percentage of the usual time that work takes at the moment. Inactive until the target has
 * stated one. Thread-safe.
 */
class ResponseTimeEstimator {
    private var statedPercent: Int? = null
    private var statedMillis = 0L
    private var meanPercent = USUAL_PERCENT
    private val routes = HashMap<RouteId, RouteServiceTime>()

    /** Work duration that the target has stated last, in percent of the usual one, or null. */
    @get:Synchronized
    val workDurationPercent: Int? get() = statedPercent

    /** Records that work takes [percent] of its usual time at the target. */
    @Synchronized
    fun onStated(
        percent: Int,
        nowMillis: Long,
    ) {
        val age = if (statedPercent == null) 0L else nowMillis - statedMillis
        // Weighted by time, since a busy target states the figure more often.
        val weight = 1 - halved(age.coerceIn(0, MAX_MEAN_STEP_MILLIS), MEAN_HALF_LIFE_MILLIS)
        meanPercent += (percent - meanPercent) * weight
        statedPercent = percent
        statedMillis = nowMillis
    }

    /** Records a call on [route] that the target served in [micros]. */
    @Synchronized
    fun onServed(
        route: RouteId,
        micros: Long,
        nowMillis: Long,
    ) {
        if (statedPercent == null) return
        val normalised = micros * USUAL_PERCENT / currentPercent(nowMillis)
        val known = routes[route]
        routes.values.forEach { it.share *= 1 - WEIGHT }
        if (known == null) {
            routes[route] = RouteServiceTime(normalised, WEIGHT)
        } else {
            known.micros += (normalised - known.micros) * WEIGHT
            known.share += WEIGHT
        }
    }

    /**
     * Returns the expected times of a call that arrives while [calls] others hold or wait for one of [slots] slots, or
     * null if the target has not stated a work duration or no call has been measured.
     */
    @Synchronized
    fun estimate(
        calls: Int,
        slots: Int,
        nowMillis: Long,
    ): ResponseTimeEstimate? {
        if (statedPercent == null || routes.isEmpty()) return null
        val micros = routes.values.sumOf { it.micros * it.share } / routes.values.sumOf { it.share }
        val service = micros * currentPercent(nowMillis) / USUAL_PERCENT
        val ahead = (calls + 1 - slots).coerceAtLeast(0)
        val usual = micros * meanPercent / USUAL_PERCENT
        return ResponseTimeEstimate(
            (ahead * service / slots.coerceAtLeast(1)).toLong(),
            service.toLong(),
            usual.toLong(),
        )
    }

    /** Removes all routes except [kept]. */
    @Synchronized
    fun retain(kept: Set<RouteId>) {
        routes.keys.retainAll(kept)
    }

    /** Returns the stated work duration, which approaches the mean as it grows old. */
    private fun currentPercent(nowMillis: Long): Double {
        val stated = statedPercent ?: return meanPercent
        val age = (nowMillis - statedMillis).coerceAtLeast(0)
        return meanPercent + (stated - meanPercent) * halved(age, WORK_DURATION_HALF_LIFE_MILLIS)
    }

    /** Mean service time at the usual speed, and share of the route in recent calls. */
    private class RouteServiceTime(
        var micros: Double,
        var share: Double,
    )

    internal companion object {
        const val USUAL_PERCENT = 100.0

        /** Half of the time for which targets usually stay slow: 600 ms on the consortium's platform. */
        const val WORK_DURATION_HALF_LIFE_MILLIS = 300L

        /** Covers several slow phases, of which one comes about every 4 s. */
        private const val MEAN_HALF_LIFE_MILLIS = 10_000L

        /** A figure says nothing about a longer time before it. */
        private const val MAX_MEAN_STEP_MILLIS = 600L

        /** Weight of the latest service time: a mean over about 20 calls. */
        private const val WEIGHT = 0.05
        private val LN_2 = ln(2.0)

        /** Weight after [ageMillis] of a value that loses half of it every [halfLifeMillis]. */
        fun halved(
            ageMillis: Long,
            halfLifeMillis: Long,
        ): Double = exp(-LN_2 * ageMillis / halfLifeMillis)
    }
}
