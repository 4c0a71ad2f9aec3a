package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/**
 * Sets up a [StandInTarget]. Port 0 means any free port.
 *
 * @property slots number of calls executed at one time
 * @property connections number of connections that may carry calls
 * @property queue number of calls that wait for a slot; more are answered 503
 * @property serviceMillis time of one call
 * @property serviceJitterPermille largest random deviation of the service time, up and down
 * @property coldMillis time after the start during which calls are slower
 * @property coldFactor factor of the service time at the start, which falls evenly to 1
 */
@Serializable
data class StandInTargetOptions(
    val host: String = "127.0.0.1",
    val port: Int = 0,
    val name: String = "target",
    val service: String = "vitrina",
    val release: String = "1",
    val slots: Int = 12,
    val connections: Int = 100,
    val queue: Int = 24,
    val serviceMillis: Double = 2.0,
    val serviceJitterPermille: Int = 0,
    val coldMillis: Long = 0,
    val coldFactor: Double = 5.0,
    val seed: Long = 1,
    val faults: TargetFaults = TargetFaults(),
)

/**
 * Sets the faults of a [StandInTarget]. `POST /faults` replaces the given fields.
 *
 * @property errorPermille share of calls answered with [errorStatus]
 * @property pathPrefix limits errors, latency, truncation and closing to paths that start with it
 * @property errorAboveConcurrent limits errors to calls that start while more than so many execute
 * @property worseningErrorPermillePerSecond rise of the error share since the faults were set
 * @property worseningLatencyMillisPerSecond rise of the latency since the faults were set
 * @property truncatePermille share of calls whose answer stops in the middle of the body
 * @property closePermille share of calls that execute and end without an answer
 * @property freeze stops every answer but that of `POST /faults`, as a paused process does
 * @property draining refuses new calls with 503 and closes their connections
 * @property healthSays replaces the health that `/health` reports: `ok`, `failing` or `draining`
 * @property loadSays replaces the number of executing calls that `/load` reports
 * @property reportLagMillis age that reports of health and load may reach
 */
@Serializable
data class TargetFaults(
    val errorPermille: Int = 0,
    val errorStatus: Int = 500,
    val extraLatencyMillis: Double = 0.0,
    val pathPrefix: String = "",
    val errorAboveConcurrent: Int = 0,
    val worseningErrorPermillePerSecond: Double = 0.0,
    val worseningLatencyMillisPerSecond: Double = 0.0,
    val truncatePermille: Int = 0,
    val closePermille: Int = 0,
    val freeze: Boolean = false,
    val draining: Boolean = false,
    val healthSays: String? = null,
    val loadSays: Int? = null,
    val reportLagMillis: Long = 0,
)
