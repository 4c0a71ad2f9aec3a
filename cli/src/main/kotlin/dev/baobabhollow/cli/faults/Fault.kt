package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.demo.DemoNode
import dev.baobabhollow.cli.fail

/**
 * A fault with the actions that start and end it. While it lasts, [isLogUp] is true if patches can be accepted,
 * [cutsPublish] if they cannot reach domain b, [hitsVictim] if node b2 cannot serve its callers, and [hitsDomain] if no
 * node of domain b can. [heal] may be called more than once.
 */
internal data class Fault(
    val name: String,
    val isLogUp: Boolean = true,
    val cutsPublish: Boolean = false,
    val hitsVictim: Boolean = false,
    val hitsDomain: Boolean = false,
    val inject: (FaultCluster) -> Unit,
    val heal: (FaultCluster) -> Unit = {},
)

private const val NO_NODE_FAULTS = "{}"

// Stand-ins leave faults that are not named in a request as they are.
internal const val NO_TARGET_FAULTS = "{\"freeze\":false,\"truncatePermille\":0,\"closePermille\":0}"
internal const val NO_LOG_FAULTS = "{\"outage\":false,\"slowMillis\":0,\"loseAnswersPermille\":0}"

internal val FAULTS: List<Fault> =
    listOf(
        Fault("none", inject = {}),
        Fault("kill of a node", hitsVictim = true, inject = { it.kill(it.victim) }, heal = ::restartVictim),
        Fault(
            "freeze of a node",
            hitsVictim = true,
            inject = { it.signal(it.victim, "STOP") },
            heal = { it.signal(it.victim, "CONT") },
        ),
        Fault(
            "herd restart of a domain with empty memory",
            hitsDomain = true,
            inject = { cluster ->
                val nodes = cluster.faulty
                nodes.forEach(cluster::kill)
                nodes.forEach(cluster::restart)
            },
        ),
        targetFault("freeze of a target", "{\"freeze\":true}"),
        targetFault("target that truncates answers", "{\"truncatePermille\":500}"),
        targetFault("target that closes without an answer", "{\"closePermille\":500}"),
        logFault("platform log outage", "{\"outage\":true}", isLogUp = false),
        logFault("slow platform log", "{\"slowMillis\":400}"),
        logFault("answers of the platform log lost after effect", "{\"loseAnswersPermille\":500}"),
        Fault("platform log trimmed of all records", inject = ::trimLog),
        Fault(
            "domain cut off from the platform",
            inject = { it.relay.isCut = true },
            heal = { it.relay.isCut = false },
        ),
        Fault("domains cut off from each other", inject = ::cutDomains, heal = ::joinDomains),
        Fault(
            "domain cut off from the platform and the other domain",
            cutsPublish = true,
            inject = {
                it.relay.isCut = true
                cutDomains(it)
            },
            heal = {
                it.relay.isCut = false
                joinDomains(it)
            },
        ),
    )

private fun targetFault(
    name: String,
    body: String,
) = Fault(
    name,
    inject = { it.post(it.victim.target, "/faults", body) },
    heal = { it.post(it.victim.target, "/faults", NO_TARGET_FAULTS) },
)

private fun logFault(
    name: String,
    body: String,
    isLogUp: Boolean = true,
) = Fault(
    name,
    isLogUp = isLogUp,
    inject = { it.post(it.log, "/faults", body) },
    heal = { it.post(it.log, "/faults", NO_LOG_FAULTS) },
)

private fun restartVictim(cluster: FaultCluster) {
    if (!cluster.victim.child.process.isAlive) cluster.restart(cluster.victim)
}

private fun trimLog(cluster: FaultCluster) {
    val endOffset = (cluster.status(cluster.healthy.first())?.offset ?: fail("no status of a healthy node")) + 1
    cluster.post(cluster.log, "/trim", "{\"stream\":\"configuration\",\"beforeOffset\":$endOffset}")
}

internal fun cutDomains(cluster: FaultCluster) =
    setNodeFaults(cluster) { node ->
        val other = if (node.domain == HEALTHY_DOMAIN) FAULTY_DOMAIN else HEALTHY_DOMAIN
        "{\"dropControl\":[\"$other\"],\"dropCalls\":[\"$other\"]}"
    }

internal fun joinDomains(cluster: FaultCluster) = setNodeFaults(cluster) { NO_NODE_FAULTS }

/** Sets the faults of all nodes, even if some do not respond, and then throws the first error. */
private fun setNodeFaults(
    cluster: FaultCluster,
    faultsOf: (DemoNode) -> String,
) {
    val errors =
        cluster.nodes.mapNotNull { node ->
            runCatching { cluster.post(node.operator, "/faults", faultsOf(node)) }.exceptionOrNull()
        }
    errors.firstOrNull()?.let { throw it }
}
