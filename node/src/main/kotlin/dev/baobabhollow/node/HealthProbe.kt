package dev.baobabhollow.node

import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI

private const val OK = 200
private const val UNAVAILABLE = 503
private const val MAX_BODY_BYTES = 1_024
private const val DRAINING_WORD = "draining"

/** Sends one request to the health endpoint of [target]. Blocks for about twice its timeout at most. */
internal fun probeHealth(target: TargetSettings): HealthResponse {
    val path = target.healthPath ?: return HealthResponse.HEALTHY
    val connection = URI("http://${target.endpoint}$path").toURL().openConnection() as HttpURLConnection
    connection.connectTimeout = target.healthTimeoutMillis.toInt()
    connection.readTimeout = target.healthTimeoutMillis.toInt()
    return try {
        when (connection.responseCode) {
            OK -> HealthResponse.HEALTHY
            UNAVAILABLE -> if (reportsDraining(connection)) HealthResponse.DRAINING else HealthResponse.FAILED
            else -> HealthResponse.FAILED
        }
    } catch (_: IOException) {
        HealthResponse.FAILED
    } finally {
        connection.disconnect()
    }
}

private fun reportsDraining(connection: HttpURLConnection): Boolean {
    val body = connection.errorStream?.readNBytes(MAX_BODY_BYTES) ?: return false
    return body.decodeToString().contains(DRAINING_WORD)
}
