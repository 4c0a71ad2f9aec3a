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

/** Collects the call counters of all nodes and builds a [BurnReport] from them. */
internal class BurnCollector(
    private val operators: OperatorClient,
    private val shortMillis: Long,
    private val longMillis: Long,
) {
    /** Queries all nodes that the node at [node] lists as not dead. Ends the command if that node does not respond. */
    fun collect(
        node: Endpoint,
        nowMillis: Long,
    ): BurnReport {
        val known = operators.nodes(node).getOrElse { fail(it.toString()) }.nodes
        val asked = known.filter { it.status != NodeStatus.DEAD }
        val responses = asked.map { it to operators.burn(it.operatorEndpoint) }
        val versions = operators.versions(node).getOrElse { fail(it.toString()) }
        val moves = operators.moves(node).getOrElse { fail(it.toString()) }
        val missing = responses.mapNotNull { (record, response) -> response.getError()?.let { "${record.node}: $it" } }
        val documents = responses.mapNotNull { it.second.get() }
        return report(documents, versions, moves, nowMillis).copy(nodesAsked = asked.size, nodesMissing = missing)
    }

    /** Builds the report from the nodes' burn [documents], the accepted [versions] and the [moves]. */
    fun report(
        documents: List<BurnDocument>,
        versions: VersionsDocument,
        moves: MovesDocument,
        nowMillis: Long,
    ): BurnReport {
        val bucketMillis = documents.maxOfOrNull { it.bucketMillis } ?: 0
        val changeSpans = versionSpans(versions) + moves.moves.map { moveSpan(it, nowMillis) }
        val routes = documents.flatMap { it.routes }.groupBy { RouteKey(it.member, it.service, it.route) }
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
                            coincides = overlappingChanges(key.service, objective, inWindow, bucketMillis, changeSpans),
                            buckets = inWindow,
                        )
                    }.sortedWith(compareBy({ it.member?.value.orEmpty() }, { it.service }, { it.route })),
        )
    }

    private fun versionSpans(versions: VersionsDocument): List<ChangeSpan> =
        versions.verdicts.mapNotNull { verdict ->
            val version = (verdict.result as? PatchResult.Accepted)?.version ?: return@mapNotNull null
            val from = verdict.appendedAtMillis
            ChangeSpan("version $version", null, from, from + VERSION_EFFECT_MILLIS)
        }

    private fun moveSpan(
        document: MoveDocument,
        nowMillis: Long,
    ): ChangeSpan {
        val state = document.state
        val end = if (state.phase.isFinal) state.stageAtMillis else nowMillis
        return ChangeSpan(
            moveLabel(document.move, state.phase.name.lowercase()),
            state.plan.service,
            state.plan.startAtMillis,
            end,
        )
    }

    private companion object {
        /**
         * Time after a version's append within which its effect first shows: 13 s until it is in force, plus one
         * bucket.
         */
        const val VERSION_EFFECT_MILLIS = 18_000L
    }
}
