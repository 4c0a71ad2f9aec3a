package dev.baobabhollow.node

import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI

private const val OK = 200
private const val UNAVAILABLE = 503
private const val MAX_BODY_BYTES = 1_024
private const val DRAINING_WORD = "draining"

/** Asks the health endpoint of [target] once; blocks for at most about twice its timeout. */
internal fun probeHealth(target: TargetSettings): HealthAnswer {
    val path = target.healthPath ?: return HealthAnswer.HEALTHY
    val connection = URI("http://${target.endpoint}$path").toURL().openConnection() as HttpURLConnection
    connection.connectTimeout = target.healthTimeoutMillis.toInt()
    connection.readTimeout = target.healthTimeoutMillis.toInt()
    return try {
        when (connection.responseCode) {
            OK -> HealthAnswer.HEALTHY
            UNAVAILABLE -> if (saysDraining(connection)) HealthAnswer.DRAINING else HealthAnswer.FAILED
            else -> HealthAnswer.FAILED
        }
    } catch (_: IOException) {
        HealthAnswer.FAILED
    } finally {
        connection.disconnect()
    }
}

private fun saysDraining(connection: HttpURLConnection): Boolean {
    val body = connection.errorStream?.readNBytes(MAX_BODY_BYTES) ?: return false
    return body.decodeToString().contains(DRAINING_WORD)
}
