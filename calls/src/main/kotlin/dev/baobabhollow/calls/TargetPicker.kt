package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import kotlin.random.Random

/**
 * Load balancer of an entry node. With [SelectionPolicy.LOCAL_FIRST] it selects the better of two random targets by
 * calls in flight, latency and reported load, first in the node's own failure domain. Thread-safe.
 *
 * [ownFreeSlots] returns the number of free slots of the entry node's own target.
 */
class TargetPicker(
    private val settings: PickerSettings,
    private val self: NodeId,
    private val outliers: OutlierDetector,
    private val ownFreeSlots: () -> Int,
) {
    private val stats = TargetStatsMap()
    private val overflow = settings.leaving?.let { DomainOverflow(it) }

    /**
     * Returns one of [targets] whose node is not in [tried], or null if there is none. If the selected target is
     * ejected and its probe call is due, this call becomes the probe. Ejected targets are used if there are no others.
     * [profile] determines the penalty of targets in other failure domains. [onLeave] is called if the selected target
     * is in another failure domain and [PickerSettings.leaving] is set.
     */
    fun pick(
        targets: ReleaseTargets,
        tried: Set<NodeId>,
        nowMillis: Long,
        random: Random,
        profile: CallProfile = CallProfile(),
        onLeave: (LeavingReason) -> Unit = {},
    ): TargetEndpoint? {
        if (settings.selectionPolicy == SelectionPolicy.SHORTEST_WAIT) {
            return shortestWait(targets, tried, nowMillis, random, profile, onLeave)
        }
        val own = ownTarget(targets, tried, nowMillis)
        if (own != null) return own
        val local = betterOfTwo(targets.local, tried, nowMillis, random, ignoreEjection = false)
        if (local != null && !spills(local, targets, nowMillis, random)) return withProbeClaimed(local, nowMillis)
        val remote = betterOfTwo(targets.remote, tried, nowMillis, random, ignoreEjection = false)
        val chosen = lessLoaded(local, remote, nowMillis)
        if (chosen != null) return withProbeClaimed(chosen, nowMillis)
        return betterOfTwo(targets.all, tried, nowMillis, random, ignoreEjection = true)
    }

    /** Counts a call to [target] as in flight. */
    fun started(
        target: TargetEndpoint,
        nowMillis: Long,
    ) {
        stats.of(target, nowMillis).start(nowMillis)
    }

    /**
     * Ends a call counted by [started]. [micros] is its latency, or null if it is no evidence of the target's latency.
     * [loadPermille] is the load that the owner reported, and [estimate] its estimate for a new call, or null.
     */
    fun finished(
        target: TargetEndpoint,
        micros: Long?,
        loadPermille: Int?,
        nowMillis: Long,
        estimate: ResponseTimeEstimate? = null,
    ) {
        val entry = stats.of(target, nowMillis)
        estimate?.let { entry.observeEstimate(it, nowMillis) }
        entry.inFlight.updateAndGet { (it - 1).coerceAtLeast(0) }
        if (micros != null || loadPermille != null) entry.onResponse(nowMillis)
        if (micros != null) {
            entry.observe(micros, loadPermille, nowMillis, settings)
        } else if (loadPermille != null) {
            entry.observeLoad(loadPermille, nowMillis, settings)
        }
    }

    /** Records that [target] has refused a call because it is cold, and has no capacity before [untilMillis]. */
    fun refusedCold(
        target: TargetEndpoint,
        untilMillis: Long,
        nowMillis: Long,
    ) {
        stats.of(target, nowMillis).coldUntilMillis = untilMillis
    }

    /** Removes the statistics of all targets except those of [nodes]. */
    fun retain(nodes: Set<NodeId>) = stats.retain(nodes)

    /**
     * Returns the target with the shortest expected response time among a random sample. Sampling keeps entry nodes
     * with the same information from all selecting the same target. Suspected, ejected and silent targets are used only
     * if there are no others, and cold ones only if there are no warm ones.
     */
    private fun shortestWait(
        targets: ReleaseTargets,
        tried: Set<NodeId>,
        nowMillis: Long,
        random: Random,
        profile: CallProfile,
        onLeave: (LeavingReason) -> Unit,
    ): TargetEndpoint? {
        val untried = targets.all.filter { it.node !in tried }
        val usable =
            untried.filter { !it.isSuspect && outliers.isUsable(it.node, nowMillis) && !isSilent(it, nowMillis) }
        val candidates = usable.filterNot { isCold(it, nowMillis) }.ifEmpty { usable }.ifEmpty { untried }
        if (overflow != null) {
            val usableLocal = usable.filter(targets::isLocal)
            val warmLocal = usableLocal.filterNot { isCold(it, nowMillis) }
            if (warmLocal.isNotEmpty()) {
                val share =
                    overflow.share(warmLocal[0].service, targets.release, profile, nowMillis) {
                        estimates(targets, nowMillis)
                    }
                val others = candidates.filter { it.failureDomain in share.domains }
                val leaves = others.isNotEmpty() && random.nextDouble() * PERMILLE < share.permille
                if (leaves) onLeave(LeavingReason.OVERLOAD)
                return fastest(if (leaves) others else warmLocal, nowMillis, random)
            }
            val chosen = fastest(candidates, nowMillis, random) ?: return null
            if (!targets.isLocal(chosen)) {
                onLeave(if (usableLocal.isEmpty()) LeavingReason.NO_TARGET else LeavingReason.COLD)
            }
            return chosen
        }
        val remotePenaltyMicros = remotePenaltyMicros(profile)
        val compared =
            sample(candidates.filter(targets::isLocal), LOCAL_SAMPLE, random)
                .plus(sample(candidates, GLOBAL_SAMPLE, random))
        val chosen =
            compared.minByOrNull { target ->
                val penalty = if (targets.isLocal(target)) 0L else remotePenaltyMicros
                (expectedMicros(target, nowMillis) + penalty) * (1 + random.nextDouble() * JITTER)
            }
        return chosen?.let { withProbeClaimed(it, nowMillis) }
    }

    private fun fastest(
        candidates: List<TargetEndpoint>,
        nowMillis: Long,
        random: Random,
    ): TargetEndpoint? =
        sample(candidates, GLOBAL_SAMPLE, random)
            .minByOrNull { expectedMicros(it, nowMillis) * (1 + random.nextDouble() * JITTER) }
            ?.let { withProbeClaimed(it, nowMillis) }

    /**
     * Each domain's time is the harmonic mean, since faster targets get more of its calls. Load above the slots does not
     * count, since the latencies seen contain the wait: otherwise uploads leave for momentary queues.
     */
    private fun estimates(
        targets: ReleaseTargets,
        nowMillis: Long,
    ): DomainEstimates {
        val byDomain =
            targets.all
                .filter { !it.isSuspect && outliers.isUsable(it.node, nowMillis) && !isSilent(it, nowMillis) }
                .filterNot { isCold(it, nowMillis) }
                .groupBy { it.failureDomain }
                .mapValues { (_, all) ->
                    DomainEstimate(
                        all.size / all.sumOf { 1 / expectedMicros(it, nowMillis, maxLoad = 1.0) },
                        all.sumOf { stats.of(it, nowMillis).loadPermille(it.slots, nowMillis, settings) } / all.size,
                    )
                }
        val own = targets.local.firstOrNull()?.failureDomain
        return DomainEstimates(byDomain[own], byDomain.filterKeys { it != own })
    }

    private fun isCold(
        target: TargetEndpoint,
        nowMillis: Long,
    ) = target.isCold || nowMillis < stats.of(target, nowMillis).coldUntilMillis

    private fun remotePenaltyMicros(profile: CallProfile): Long {
        val objectiveShareMicros =
            profile.objectiveMillis * MICROS_PER_MILLI * settings.remotePenaltyObjectivePermille / PERMILLE
        return maxOf(settings.remotePenaltyMicros, objectiveShareMicros) +
            profile.transferBytes * settings.remotePenaltyMicrosPerKilobyte / KILOBYTE
    }

    private fun isSilent(
        target: TargetEndpoint,
        nowMillis: Long,
    ) = stats.of(target, nowMillis).isSilent(nowMillis, settings)

    private fun sample(
        targets: List<TargetEndpoint>,
        count: Int,
        random: Random,
    ): List<TargetEndpoint> =
        if (targets.size <=
            count
        ) {
            targets
        } else {
            List(count) { targets[random.nextInt(targets.size)] }
        }

    /**
     * Returns the expected time by the owner's estimate if there is one, else by the latency of this node's own calls.
     * Calls arrive unevenly, so queue waits are noticeable well below full load: hence the cubic term.
     */
    private fun expectedMicros(
        target: TargetEndpoint,
        nowMillis: Long,
        maxLoad: Double = Double.MAX_VALUE,
    ): Double {
        val entry = stats.of(target, nowMillis)
        entry.ownerEstimateMicros(target.slots, nowMillis, settings)?.let { return it / weight(entry, nowMillis) }
        val load = minOf(maxLoad, entry.loadPermille(target.slots, nowMillis, settings) / FULL_PERMILLE)
        val latency = maxOf(entry.latencyMicros(nowMillis, settings), settings.minLatencyMicros.toDouble())
        return latency * (1 + load * load * load) / weight(entry, nowMillis)
    }

    private fun ownTarget(
        targets: ReleaseTargets,
        tried: Set<NodeId>,
        nowMillis: Long,
    ): TargetEndpoint? {
        val own = targets.local.firstOrNull { it.node == self } ?: return null
        val isFree = ownFreeSlots() > 0 && own.node !in tried && outliers.isUsable(own.node, nowMillis)
        return if (isFree) withProbeClaimed(own, nowMillis) else null
    }

    private fun withProbeClaimed(
        target: TargetEndpoint,
        nowMillis: Long,
    ): TargetEndpoint {
        outliers.claimProbe(target.node, nowMillis)
        return target
    }

    private fun betterOfTwo(
        targets: List<TargetEndpoint>,
        tried: Set<NodeId>,
        nowMillis: Long,
        random: Random,
        ignoreEjection: Boolean,
    ): TargetEndpoint? {
        var first: TargetEndpoint? = null
        var second: TargetEndpoint? = null
        var seen = 0
        for (target in targets) {
            if (target.node in tried) continue
            if (!ignoreEjection && !outliers.isUsable(target.node, nowMillis)) continue
            seen++
            // Reservoir sampling of two targets: each usable one is kept with the same probability.
            when {
                first == null -> {
                    first = target
                }

                second == null -> {
                    second = target
                }

                else -> {
                    when (random.nextInt(seen)) {
                        0 -> first = target
                        1 -> second = target
                    }
                }
            }
        }
        if (first == null || second == null) return first
        val a = cost(first, nowMillis)
        val b = cost(second, nowMillis)
        return when {
            a < b * CLEARLY_LOWER_RATIO -> first
            b < a * CLEARLY_LOWER_RATIO -> second
            else -> if (random.nextBoolean()) first else second
        }
    }

    private fun cost(
        target: TargetEndpoint,
        nowMillis: Long,
    ): Double {
        val entry = stats.of(target, nowMillis)
        val queueLength =
            1 + entry.inFlight.get() + entry.loadPermille(target.slots, nowMillis, settings) / FULL_PERMILLE
        val latency = entry.latencyMicros(nowMillis, settings) + BASE_LATENCY_MICROS
        return queueLength * latency / weight(entry, nowMillis)
    }

    private fun weight(
        entry: TargetStats,
        nowMillis: Long,
    ): Double {
        val age = nowMillis - entry.firstSeenMillis
        if (age >= settings.slowStartMillis) return 1.0
        val start = settings.slowStartPermille / FULL_PERMILLE
        return start + (1 - start) * age.coerceAtLeast(0) / settings.slowStartMillis
    }

    /**
     * True if a call leaves the failure domain. Random, so that entry nodes with the same information do not all spill
     * at once.
     */
    private fun spills(
        local: TargetEndpoint,
        targets: ReleaseTargets,
        nowMillis: Long,
        random: Random,
    ): Boolean {
        if (targets.remote.isEmpty()) return false
        val load = stats.of(local, nowMillis).loadPermille(local.slots, nowMillis, settings)
        val range = (settings.spillFullPermille - settings.spillStartPermille).coerceAtLeast(1)
        val probability = (load - settings.spillStartPermille) / range
        return probability > 0 && random.nextDouble() < probability
    }

    private fun lessLoaded(
        local: TargetEndpoint?,
        remote: TargetEndpoint?,
        nowMillis: Long,
    ): TargetEndpoint? {
        if (local == null || remote == null) return remote ?: local
        val localLoad = stats.of(local, nowMillis).loadPermille(local.slots, nowMillis, settings)
        val remoteLoad = stats.of(remote, nowMillis).loadPermille(remote.slots, nowMillis, settings)
        return if (remoteLoad < localLoad) remote else local
    }

    private companion object {
        const val FULL_PERMILLE = 1_000.0
        const val KILOBYTE = 1_024
        const val MICROS_PER_MILLI = 1_000
        const val PERMILLE = 1_000

        /** Number of targets of all failure domains that are compared, besides [LOCAL_SAMPLE] of the node's own one. */
        const val GLOBAL_SAMPLE = 3
        const val LOCAL_SAMPLE = 2

        /** Random share added to expected latencies, to spread calls over targets that are about equal. */
        const val JITTER = 0.2

        /**
         * Costs whose ratio is closer to 1 count as equal; otherwise the remnant of an old observation would always
         * decide.
         */
        const val CLEARLY_LOWER_RATIO = 0.9

        /** Added to latencies, so that differences of a few microseconds do not outweigh the calls in flight. */
        const val BASE_LATENCY_MICROS = 200.0
    }
}
