package dev.baobabhollow.calls

import dev.baobabhollow.model.NodeId
import java.util.PriorityQueue
import kotlin.math.ln
import kotlin.random.Random

/** Load on one failure domain: its targets and the calls that arrive there in a second. */
internal data class DomainLoad(
    val targets: Int,
    val callsPerSecond: Double,
    val isCold: Boolean = false,
    /** True if its targets take calls and never respond. */
    val isSilent: Boolean = false,
)

/** Outcome of the calls of one failure domain; [shares] holds the share that left in each second. */
internal class DomainResult {
    var calls = 0
    var late = 0
    val left = mutableMapOf<LeavingReason, Int>()
    val leftTo = mutableMapOf<String, Int>()
    val callsBySecond = mutableMapOf<Int, Int>()
    val leftBySecond = mutableMapOf<Int, Int>()
    val transfersBySecond = mutableMapOf<Int, Int>()
    val leftTransfers get() = transfersBySecond.values.sum()
    val leftInAll get() = leftTo.values.sum()
    val lateShare get() = late.toDouble() / calls

    fun shares(seconds: IntRange) = seconds.map { (leftBySecond[it] ?: 0).toDouble() / (callsBySecond[it] ?: 1) }
}

/**
 * Replays calls in virtual time with two entry nodes in each domain. Targets have 10 slots of 50 ms exponential
 * service time and an unlimited queue. Calls after the first [warmUpMillis] count, and are late after the objective.
 */
internal class LeavingSimulation(
    private val loads: Map<String, DomainLoad>,
    leaving: LeavingSettings?,
    private val profile: (Random) -> CallProfile = { CallProfile(1_000, OBJECTIVE_MILLIS) },
    private val warmUpMillis: Long = 5_000,
    seed: Int = 7,
) {
    private val random = Random(seed)
    private val events = PriorityQueue<Pair<Double, () -> Unit>>(compareBy { it.first })
    private var now = 0.0
    private val servers =
        loads.flatMap { (domain, load) ->
            List(load.targets) { Server(target("$domain-$it", domain).copy(isCold = load.isCold), load.isSilent) }
        }
    private val byNode = servers.associateBy { it.endpoint.node }
    val results = loads.mapValues { DomainResult() }
    private val settings =
        PickerSettings(
            selectionPolicy = SelectionPolicy.SHORTEST_WAIT,
            slowStartMillis = 3_000,
            slowStartPermille = 400,
            leaving = leaving,
        )
    private val pickers =
        loads.mapValues { (domain, _) ->
            List(2) { TargetPicker(settings, NodeId("entry-$domain-$it"), OutlierDetector(OutlierSettings())) { 0 } }
        }

    private val millis get() = now.toLong()

    private inner class Server(
        val endpoint: TargetEndpoint,
        val isSilent: Boolean,
    ) {
        private val waiting = ArrayDeque<() -> Unit>()
        private var running = 0
        val loadPermille get() = (running + waiting.size) * 1_000 / endpoint.slots

        fun offer(done: () -> Unit) {
            if (isSilent) return
            waiting.addLast(done)
            startNext()
        }

        private fun startNext() {
            if (running >= endpoint.slots) return
            val done = waiting.removeFirstOrNull() ?: return
            running++
            at(now - SERVICE_MILLIS * ln(1 - random.nextDouble())) {
                running--
                startNext()
                done()
            }
        }
    }

    fun run(seconds: Int): Map<String, DomainResult> {
        loads.keys.forEach { arrive(it) }
        while (now < seconds * 1_000.0) {
            val next = events.poll()
            now = next.first
            next.second()
        }
        return results
    }

    private fun at(
        time: Double,
        action: () -> Unit,
    ) {
        events.add(time to action)
    }

    private fun arrive(domain: String) {
        at(now - 1_000 / loads.getValue(domain).callsPerSecond * ln(1 - random.nextDouble())) {
            call(domain)
            arrive(domain)
        }
    }

    private fun call(domain: String) {
        val (own, others) = servers.map { it.endpoint }.partition { it.failureDomain.value == domain }
        val picker = pickers.getValue(domain).random(random)
        var reason: LeavingReason? = null
        val targets = ReleaseTargets(OLD, own, others)
        val call = profile(random)
        val used = picker.pick(targets, emptySet(), millis, random, call) { reason = it } ?: return
        val server = byNode.getValue(used.node)
        val transit = if (used in own) 0.0 else TRANSIT_MILLIS
        val start = now
        val result = results.getValue(domain)
        val counts = millis >= warmUpMillis
        if (counts) {
            result.calls++
            result.callsBySecond.merge((millis / 1_000).toInt(), 1, Int::plus)
            if (used !in own) {
                if (call.transferBytes > 16_384) result.transfersBySecond.merge((millis / 1_000).toInt(), 1, Int::plus)
                result.leftTo.merge(used.failureDomain.value, 1, Int::plus)
                result.leftBySecond.merge((millis / 1_000).toInt(), 1, Int::plus)
            }
            reason?.let { result.left.merge(it, 1, Int::plus) }
        }
        picker.started(used, millis)
        at(now + transit) {
            server.offer {
                at(now + transit) {
                    if (counts && now - start > OBJECTIVE_MILLIS) result.late++
                    picker.finished(used, ((now - start) * 1_000).toLong(), server.loadPermille, millis)
                }
            }
        }
    }

    companion object {
        const val OBJECTIVE_MILLIS = 500L
        private const val SERVICE_MILLIS = 50.0
        private const val TRANSIT_MILLIS = 1.4
    }
}
