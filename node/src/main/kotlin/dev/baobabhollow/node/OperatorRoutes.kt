package dev.baobabhollow.node

import dev.baobabhollow.configuration.contentHash
import dev.baobabhollow.model.WriterId
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.KSerializer
import java.io.ByteArrayOutputStream
import java.util.concurrent.CompletableFuture

private const val READY = 200
private const val NOT_READY = 503

/** Returns the response to a readiness probe: status 200, or 503 with the unmet conditions in [lacking]. */
internal fun readinessResponse(lacking: List<String>): OperatorResponse {
    val body = OperatorJson.encodeToString(ReadinessDocument(lacking.isEmpty(), lacking))
    return OperatorResponse(if (lacking.isEmpty()) READY else NOT_READY, body)
}

/** Handles the requests at the operator port of one node. [applyFaults] is null unless fault injection is enabled. */
internal class OperatorRoutes(
    private val settings: NodeSettings,
    private val snapshot: () -> NodeSnapshot,
    private val verdicts: VerdictRegistry,
    private val versionTimes: VersionTimes,
    private val burn: BurnCounters,
    private val registry: PrometheusRegistry,
    private val applyFaults: ((String) -> OperatorResponse)?,
    private val nowMillis: () -> Long,
) {
    /** Responds to [request]. The future completes later if the request waits for a verdict. */
    fun handle(request: OperatorRequest): CompletableFuture<OperatorResponse> {
        if (request.path.startsWith(VERDICTS) && request.method == GET) return verdict(request.path)
        return CompletableFuture.completedFuture(respond(request))
    }

    private fun respond(request: OperatorRequest): OperatorResponse {
        if (request.path == "/faults") return faults(request)
        val read = reads[request.path] ?: return error(NOT_FOUND, "no such path: ${request.path}")
        return if (request.method == GET) read() else error(METHOD_NOT_ALLOWED, "use GET")
    }

    private val reads: Map<String, () -> OperatorResponse> =
        mapOf(
            "/healthz" to { OperatorResponse(OK, "{\"healthy\":true}") },
            "/readyz" to ::readiness,
            "/metrics" to ::metrics,
            "/status" to { json(StatusDocument.serializer(), status()) },
            "/versions" to { json(VersionsDocument.serializer(), versions()) },
            "/moves" to { json(MovesDocument.serializer(), moves()) },
            "/nodes" to { snapshot().let { json(NodesDocument.serializer(), nodes(it)) } },
            "/burn" to { json(BurnDocument.serializer(), burn()) },
        )

    private fun readiness() = readinessResponse(snapshot().lacking)

    private fun metrics(): OperatorResponse {
        val text = ByteArrayOutputStream()
        PrometheusTextFormatWriter.create().write(text, registry.scrape())
        return OperatorResponse(OK, text.toString(Charsets.UTF_8), "text/plain; version=0.0.4; charset=utf-8")
    }

    private fun status(): StatusDocument {
        val now = snapshot()
        val self = now.view.nodes.getValue(now.view.self)
        return StatusDocument(
            node = self.node,
            failureDomain = self.failureDomain,
            incarnation = self.incarnation,
            status = self.status,
            ready = now.lacking.isEmpty(),
            version = versionTimes.list().lastOrNull()?.version ?: 0,
            offset = now.state.offset,
            contentHash = contentHash(now.state),
            target = self.target,
            liveNodes = now.view.live().size,
            heldMoves = now.heldMoves.sorted(),
            upSinceMillis = now.upSinceMillis,
            nowMillis = nowMillis(),
            evacuatedDomains = now.state.evacuatedDomains.toList(),
        )
    }

    private fun versions(): VersionsDocument {
        val now = snapshot()
        val members =
            now.state.mesh.members.map { (id, member) ->
                MemberDocument(id, member.name, member.movePriority)
            }
        return VersionsDocument(settings.node, now.state.version, now.state.verdicts, versionTimes.list(), members)
    }

    private fun moves(): MovesDocument {
        val now = snapshot()
        val moves =
            now.state.moves.map { (id, state) ->
                val member =
                    now.state.mesh.services[state.plan.service]
                        ?.member
                val priority =
                    now.state.mesh.members[member]
                        ?.movePriority
                MoveDocument(id, member, priority, id in now.heldMoves, state)
            }
        return MovesDocument(settings.node, moves)
    }

    private fun nodes(now: NodeSnapshot) =
        NodesDocument(
            now.view.self,
            now.view.nodes.values
                .sortedBy { it.node },
        )

    private fun burn(): BurnDocument {
        val routes = burn.routes(snapshot().state.mesh)
        return BurnDocument(settings.node, settings.failureDomain, nowMillis(), BurnCounters.BUCKET_MILLIS, routes)
    }

    private fun verdict(path: String): CompletableFuture<OperatorResponse> {
        val parts = path.removePrefix(VERDICTS).split('/')
        val sequence = parts.getOrNull(1)?.toLongOrNull()
        if (parts.size != 2 || sequence == null) {
            return CompletableFuture.completedFuture(error(BAD_REQUEST, "use $VERDICTS{writer}/{sequence}"))
        }
        return verdicts.find(WriterId(parts[0]), sequence, settings.limits.verdictWaitMillis).thenApply { found ->
            if (found ==
                null
            ) {
                error(NOT_FOUND, "no verdict yet")
            } else {
                OperatorResponse(OK, OperatorJson.encodeToString(found))
            }
        }
    }

    private fun faults(request: OperatorRequest): OperatorResponse {
        val apply = applyFaults ?: return error(FORBIDDEN, "set \"faultInjection\": true in the settings")
        return if (request.method == "POST") apply(request.body) else error(METHOD_NOT_ALLOWED, "use POST")
    }

    private fun <T> json(
        serializer: KSerializer<T>,
        value: T,
    ) = OperatorResponse(OK, OperatorJson.encodeToString(serializer, value))

    private fun error(
        status: Int,
        message: String,
    ) = OperatorResponse(status, errorBody(message))

    private companion object {
        const val GET = "GET"
        const val VERDICTS = "/verdicts/"
        const val OK = 200
        const val BAD_REQUEST = 400
        const val FORBIDDEN = 403
        const val NOT_FOUND = 404
        const val METHOD_NOT_ALLOWED = 405
    }
}
