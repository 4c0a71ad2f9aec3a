package dev.baobabhollow.bench.moves

import dev.baobabhollow.model.MovePriority

/**
 * Calls of one route: its [share] of the service's calls, its share of errors, and its lognormal latency distribution.
 */
internal data class RouteTraffic(
    val name: String,
    val share: Double,
    val errorShare: Double,
    val medianMicros: Double,
    val sigma: Double,
)

/**
 * Calls of one service. Each failure domain has one target of each release with [slots] slots. [planSeconds] is the
 * time from the start of a move to its deadline; it is longer for services with fewer calls.
 */
internal data class ServiceTraffic(
    val name: String,
    val callsPerSecond: Double,
    val slots: Int,
    val planSeconds: Int,
    val routes: List<RouteTraffic>,
)

/** Members whose sizes the benchmark uses (section 2 of the design page). */
enum class BenchMember(
    internal val priority: MovePriority,
    internal val domains: Int,
    internal val services: List<ServiceTraffic>,
) {
    /** 3 services with 4 targets of 12 slots each; gives priority to taking bad releases back. */
    ENREDADERA(
        MovePriority.TAKE_BACK,
        domains = 4,
        services =
            listOf(
                service("vitrina", 400.0, slots = 12, planSeconds = 240, medianMillis = 20.0),
                service("pedidos", 150.0, slots = 12, planSeconds = 360, medianMillis = 40.0),
                service("taller", 40.0, slots = 12, planSeconds = 600, medianMillis = 120.0),
            ),
    ),

    /** 3 services with 4 or 5 targets of 6 slots each; gives priority to completion in time. */
    PARGO(
        MovePriority.COMPLETION,
        domains = 4,
        services =
            listOf(
                service("sheets", 300.0, slots = 6, planSeconds = 240, medianMillis = 15.0),
                service("lots", 80.0, slots = 6, planSeconds = 360, medianMillis = 30.0),
                service("intake", 20.0, slots = 6, planSeconds = 600, medianMillis = 200.0),
            ),
    ),
}

private fun service(
    name: String,
    callsPerSecond: Double,
    slots: Int,
    planSeconds: Int,
    medianMillis: Double,
) = ServiceTraffic(
    name,
    callsPerSecond,
    slots,
    planSeconds,
    listOf(
        RouteTraffic("$name-main", 0.78, 0.001, medianMillis * 1_000, 0.4),
        RouteTraffic("$name-second", 0.20, 0.003, medianMillis * 2_000, 0.6),
        RouteTraffic("$name-rare", 0.02, 0.005, medianMillis * 3_000, 0.5),
    ),
)
