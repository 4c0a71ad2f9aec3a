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

/** A deployment: [slack] is what all nodes together may retry beyond the share; each call makes one nested call. */
private data class Deployment(
    val nodes: Int,
    val slack: Int,
    val callsPerSecond: Int,
)

/**
 * Counts first attempts of nested calls in `requests` and all further attempts in `repeats`. Every call needs a retry.
 */
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

    /** Lets each node accumulate its full retry budget. */
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
        describe("retries of all nodes while the targets of a service and of its callers fail") {
            // Guards against retries that are within each node's budget but together exceed the shared one.
            listOf(
                Deployment(12, 56, 200),
                Deployment(23, 35, 200),
                Deployment(76, 190, 600),
                Deployment(300, 750, 2_000),
            ).forEach { deployment ->
                it("stay within what $deployment may retry") {
                    val targets = FailingTargets(deployment)
                    targets.warmUp()
                    targets.run()
                    val allowed = SHARE * targets.requests + deployment.slack
                    targets.repeats.toDouble() shouldBeLessThanOrEqual allowed
                }
            }
        }
    })
