package dev.baobabhollow.cli.faults

import com.github.michaelbull.result.get
import dev.baobabhollow.cli.PublishOutcome
import dev.baobabhollow.cli.Publisher
import dev.baobabhollow.cli.demo.CallEnd
import dev.baobabhollow.cli.demo.CallRecord
import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.demo.LoadGenerator
import dev.baobabhollow.cli.demo.LoadRoute
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.node.OperatorJson
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.standins.TargetStats

private const val IN_FORCE_MILLIS = 13_000L
private const val REFUSAL_MILLIS = 3_000L
private const val STATS_MILLIS = 10_000L
private const val LOAD_MILLIS = 2_500L
private const val CALLS_PER_SECOND = 80
private const val MOVE_MILLIS = 60_000L
private const val WATCH_MILLIS = 1_000L

/** Is done while a fault lasts. [run] returns what was seen, and throws [StepBroken] when a promise is broken. */
internal data class FaultStep(
    val name: String,
    val run: (FaultCluster, Fault) -> String,
)

/** Says which promise a step has broken. */
internal class StepBroken(
    message: String,
) : RuntimeException(message)

internal val STEPS =
    listOf(
        FaultStep("call", ::runCalls),
        FaultStep("publish", ::runPublish),
        FaultStep("move", ::runMove),
        FaultStep("join and planned stop", ::runJoin),
    )

private fun require(
    isHeld: Boolean,
    message: () -> String,
) {
    if (!isHeld) throw StepBroken(message())
}

/** Nodes that callers can still use while [fault] lasts. */
private fun usable(
    cluster: FaultCluster,
    fault: Fault,
): List<DemoNode> =
    when {
        fault.hitsDomain -> cluster.healthy
        fault.hitsVictim -> cluster.nodes - cluster.victim
        else -> cluster.nodes
    }

private fun runCalls(
    cluster: FaultCluster,
    fault: Fault,
): String {
    val routes =
        listOf(
            LoadRoute("/s/look", "s", 60),
            LoadRoute("/once/keyed", "s", 20, isOnce = true, hasKey = true),
            LoadRoute("/once/plain", "s", 20, isOnce = true),
        )
    val entries = usable(cluster, fault).map { it.settings.addresses.callers }
    val load = LoadGenerator(entries, routes, CALLS_PER_SECOND, idPrefix = "faults-${System.currentTimeMillis()}")
    load.start()
    cluster.awaitUntil(System.currentTimeMillis() + LOAD_MILLIS) { false }
    fault.heal(cluster)
    load.stop()
    return judgeCalls(load.records, executions(cluster))
}

/** Counts how often the targets have run each request, by its identifier. */
internal fun executions(cluster: FaultCluster): Map<String, Int> =
    cluster.nodes
        .flatMap { statsOf(cluster, it).executionsByRequestId.entries }
        .groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }

/** Reads the counts of the target beside [node], which may need a moment after its fault has ended. */
private fun statsOf(
    cluster: FaultCluster,
    node: DemoNode,
): TargetStats {
    var text: String? = null
    cluster.awaitUntil(System.currentTimeMillis() + STATS_MILLIS) {
        text = cluster.operators.text(node.target, "/stats").get()
        text != null
    }
    return OperatorJson.decodeFromString(
        text ?: throw StepBroken("the target of ${node.settings.node} gives no counts"),
    )
}

/** Returns how many of [calls] were served, or throws [StepBroken] when one was answered or run as promised otherwise. */
internal fun judgeCalls(
    calls: List<CallRecord>,
    executions: Map<String, Int>,
): String {
    val byEnd = calls.groupingBy { it.end }.eachCount()
    val runs = { call: CallRecord -> executions[call.id] ?: 0 }
    val ranAfterAll = calls.filter { it.end == CallEnd.NOT_RUN && runs(it) > 0 }
    val twice = calls.filter { it.route.isOnce && runs(it) > 1 }
    require((byEnd[CallEnd.WRONG] ?: 0) == 0) { "${byEnd[CallEnd.WRONG]} answers did not belong to their calls" }
    require(ranAfterAll.isEmpty()) { "${ranAfterAll.size} calls refused as not run did run" }
    require(twice.isEmpty()) { "${twice.size} calls that may not be repeated ran twice" }
    require((byEnd[CallEnd.SERVED] ?: 0) > 0) { "no call was served: $byEnd" }
    return "${byEnd[CallEnd.SERVED]} of ${calls.size} calls served"
}

private fun runPublish(
    cluster: FaultCluster,
    fault: Fault,
): String {
    val base = versionOf(cluster)
    val name = "x$base"
    val patch = Patch(listOf(Change.PutRoute(RouteId(name), RouteConfig(ServiceId("s"), "/$name"))))
    if (!fault.isLogUp) return publishAfterOutage(cluster, fault, base, patch)
    val startMillis = System.currentTimeMillis()
    publish(cluster, base, patch, startMillis + IN_FORCE_MILLIS)
    val reached = if (fault.cutsPublish) cluster.healthy else usable(cluster, fault)
    requireInForce(cluster, reached, base + 1, startMillis + IN_FORCE_MILLIS)
    return "in force on ${reached.size} nodes after ${System.currentTimeMillis() - startMillis} ms"
}

/** Checks that a patch is not accepted during an outage, and once afterwards, also if the first append took effect. */
private fun publishAfterOutage(
    cluster: FaultCluster,
    fault: Fault,
    base: Long,
    patch: Patch,
): String {
    val refused = tryPublish(cluster, base, patch, System.currentTimeMillis() + REFUSAL_MILLIS)
    require(refused !is PublishOutcome.Judged) { "a patch was judged while the log was down: $refused" }
    require(versionOf(cluster) == base) { "the version changed while the log was down" }
    fault.heal(cluster)
    val startMillis = System.currentTimeMillis()
    publish(cluster, base, patch, startMillis + IN_FORCE_MILLIS)
    requireInForce(cluster, cluster.nodes, base + 1, startMillis + IN_FORCE_MILLIS)
    return "refused during the outage, in force on all ${System.currentTimeMillis() - startMillis} ms after it"
}

private fun runMove(
    cluster: FaultCluster,
    fault: Fault,
): String {
    if (!fault.isLogUp) fault.heal(cluster)
    val base = versionOf(cluster)
    val id = MoveId("m$base")
    val startMillis = System.currentTimeMillis()
    val end = startMillis + MOVE_MILLIS
    val plan = MovePlan(ServiceId("s"), ReleaseId("1"), ReleaseId("2"), startMillis, end, end + WATCH_MILLIS)
    publish(cluster, base, Patch(listOf(Change.StartMove(id, plan))), startMillis + IN_FORCE_MILLIS)
    publish(cluster, base + 1, Patch(listOf(Change.CancelMove(id))), startMillis + IN_FORCE_MILLIS)
    val reached = if (fault.cutsPublish) cluster.healthy else usable(cluster, fault)
    requireInForce(cluster, reached, base + 2, startMillis + 2 * IN_FORCE_MILLIS)
    fault.heal(cluster)
    requireInForce(cluster, cluster.nodes, base + 2, System.currentTimeMillis() + 2 * IN_FORCE_MILLIS)
    cluster.nodes.forEach { node ->
        val moves =
            cluster.operators
                .moves(node.operator)
                .get()
                ?.moves
        val move = moves?.firstOrNull { it.move == id }
        require(move?.state?.phase == MovePhase.TAKEN_BACK) { "${node.settings.node} shows ${move?.state?.phase}" }
    }
    return "started and taken back on all nodes"
}

private fun runJoin(
    cluster: FaultCluster,
    fault: Fault,
): String {
    val startMillis = System.currentTimeMillis()
    val node = cluster.join("j$startMillis")
    val isReady = cluster.awaitUntil(startMillis + IN_FORCE_MILLIS) { cluster.status(node)?.ready == true }
    val millis = System.currentTimeMillis() - startMillis
    val expected = versionOf(cluster)
    require(isReady) { "a new node was not ready within $IN_FORCE_MILLIS ms" }
    val version = cluster.status(node)?.version
    require(version == expected) { "a new node reports version $version, the others $expected" }
    fault.heal(cluster)
    val exit = cluster.leave(node)
    require(exit == 0) { "the planned stop ended with $exit" }
    return "ready after $millis ms, stopped with 0"
}

private fun versionOf(cluster: FaultCluster): Long =
    cluster.status(cluster.healthy.first())?.version ?: throw StepBroken("a healthy node gives no status")

private fun publish(
    cluster: FaultCluster,
    base: Long,
    patch: Patch,
    deadlineMillis: Long,
) {
    val outcome = tryPublish(cluster, base, patch, deadlineMillis)
    val result = (outcome as? PublishOutcome.Judged)?.verdict?.result
    require(result == PatchResult.Accepted(base + 1)) { "a patch against version $base: $outcome" }
}

private fun tryPublish(
    cluster: FaultCluster,
    base: Long,
    patch: Patch,
    deadlineMillis: Long,
): PublishOutcome =
    HttpPlatformLog(cluster.log).use {
        Publisher(it, cluster.operators, cluster.healthy.first().operator).publish(base, patch, "ana", deadlineMillis)
    }

private fun requireInForce(
    cluster: FaultCluster,
    nodes: List<DemoNode>,
    version: Long,
    deadlineMillis: Long,
) {
    val missing = { nodes.filter { (cluster.status(it)?.version ?: -1) < version } }
    cluster.awaitUntil(deadlineMillis) { missing().isEmpty() }
    val left = missing().map { it.settings.node }
    require(left.isEmpty()) { "version $version is not in force on $left" }
}
