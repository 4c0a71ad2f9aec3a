package dev.baobabhollow.node

import com.github.michaelbull.result.mapBoth
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.platformlog.LogClientLimits
import dev.baobabhollow.platformlog.LogHttpClient
import dev.baobabhollow.platformlog.LogResponse
import io.netty.channel.IoEventLoopGroup
import io.netty.handler.codec.http.HttpMethod

private const val OK = 200
private const val UNAVAILABLE = 503
private const val DRAINING_WORD = "draining"
private const val CONTENT_TYPE = "application/octet-stream"

/** Longest health response; targets state a status and a word or two. */
private const val MAX_RESPONSE_BYTES = 4_096

/** Returns a client for health requests to [target], which bounds the time and the size of a response. */
internal fun healthClient(
    target: Endpoint,
    timeoutMillis: Long,
    nowMillis: () -> Long,
    sharedGroup: IoEventLoopGroup? = null,
): LogHttpClient {
    val limits =
        LogClientLimits(
            connectTimeoutMillis = timeoutMillis,
            responseTimeoutMillis = timeoutMillis,
            maxResponseBytes = MAX_RESPONSE_BYTES,
            allowsCloseDelimitedResponses = true,
        )
    return LogHttpClient(target, limits, nowMillis, sharedGroup)
}

/** Asks the health endpoint of [target]. Not thread-safe. */
internal class HealthProbe(
    private val target: TargetSettings,
) : AutoCloseable {
    private val clock = MonotonicClock()
    private val http = healthClient(target.endpoint, target.healthTimeoutMillis, clock)

    /** Sends one request. Blocks for about twice the target's timeout at most. */
    fun probe(): HealthResponse {
        val path = target.healthPath ?: return HealthResponse.HEALTHY
        val deadline = clock() + target.healthTimeoutMillis * 2
        val response = http.call(HttpMethod.GET, path, ByteArray(0), CONTENT_TYPE, deadline)
        return response.mapBoth(::read) { HealthResponse.FAILED }
    }

    override fun close() = http.close()

    private fun read(response: LogResponse): HealthResponse =
        when (response.status) {
            OK -> HealthResponse.HEALTHY
            UNAVAILABLE -> if (DRAINING_WORD in response.body) HealthResponse.DRAINING else HealthResponse.FAILED
            else -> HealthResponse.FAILED
        }
}
