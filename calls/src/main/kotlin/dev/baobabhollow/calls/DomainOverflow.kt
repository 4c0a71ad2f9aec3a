package dev.baobabhollow.calls

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.abs

/** Weights of the decision how many calls leave the failure domain. */
data class LeavingSettings(
    /** Time between two decisions about a service. */
    val intervalMillis: Long = 300,
    /** Time that a call spends on the way to another failure domain and back. */
    val transitMicros: Long = 3_000,
    /** Least time that a call must save in another failure domain, apart from the price of its bytes. */
    val minSavedMicros: Long = 10_000,
    /** Such time in permille of the call's latency objective. */
    val minSavedObjectivePermille: Long = 100,
    /** Price of traffic between domains: time that a call must save for each kilobyte in both directions. */
    val microsPerKilobyte: Long = 4_500,
    /** Load in permille of the slots above which a failure domain has no room for calls of others. */
    val roomPermille: Int = 800,
    /** Largest change of the share in one interval, in permille of the calls. */
    val maxStepPermille: Int = 100,
    /** Deviation from the required saving, in permille of it, within which the share remains as it is. */
    val hysteresisPermille: Int = 250,
)

/** Why a call leaves its failure domain. */
enum class LeavingReason(
    val text: String,
) {
    /** The share of calls that save more than leaving costs. */
    OVERLOAD("overload"),

    /** All usable targets of the own domain are cold. */
    COLD("cold"),

    /** The own domain has no usable target: there is none, or all are silent, suspected, ejected or already tried. */
    NO_TARGET("no-target"),
}

/** Expected response time and load of the usable warm targets of one failure domain. */
internal data class DomainEstimate(
    val expectedMicros: Double,
    val loadPermille: Double,
)

/** Estimates for the [own] failure domain, null if it has no usable warm target, and for the [others]. */
internal data class DomainEstimates(
    val own: DomainEstimate?,
    val others: Map<FailureDomainId, DomainEstimate>,
)

/** Permille of the calls that leave, and the domains that have room for them. */
internal data class LeavingShare(
    val permille: Double,
    val domains: Set<FailureDomainId>,
)

/**
 * Decides for each service and class of calls which share leaves the failure domain of this entry node. Once per
 * interval, the share moves by a bounded step in proportion to how far the time saved is from the required one.
 * Thread-safe.
 */
internal class DomainOverflow(
    private val settings: LeavingSettings,
) {
    private val services = ConcurrentHashMap<Pair<ServiceId, ReleaseId>, ServiceState>()

    /** Returns the share for a call with [profile], from the [estimates] at the start of the interval. */
    fun share(
        service: ServiceId,
        release: ReleaseId,
        profile: CallProfile,
        nowMillis: Long,
        estimates: () -> DomainEstimates,
    ): LeavingShare {
        val key = service to release
        val state = services[key] ?: newState(key, nowMillis)
        return state.share(profile, nowMillis, estimates)
    }

    private fun newState(
        key: Pair<ServiceId, ReleaseId>,
        nowMillis: Long,
    ): ServiceState {
        services.values.removeIf { it.isIdle(nowMillis) }
        return services.computeIfAbsent(key) { ServiceState(nowMillis) }
    }

    private inner class ServiceState(
        startMillis: Long,
    ) {
        private val lookups = ClassState()
        private val transfers = ClassState()
        private var nextDecisionMillis = startMillis
        private var domains = emptySet<FailureDomainId>()

        @Synchronized
        fun isIdle(nowMillis: Long) = nowMillis - nextDecisionMillis > IDLE_MILLIS

        @Synchronized
        fun share(
            profile: CallProfile,
            nowMillis: Long,
            estimates: () -> DomainEstimates,
        ): LeavingShare {
            val calls = if (profile.transferBytes > LOOKUP_BYTES) transfers else lookups
            calls.observe(profile)
            if (nowMillis >= nextDecisionMillis) {
                nextDecisionMillis = nowMillis + settings.intervalMillis
                decide(estimates())
            }
            return LeavingShare(calls.permille, domains)
        }

        private fun decide(estimates: DomainEstimates) {
            val withRoom = estimates.others.filterValues { it.loadPermille < settings.roomPermille }
            val best = withRoom.values.minByOrNull { it.expectedMicros }
            domains = withRoom.keys
            val own = estimates.own
            listOf(lookups, transfers).forEach { calls ->
                calls.permille =
                    when {
                        // Without a usable target in the own domain, all calls leave regardless of the share.
                        own == null -> calls.permille

                        best == null -> calls.permille - settings.maxStepPermille

                        else -> calls.permille + step(own, best, calls)
                    }.coerceIn(0.0, PERMILLE)
            }
        }

        private fun step(
            own: DomainEstimate,
            other: DomainEstimate,
            calls: ClassState,
        ): Double {
            val saved = own.expectedMicros - other.expectedMicros - settings.transitMicros
            val required = calls.requiredMicros()
            val deviation = (saved - required) / required
            if (abs(deviation) <= settings.hysteresisPermille / PERMILLE) return 0.0
            val isNearlyFull = other.loadPermille >= settings.roomPermille * NEARLY_FULL
            if (deviation > 0 && isNearlyFull) return 0.0
            return (deviation / FULL_STEP_DEVIATION).coerceIn(-1.0, 1.0) * settings.maxStepPermille
        }
    }

    /** Mean properties of the recent calls of one class, and the share of them that leaves. */
    private inner class ClassState {
        var permille = 0.0
        private var bytes = 0.0
        private var objectiveMillis = 0.0
        private var isObserved = false

        fun observe(profile: CallProfile) {
            val weight = if (isObserved) OBSERVATION_WEIGHT else 1.0
            isObserved = true
            bytes += (profile.transferBytes - bytes) * weight
            objectiveMillis += (profile.objectiveMillis - objectiveMillis) * weight
        }

        fun requiredMicros(): Double {
            val objectiveShare = objectiveMillis * MICROS_PER_MILLI * settings.minSavedObjectivePermille / PERMILLE
            return maxOf(settings.minSavedMicros.toDouble(), objectiveShare) +
                bytes * settings.microsPerKilobyte / KILOBYTE
        }
    }

    private companion object {
        const val PERMILLE = 1_000.0
        const val KILOBYTE = 1_024
        const val MICROS_PER_MILLI = 1_000

        /** Deviation that makes a full step. Momentary queues deviate by about 1; with that, the share swings more. */
        const val FULL_STEP_DEVIATION = 2.0
        const val OBSERVATION_WEIGHT = 0.05

        /** Calls with more bytes in both directions are uploads or large responses, the others look-ups. */
        const val LOOKUP_BYTES = 16_384L

        /** Part of the room from which on the share does not rise, so that it does not swing around the limit. */
        const val NEARLY_FULL = 0.9

        /** Time after which the share of a service that is not called is forgotten. */
        const val IDLE_MILLIS = 60_000L
    }
}
