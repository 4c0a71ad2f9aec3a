package dev.baobabhollow.node

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.platformlog.LogResponse
import dev.baobabhollow.proxy.CallProtocol
import dev.baobabhollow.proxy.MeshProtocol

/** Adapter for the mesh's native protocols. Targets do not announce themselves; their health endpoints are polled. */
internal class OwnPlatform(
    endpoint: Endpoint,
    nowMillis: () -> Long,
) : PlatformAdapter {
    override val log = HttpPlatformLog(endpoint, nowMillis = nowMillis)
    override val protocol: CallProtocol = MeshProtocol
    override val directory: NodeDirectory? = null
    override val readinessPath = "/readyz"

    override fun readAnnouncement(request: OperatorRequest): Result<TargetMessage, String> =
        Err("targets of this platform do not announce themselves")

    override fun readHealth(response: LogResponse): DiscoveredTarget? = null

    override fun close() = log.close()
}
