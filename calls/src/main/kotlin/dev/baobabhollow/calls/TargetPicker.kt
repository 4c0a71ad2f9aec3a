package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import kotlin.random.Random

/**
 * Says what bytes between failure domains cost a call: more the longer the request's body is, and the less, the sooner its
 * answer is due. [objectiveMillis] is the time within which the answer is worth most, or zero.
 */
data class CallProfile(
    val bodyBytes: Long = 0,
    val objectiveMillis: Long = 0,
)

/**
 * Chooses targets for an entry node: the better of two random ones by calls in flight, latency and reported load, from the
 * own failure domain first. Safe for use by several threads.
 *
 * [ownFreeSlots] returns the free slots of the entry node's own target.
 */
class TargetPicker(
    private val settings: PickerSettings,
    private val self: NodeId,
    private val outliers: OutlierDetector,
    private val ownFreeSlots: () -> Int,
) {
    private val stats = TargetStatsMap()

    /**
     * Returns a target of [targets] that is not in [tried], or null. A chosen target that returns from ejection carries
     * the single probe call. If ejection leaves no target, ejected ones are used. [distance] says what
     * a target of another failure domain costs this call.
     */
    fun pick(
        targets: ReleaseTargets,
        tried: Set<NodeId>,
        nowMillis: Long,
        random: Random,
        distance: CallProfile = CallProfile(),
    ): TargetEndpoint? {
        if (settings.selectionPolicy == SelectionPolicy.SHORTEST_WAIT) {
            return shortestWait(targets, tried, nowMillis, random, remotePenaltyMicros(distance))
        }
        val own = ownTarget(targets, tried, nowMillis)
        if (own != null) return own
        val local = betterOfTwo(targets.local, tried, nowMillis, random, ignoreEjection = false)
        if (local != null && !spills(local, targets, nowMillis, random)) return claimed(local, nowMillis)
        val remote = betterOfTwo(targets.remote, tried, nowMillis, random, ignoreEjection = false)
        val chosen = lessLoaded(local, remote, nowMillis)
        if (chosen != null) return claimed(chosen, nowMillis)
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
     * Ends a call that [started]. [micros] is its latency, or null if it says nothing about the target.
     * [loadPermille] is the load that the owner reported.
     */
    fun finished(
        target: TargetEndpoint,
        micros: Long?,
        loadPermille: Int?,
        nowMillis: Long,
    ) {
        val entry = stats.of(target, nowMillis)
        entry.inFlight.updateAndGet { (it - 1).coerceAtLeast(0) }
        if (micros != null || loadPermille != null) entry.answered(nowMillis)
        if (micros != null) {
            entry.observe(micros, loadPermille, nowMillis, settings)
        } else if (loadPermille != null) {
            entry.observeLoad(loadPermille, nowMillis, settings)
        }
    }

    /** Forgets all targets but those beside [nodes]. */
    fun retain(nodes: Set<NodeId>) = stats.retain(nodes)

    /**
     * Compares a few random targets, so that entry nodes with the same view do not all choose the same one. Targets that
     * are suspected, ejected or silent are only used when there are no others.
     */
    private fun shortestWait(
        targets: ReleaseTargets,
        tried: Set<NodeId>,
        nowMillis: Long,
        random: Random,
        remotePenaltyMicros: Long,
    ): TargetEndpoint? {
        val untried = targets.all.filter { it.node !in tried }
        val usable =
            untried.filter { !it.isSuspect && outliers.isUsable(it.node, nowMillis) && !isSilent(it, nowMillis) }
        val candidates = usable.ifEmpty { untried }
        val compared =
            sample(candidates.filter(targets::isLocal), LOCAL_SAMPLE, random)
                .plus(sample(candidates, SAMPLE, random))
        val chosen =
            compared.minByOrNull { target ->
                val distance = if (targets.isLocal(target)) 0L else remotePenaltyMicros
                (expectedMicros(target, nowMillis) + distance) * (1 + random.nextDouble() * JITTER)
            }
        return chosen?.let { claimed(it, nowMillis) }
    }

    private fun remotePenaltyMicros(distance: CallProfile): Long {
        val ofObjective =
            distance.objectiveMillis * MICROS_PER_MILLI * settings.remotePenaltyObjectivePermille / PERMILLE
        return maxOf(settings.remotePenaltyMicros, ofObjective) +
            distance.bodyBytes * settings.remotePenaltyMicrosPerKilobyte / KILOBYTE
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

    /** Waiting begins to show well below the full load, because calls do not arrive evenly. */
    private fun expectedMicros(
        target: TargetEndpoint,
        nowMillis: Long,
    ): Double {
        val entry = stats.of(target, nowMillis)
        val load = entry.loadPermille(target.slots, nowMillis, settings) / FULL_PERMILLE
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
        return if (isFree) claimed(own, nowMillis) else null
    }

    private fun claimed(
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
            // Reservoir sampling of two: each usable target is kept with the same probability.
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
        val queue = 1 + entry.inFlight.get() + entry.loadPermille(target.slots, nowMillis, settings) / FULL_PERMILLE
        val latency = entry.latencyMicros(nowMillis, settings) + BASE_LATENCY_MICROS
        return queue * latency / weight(entry, nowMillis)
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

    /** Decides by a draw for each call, so that entry nodes with the same information do not spill all at once. */
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

        /** Targets that are compared, beside those of the own failure domain. */
        const val SAMPLE = 3
        const val LOCAL_SAMPLE = 2

        /** Spreads calls over targets whose expected latencies are about equal. */
        const val JITTER = 0.2

        /** Costs that differ by less count as equal; else the remains of an old observation would decide every time. */
        const val CLEARLY_LOWER_RATIO = 0.9

        /** Keeps latencies of a few microseconds from outweighing the calls in flight. */
        const val BASE_LATENCY_MICROS = 200.0
    }
}
