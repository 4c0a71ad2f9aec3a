package dev.baobabhollow.node

import com.github.michaelbull.result.unwrap
import dev.baobabhollow.calls.RetryBudgets
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.proxy.MeshProtocol
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual

private val OUTER = ServiceId("vitrina")
private val NESTED = ServiceId("pedidos")
private const val SECONDS = 10
private const val SHARE = 0.2

/** Holds a deployment: what all nodes together may repeat beyond the share, and calls a second that make a nested one. */
private data class Deployment(
    val nodes: Int,
    val slack: Int,
    val callsPerSecond: Int,
)

/** Counts nested calls that are the first of their kind, and arrivals beyond those, while every call wants to be repeated. */
private class FailingTargets(
    private val deployment: Deployment,
) {
    private val tuning =
        proxySettings(
            parseSettings(RENDERED_SETTINGS).unwrap().copy(retries = RetrySettings(SHARE, deployment.slack.toDouble())),
            MeshProtocol,
        ).retries
    private val nodes = List(deployment.nodes) { RetryBudgets(tuning).also { it.nodes = deployment.nodes } }
    var requests = 0
    var repeats = 0

    /** Gives each node time to save up what it may. */
    fun warmUp() = nodes.forEach { node -> listOf(OUTER, NESTED).forEach { s -> repeat(100) { node.of(s).onCall() } } }

    fun run() =
        repeat(SECONDS * deployment.callsPerSecond) { number ->
            val node = nodes[number % nodes.size]
            node.of(OUTER).onCall()
            nest(number, isRepeat = false)
            if (node.of(OUTER).tryRetry(number.toLong())) nest(number, isRepeat = true)
        }

    private fun nest(
        number: Int,
        isRepeat: Boolean,
    ) {
        val node = nodes[(number * 7 + 3) % nodes.size]
        node.of(NESTED).onCall()
        requests++
        if (isRepeat) repeats++
        if (node.of(NESTED).tryRetry(number.toLong())) repeats++
    }
}

class SharedRetriesSpec :
    DescribeSpec({
        describe("retries of all nodes while targets of a service and those that call it fail") {
            // Guards against retries that each node may send, and that are more than all of them together may.
            listOf(
                Deployment(12, 56, 200),
                Deployment(23, 35, 200),
                Deployment(76, 190, 600),
                Deployment(300, 750, 2_000),
            ).forEach { deployment ->
                it("stay within what $deployment may repeat") {
                    val targets = FailingTargets(deployment)
                    targets.warmUp()
                    targets.run()
                    val allowed = SHARE * targets.requests + deployment.slack
                    targets.repeats.toDouble() shouldBeLessThanOrEqual allowed
                }
            }
        }
    })
