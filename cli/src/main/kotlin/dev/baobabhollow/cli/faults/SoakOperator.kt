package dev.baobabhollow.cli.faults

import dev.baobabhollow.cli.PublishOutcome
import dev.baobabhollow.cli.Publisher
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.platformlog.HttpPlatformLog

/** Publishes a patch every second during a soak, and counts the outcomes. */
internal class SoakOperator(
    private val cluster: FaultCluster,
    private val seed: Long,
) {
    private val thread = Thread({ run() }, "soak-operator").apply { isDaemon = true }
    private var accepted = 0L
    private var unknown = 0L
    private var rejected = 0L

    @Volatile
    private var isRunning = true

    fun start() = thread.start()

    /** Stops publishing and waits for the last patch. */
    fun stop() {
        isRunning = false
        thread.join()
    }

    /**
     * Throws [PromiseBroken] unless [version] counts each accepted patch exactly once and each patch without a
     * verdict at most once. Returns the counts. The first configuration, published before the soak, is subtracted from
     * [version].
     */
    fun verify(version: Long?): String {
        val published = (version ?: throw PromiseBroken("no version after the soak")) - 1
        if (published !in accepted..accepted + unknown) {
            throw PromiseBroken("$published patches are in force, $accepted were accepted and $unknown are unknown")
        }
        return "$accepted patches accepted, $unknown unknown, $rejected not taken"
    }

    private fun run() =
        HttpPlatformLog(cluster.log).use { log ->
            var number = 0
            while (isRunning) {
                publish(log, number++)
                Thread.sleep(PERIOD_MILLIS)
            }
        }

    private fun publish(
        log: HttpPlatformLog,
        number: Int,
    ) {
        val node = cluster.nodes.first()
        val base = cluster.status(node)?.version ?: return
        val name = "soak$seed-$number"
        val patch = Patch(listOf(Change.PutRoute(RouteId(name), RouteConfig(ServiceId("s"), "/$name"))))
        val deadline = System.currentTimeMillis() + DEADLINE_MILLIS
        when (val outcome = Publisher(log, cluster.operators, node.operator).publish(base, patch, "ana", deadline)) {
            is PublishOutcome.Judged -> if (outcome.verdict.result is PatchResult.Accepted) accepted++ else rejected++
            is PublishOutcome.NotAppended -> rejected++
            is PublishOutcome.NoVerdict -> unknown++
        }
    }

    private companion object {
        const val PERIOD_MILLIS = 1_000L
        const val DEADLINE_MILLIS = 6_000L
    }
}
