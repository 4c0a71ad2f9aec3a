package dev.baobabhollow.standins

import kotlinx.serialization.Serializable

/**
 * Options of a [StandInTarget]. Port 0 selects any free port.
 *
 * @property slots maximum number of concurrent calls
 * @property connections maximum number of connections that carry calls
 * @property queue maximum number of calls that wait for a slot; further calls are rejected with 503
 * @property serviceMillis service time of one call
 * @property serviceJitterPermille maximum random deviation of the service time in both directions
 * @property coldMillis duration of the slow start
 * @property coldFactor factor of the service time at the start; decreases linearly to 1 during the slow start
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
 * Faults of a [StandInTarget]. `POST /faults` replaces the fields in its body.
 *
 * @property errorPermille share of calls that fail with [errorStatus]
 * @property pathPrefix limits errors, latency, truncation and closing to paths that start with it
 * @property errorAboveConcurrent limits errors to calls that start while more than this number execute
 * @property worseningErrorPermillePerSecond increase of the error share per second since the faults were set
 * @property worseningLatencyMillisPerSecond increase of the latency per second since the faults were set
 * @property truncatePermille share of calls whose response is truncated in the middle of the body
 * @property closePermille share of calls that execute but whose connection is closed without a response
 * @property freeze withholds all responses except those to `POST /faults`, like a paused process
 * @property draining rejects new calls with 503 and closes their connections
 * @property healthSays overrides the health that `/health` reports: `ok`, `failing` or `draining`
 * @property loadSays overrides the number of executing calls that `/load` reports
 * @property reportLagMillis maximum age of the cached health and load reports
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
