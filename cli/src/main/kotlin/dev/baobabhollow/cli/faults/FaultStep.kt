package dev.baobabhollow.cli.faults

import com.github.michaelbull.result.get
import dev.baobabhollow.cli.PublishOutcome
import dev.baobabhollow.cli.Publisher
import dev.baobabhollow.cli.demo.CallRecord
import dev.baobabhollow.cli.demo.CallResult
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

/** An operation that runs during a fault. [run] returns what it observed or throws [PromiseBroken]. */
internal data class FaultStep(
    val name: String,
    val run: (FaultCluster, Fault) -> String,
)

/** Thrown when a check finds a broken promise. */
internal class PromiseBroken(
    message: String,
) : RuntimeException(message)

internal val STEPS =
    listOf(
        FaultStep("call", ::runCalls),
        FaultStep("publish", ::runPublish),
        FaultStep("move", ::runMove),
        FaultStep("join and planned stop", ::runJoin),
    )

private fun checkPromise(
    isHeld: Boolean,
    message: () -> String,
) {
    if (!isHeld) throw PromiseBroken(message())
}

/** Returns the nodes that can serve callers while [fault] lasts. */
private fun usableNodes(
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
            LoadRoute("/once/keyed", "s", 20, isAtMostOnce = true, hasKey = true),
            LoadRoute("/once/plain", "s", 20, isAtMostOnce = true),
        )
    val entries = usableNodes(cluster, fault).map { it.settings.addresses.callers }
    val load = LoadGenerator(entries, routes, CALLS_PER_SECOND, idPrefix = "faults-${System.currentTimeMillis()}")
    load.start()
    cluster.awaitUntil(System.currentTimeMillis() + LOAD_MILLIS) { false }
    fault.heal(cluster)
    load.stop()
    return verifyCalls(load.records, executions(cluster))
}

/** Returns how often the targets have executed each request, by request identifier. */
internal fun executions(cluster: FaultCluster): Map<String, Int> =
    cluster.nodes
        .flatMap { statsOf(cluster, it).executionsByRequestId.entries }
        .groupBy({ it.key }, { it.value })
        .mapValues { it.value.sum() }

/**
 * Reads the statistics of the target beside [node], and retries because it may respond only some time after its fault.
 */
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
        text ?: throw PromiseBroken("the target of ${node.settings.node} gives no counts"),
    )
}

/**
 * Describes how many of [calls] were served. Throws [PromiseBroken] if a response does not belong to its call,
 * a refused call ran, an at-most-once call ran twice, or no call was served.
 */
internal fun verifyCalls(
    calls: List<CallRecord>,
    executions: Map<String, Int>,
): String {
    val byResult = calls.groupingBy { it.result }.eachCount()
    val runs = { call: CallRecord -> executions[call.id] ?: 0 }
    val refusedButRan = calls.filter { it.result == CallResult.NOT_RUN && runs(it) > 0 }
    val twice = calls.filter { it.route.isAtMostOnce && runs(it) > 1 }
    checkPromise((byResult[CallResult.WRONG] ?: 0) == 0) {
        "${byResult[CallResult.WRONG]} answers did not belong to their calls"
    }
    checkPromise(refusedButRan.isEmpty()) { "${refusedButRan.size} calls refused as not run did run" }
    checkPromise(twice.isEmpty()) { "${twice.size} calls that may not be repeated ran twice" }
    checkPromise((byResult[CallResult.SERVED] ?: 0) > 0) { "no call was served: $byResult" }
    return "${byResult[CallResult.SERVED]} of ${calls.size} calls served"
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
    val reached = if (fault.cutsPublish) cluster.healthy else usableNodes(cluster, fault)
    requireInForce(cluster, reached, base + 1, startMillis + IN_FORCE_MILLIS)
    return "in force on ${reached.size} nodes after ${System.currentTimeMillis() - startMillis} ms"
}

/**
 * Checks that a patch gets no verdict during an outage, and is accepted exactly once after it, even if the first append
 * took effect.
 */
private fun publishAfterOutage(
    cluster: FaultCluster,
    fault: Fault,
    base: Long,
    patch: Patch,
): String {
    val refused = tryPublish(cluster, base, patch, System.currentTimeMillis() + REFUSAL_MILLIS)
    checkPromise(refused !is PublishOutcome.Judged) { "a patch was judged while the log was down: $refused" }
    checkPromise(versionOf(cluster) == base) { "the version changed while the log was down" }
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
    val completeByMillis = startMillis + MOVE_MILLIS
    val plan =
        MovePlan(
            ServiceId("s"),
            ReleaseId("1"),
            ReleaseId("2"),
            startMillis,
            completeByMillis,
            completeByMillis + WATCH_MILLIS,
        )
    publish(cluster, base, Patch(listOf(Change.StartMove(id, plan))), startMillis + IN_FORCE_MILLIS)
    publish(cluster, base + 1, Patch(listOf(Change.CancelMove(id))), startMillis + IN_FORCE_MILLIS)
    val reached = if (fault.cutsPublish) cluster.healthy else usableNodes(cluster, fault)
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
        checkPromise(move?.state?.phase == MovePhase.TAKEN_BACK) { "${node.settings.node} shows ${move?.state?.phase}" }
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
    checkPromise(isReady) { "a new node was not ready within $IN_FORCE_MILLIS ms" }
    val version = cluster.status(node)?.version
    checkPromise(version == expected) { "a new node reports version $version, the others $expected" }
    fault.heal(cluster)
    val exit = cluster.leave(node)
    checkPromise(exit == 0) { "the planned stop ended with $exit" }
    return "ready after $millis ms, stopped with 0"
}

private fun versionOf(cluster: FaultCluster): Long =
    cluster.status(cluster.healthy.first())?.version ?: throw PromiseBroken("a healthy node gives no status")

private fun publish(
    cluster: FaultCluster,
    base: Long,
    patch: Patch,
    deadlineMillis: Long,
) {
    val outcome = tryPublish(cluster, base, patch, deadlineMillis)
    val result = (outcome as? PublishOutcome.Judged)?.verdict?.result
    checkPromise(result == PatchResult.Accepted(base + 1)) { "a patch against version $base: $outcome" }
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
    val missingNodes = missing().map { it.settings.node }
    checkPromise(missingNodes.isEmpty()) { "version $version is not in force on $missingNodes" }
}
