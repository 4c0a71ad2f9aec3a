package dev.baobabhollow.cli

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.ServiceObjective
import dev.baobabhollow.node.BurnDocument
import dev.baobabhollow.node.MoveDocument
import dev.baobabhollow.node.MovesDocument
import dev.baobabhollow.node.VersionsDocument

/** Asks every node for its counters and makes the report. */
internal class BurnCollector(
    private val operators: OperatorClient,
    private val shortMillis: Long,
    private val longMillis: Long,
) {
    /** Collects from all nodes that the node at [node] knows; ends the command when that node does not answer. */
    fun collect(
        node: Endpoint,
        nowMillis: Long,
    ): BurnReport {
        val known = operators.nodes(node).getOrElse { fail(it.toString()) }.nodes
        val asked = known.filter { it.status != NodeStatus.DEAD }
        val answers = asked.map { it to operators.burn(it.operatorEndpoint) }
        val versions = operators.versions(node).getOrElse { fail(it.toString()) }
        val moves = operators.moves(node).getOrElse { fail(it.toString()) }
        val missing = answers.mapNotNull { (record, answer) -> answer.getError()?.let { "${record.node}: $it" } }
        val documents = answers.mapNotNull { it.second.get() }
        return report(documents, versions, moves, nowMillis).copy(nodesAsked = asked.size, nodesMissing = missing)
    }

    /** Makes the report from the answers of the nodes. */
    fun report(
        documents: List<BurnDocument>,
        versions: VersionsDocument,
        moves: MovesDocument,
        nowMillis: Long,
    ): BurnReport {
        val bucketMillis = documents.maxOfOrNull { it.bucketMillis } ?: 0
        val incidents = versionIncidents(versions) + moves.moves.map { moveIncident(it, nowMillis) }
        val routes = documents.flatMap { it.routes }.groupBy { RouteOfMember(it.member, it.service, it.route) }
        val priorities = versions.members.associate { it.member to it.movePriority }
        return BurnReport(
            nowMillis = nowMillis,
            shortMillis = shortMillis,
            longMillis = longMillis,
            bucketMillis = bucketMillis,
            nodesAsked = documents.size,
            nodesMissing = emptyList(),
            members = versions.members.map { MemberLine(it.member, it.name, it.movePriority) },
            routes =
                routes
                    .map { (key, parts) ->
                        val objective = parts.firstNotNullOfOrNull { it.objective } ?: ServiceObjective()
                        val buckets = mergeBuckets(parts.flatMap { it.buckets })
                        val shortFrom = nowMillis - shortMillis
                        val longFrom = nowMillis - longMillis
                        val inWindow = buckets.filter { it.startMillis >= longFrom }
                        RouteReport(
                            member = key.member,
                            movePriority = priorities[key.member],
                            service = key.service,
                            route = key.route,
                            objective = objective,
                            availability =
                                objectiveBurn(buckets, objective.availability, shortFrom, longFrom) { it.errors },
                            latency = objectiveBurn(buckets, objective.fastShare, shortFrom, longFrom) { it.slow },
                            coincides = coincidences(key.service, objective, inWindow, bucketMillis, incidents),
                            buckets = inWindow,
                        )
                    }.sortedWith(compareBy({ it.member?.value.orEmpty() }, { it.service }, { it.route })),
        )
    }

    private fun versionIncidents(versions: VersionsDocument): List<Incident> =
        versions.verdicts.mapNotNull { verdict ->
            val version = (verdict.result as? PatchResult.Accepted)?.version ?: return@mapNotNull null
            val from = verdict.appendedAtMillis
            Incident("version $version", null, from, from + VERSION_EFFECT_MILLIS)
        }

    private fun moveIncident(
        document: MoveDocument,
        nowMillis: Long,
    ): Incident {
        val state = document.state
        val end = if (state.phase.isFinal) state.stageAtMillis else nowMillis
        return Incident(
            moveLabel(document.move, state.phase.name.lowercase()),
            state.plan.service,
            state.plan.startAtMillis,
            end,
        )
    }

    private companion object {
        /** Time after a version's append in which its effect would first show: 13 s to be in force, and one bucket. */
        const val VERSION_EFFECT_MILLIS = 18_000L
    }
}
