package dev.baobabhollow.standins

import dev.baobabhollow.model.Endpoint
import io.netty.channel.Channel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec

/**
 * Test double of a back-end instance: an HTTP/1.1 server with slots, a service time and injectable faults. Its event
 * loop owns all state.
 *
 * Paths `/health`, `/load`, `/stats`, `/faults` and `/drain` control the target; any other path is a call. A call's
 * query may hold `answerBytes=N` (padding of the response) and `chunked=true`.
 */
class StandInTarget(
    private val options: StandInTargetOptions = StandInTargetOptions(),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val executor = TargetExecutor(options, nowMillis, ::finish)
    private val callChannels = HashSet<Channel>()
    private var health = LaggingReport(::measureHealth)
    private var load = LaggingReport(::measureLoad)
    private val server = StandInServer("stand-in-target", options.host, options.port, ::initialize)

    /** Address that the target listens on. */
    val endpoint: Endpoint = server.endpoint

    /** Blocks until [close]. */
    fun awaitClose() = server.awaitClose()

    override fun close() = server.close()

    private fun initialize(channel: Channel) {
        val handler = TargetHttpHandler(::handle) { it?.onCancel?.invoke() }
        channel.pipeline().addLast(HttpServerCodec(), handler)
        channel.closeFuture().addListener { callChannels.remove(channel) }
    }

    private fun handle(call: TargetCall) {
        if (call.path == "/faults" && call.request.method() == HttpMethod.POST) return changeFaults(call)
        executor.whenNotFrozen { if (call.channel.isActive) route(call) }
    }

    private fun route(call: TargetCall) {
        when (call.path) {
            "/health" -> sendHealth(call)
            "/load" -> call.send(jsonResponse(HttpResponseStatus.OK, load.value()))
            "/stats" -> sendStats(call)
            "/drain" -> drain(call)
            else -> if (admitConnection(call)) executor.submit(call)
        }
    }

    private fun admitConnection(call: TargetCall): Boolean {
        val refused = call.channel !in callChannels && callChannels.size >= options.connections
        if (refused) call.channel.close() else callChannels += call.channel
        executor.countConnections(callChannels.size, refused)
        return !refused
    }

    private fun finish(
        call: TargetCall,
        outcome: TargetOutcome,
    ) {
        when (outcome) {
            TargetOutcome.ANSWER -> {
                call.send(responseTo(call))
            }

            TargetOutcome.ERROR -> {
                call.send(
                    errorResponse(HttpResponseStatus.valueOf(executor.faults.errorStatus), "fault"),
                )
            }

            TargetOutcome.TRUNCATE -> {
                call.sendTruncated(responseTo(call))
            }

            TargetOutcome.CLOSE -> {
                call.channel.close()
            }

            TargetOutcome.PAST_DEADLINE -> {
                call.send(
                    errorResponse(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline passed"),
                )
            }
        }
    }

    private fun responseTo(call: TargetCall): FullHttpResponse {
        val padding = call.parameter("answerBytes")?.toIntOrNull()?.coerceIn(0, MAX_PADDING_BYTES) ?: 0
        val response =
            TargetResponse(
                options.name,
                options.service,
                options.release,
                call.request.method().name(),
                call.path,
                call.requestId,
                call.idempotencyKey,
                call.bodyBytes,
                call.bodySha256,
                "x".repeat(padding),
            )
        return jsonResponse(HttpResponseStatus.OK, StandInJson.encodeToString(TargetResponse.serializer(), response))
    }

    private fun changeFaults(call: TargetCall) {
        try {
            val faults = mergeFields(TargetFaults.serializer(), executor.faults, call.bodyText)
            call.send(
                jsonResponse(HttpResponseStatus.OK, StandInJson.encodeToString(TargetFaults.serializer(), faults)),
            )
            executor.faults = faults
        } catch (failure: IllegalArgumentException) {
            call.send(errorResponse(HttpResponseStatus.BAD_REQUEST, failure.message ?: "bad faults"))
        }
    }

    private fun drain(call: TargetCall) {
        executor.faults = executor.faults.copy(draining = true)
        call.send(jsonResponse(HttpResponseStatus.OK, measureLoad()))
    }

    private fun sendHealth(call: TargetCall) {
        val status = executor.faults.healthSays ?: health.value()
        val code = if (status == HEALTHY) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        call.send(jsonResponse(code, StandInJson.encodeToString(HealthReport.serializer(), HealthReport(status))))
    }

    private fun sendStats(call: TargetCall) {
        val stats = executor.stats(withMaps = call.parameter("summary") != "true")
        call.send(jsonResponse(HttpResponseStatus.OK, StandInJson.encodeToString(TargetStats.serializer(), stats)))
    }

    private fun measureHealth(): String =
        when {
            executor.faults.draining -> "draining"
            executor.faults.errorPermille >= FAILING_PERMILLE && executor.faults.pathPrefix.isEmpty() -> "failing"
            else -> HEALTHY
        }

    private fun measureLoad(): String {
        val executing = executor.faults.loadSays ?: executor.executing
        val report = LoadReport(options.slots, executing, executor.queued, callChannels.size)
        return StandInJson.encodeToString(LoadReport.serializer(), report)
    }

    /** Caches a report until it is older than [TargetFaults.reportLagMillis]. */
    private inner class LaggingReport(
        private val measure: () -> String,
    ) {
        private var kept = measure()
        private var keptAtMillis = nowMillis()

        fun value(): String {
            if (nowMillis() - keptAtMillis >= executor.faults.reportLagMillis) {
                kept = measure()
                keptAtMillis = nowMillis()
            }
            return kept
        }
    }

    private companion object {
        const val HEALTHY = "ok"
        const val FAILING_PERMILLE = 500
        const val MAX_PADDING_BYTES = 16 * 1024 * 1024
    }
}
