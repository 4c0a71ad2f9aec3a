package dev.baobabhollow.node

import com.github.michaelbull.result.fold
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.platformlog.LogHttpClient
import io.netty.channel.IoEventLoopGroup
import io.netty.handler.codec.http.HttpMethod
import org.apache.logging.log4j.Level
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference

/**
 * Probes the target on the VM of a node that has just started for its identity, since the next heartbeat may be more
 * than a second away and no call can be served without a known target, and probes it again for each heartbeat that has
 * to be confirmed.
 */
internal class TargetDiscovery(
    private val endpoint: Endpoint,
    private val adapter: PlatformAdapter,
    private val announcements: AnnouncementHandler,
    private val nowMillis: () -> Long,
    private val group: IoEventLoopGroup,
) {
    private val isProbing = AtomicBoolean()
    private val healthPath = AtomicReference<String>()

    /** Sets the [path] to probe, and probes it in the background when it becomes known. */
    fun start(path: String) {
        if (healthPath.getAndSet(path) == null) probeSoon()
    }

    /** Probes the target in the background, unless its path is not known yet or a probe is in progress. */
    fun probeSoon() {
        val path = healthPath.get() ?: return
        if (!announcements.needsProbe || !isProbing.compareAndSet(false, true)) return
        Thread({ run(path) }, "target-search").apply { isDaemon = true }.start()
    }

    private fun run(path: String) {
        try {
            healthClient(endpoint, RESPONSE_MILLIS, nowMillis, group).use { http ->
                repeat(ATTEMPTS) { attempt ->
                    if (attempt > 0) Thread.sleep(PAUSE_MILLIS)
                    if (!announcements.needsProbe || probe(http, path)) return
                }
            }
        } finally {
            isProbing.set(false)
        }
    }

    private fun probe(
        http: LogHttpClient,
        healthPath: String,
    ): Boolean =
        http.call(HttpMethod.GET, healthPath, ByteArray(0), CONTENT_TYPE, nowMillis() + RESPONSE_MILLIS).fold(
            success = { response ->
                val discovered = adapter.readHealth(response)
                if (discovered ==
                    null
                ) {
                    EventLog.write("target_not_found", "status" to response.status)
                } else {
                    announcements.onProbeResponse(discovered)
                }
                true
            },
            failure = { error ->
                EventLog.write("target_not_found", "error" to error, level = Level.WARN)
                false
            },
        )

    private companion object {
        const val CONTENT_TYPE = "application/octet-stream"

        /** Two attempts and their pause end before the next heartbeat is due, which makes a probe unnecessary. */
        const val ATTEMPTS = 2
        const val RESPONSE_MILLIS = 500L
        const val PAUSE_MILLIS = 200L
    }
}
