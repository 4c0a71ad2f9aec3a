package dev.baobabhollow.standins

import dev.baobabhollow.model.Endpoint
import io.netty.channel.Channel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec

/**
 * Stands in for a back-end instance: an HTTP/1.1 server with slots, a service time and faults on demand. All state
 * belongs to its event loop.
 *
 * Paths `/health`, `/load`, `/stats`, `/faults` and `/drain` are its own; any other path is a call. A call's query may
 * hold `answerBytes=N` (padding of the answer) and `chunked=true`.
 */
class StandInTarget(
    private val options: StandInTargetOptions = StandInTargetOptions(),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val work = TargetWork(options, nowMillis, ::finish)
    private val callers = HashSet<Channel>()
    private var health = Sampled(::measureHealth)
    private var load = Sampled(::measureLoad)
    private val server = StandInServer("stand-in-target", options.host, options.port, ::initialize)

    /** Address that the target listens on. */
    val endpoint: Endpoint = server.endpoint

    /** Blocks until [close]. */
    fun awaitClose() = server.awaitClose()

    override fun close() = server.close()

    private fun initialize(channel: Channel) {
        val handler = TargetHttpHandler(::handle) { it?.onCancel?.invoke() }
        channel.pipeline().addLast(HttpServerCodec(), handler)
        channel.closeFuture().addListener { callers.remove(channel) }
    }

    private fun handle(call: TargetCall) {
        if (call.path == "/faults" && call.request.method() == HttpMethod.POST) return changeFaults(call)
        work.whenNotFrozen { if (call.channel.isActive) route(call) }
    }

    private fun route(call: TargetCall) {
        when (call.path) {
            "/health" -> sendHealth(call)
            "/load" -> call.send(jsonAnswer(HttpResponseStatus.OK, load.value()))
            "/stats" -> sendStats(call)
            "/drain" -> drain(call)
            else -> if (admitCaller(call)) work.take(call)
        }
    }

    private fun admitCaller(call: TargetCall): Boolean {
        val refused = call.channel !in callers && callers.size >= options.connections
        if (refused) call.channel.close() else callers += call.channel
        work.countConnections(callers.size, refused)
        return !refused
    }

    private fun finish(
        call: TargetCall,
        outcome: TargetOutcome,
    ) {
        when (outcome) {
            TargetOutcome.ANSWER -> call.send(answerTo(call))
            TargetOutcome.ERROR -> call.send(errorAnswer(HttpResponseStatus.valueOf(work.faults.errorStatus), "fault"))
            TargetOutcome.TRUNCATE -> call.sendHalf(answerTo(call))
            TargetOutcome.CLOSE -> call.channel.close()
            TargetOutcome.PAST_DEADLINE -> call.send(errorAnswer(HttpResponseStatus.GATEWAY_TIMEOUT, "deadline passed"))
        }
    }

    private fun answerTo(call: TargetCall): FullHttpResponse {
        val padding = call.parameter("answerBytes")?.toIntOrNull()?.coerceIn(0, MAX_PADDING_BYTES) ?: 0
        val answer =
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
        return jsonAnswer(HttpResponseStatus.OK, StandInJson.encodeToString(TargetResponse.serializer(), answer))
    }

    private fun changeFaults(call: TargetCall) {
        try {
            val faults = change(TargetFaults.serializer(), work.faults, call.bodyText)
            call.send(jsonAnswer(HttpResponseStatus.OK, StandInJson.encodeToString(TargetFaults.serializer(), faults)))
            work.faults = faults
        } catch (failure: IllegalArgumentException) {
            call.send(errorAnswer(HttpResponseStatus.BAD_REQUEST, failure.message ?: "bad faults"))
        }
    }

    private fun drain(call: TargetCall) {
        work.faults = work.faults.copy(draining = true)
        call.send(jsonAnswer(HttpResponseStatus.OK, measureLoad()))
    }

    private fun sendHealth(call: TargetCall) {
        val status = work.faults.healthSays ?: health.value()
        val code = if (status == HEALTHY) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
        call.send(jsonAnswer(code, StandInJson.encodeToString(HealthReport.serializer(), HealthReport(status))))
    }

    private fun sendStats(call: TargetCall) {
        val stats = work.stats(withMaps = call.parameter("summary") != "true")
        call.send(jsonAnswer(HttpResponseStatus.OK, StandInJson.encodeToString(TargetStats.serializer(), stats)))
    }

    private fun measureHealth(): String =
        when {
            work.faults.draining -> "draining"
            work.faults.errorPermille >= FAILING_PERMILLE && work.faults.pathPrefix.isEmpty() -> "failing"
            else -> HEALTHY
        }

    private fun measureLoad(): String {
        val executing = work.faults.loadSays ?: work.executing
        val report = LoadReport(options.slots, executing, work.queued, callers.size)
        return StandInJson.encodeToString(LoadReport.serializer(), report)
    }

    /** Keeps a measured report until it is as old as the faults allow. */
    private inner class Sampled(
        private val measure: () -> String,
    ) {
        private var kept = measure()
        private var keptAtMillis = nowMillis()

        fun value(): String {
            if (nowMillis() - keptAtMillis >= work.faults.reportLagMillis) {
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
