package dev.baobabhollow.calls

import com.sun.management.ThreadMXBean
import dev.baobabhollow.model.ConfigurationState
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.lang.management.ManagementFactory

private const val ROUTES = 2_280

/**
 * Says how much a table may allocate that is compiled for a change of one target. One object for each route takes more.
 */
private const val MAX_BYTES = 32_768L

private val THREADS = ManagementFactory.getThreadMXBean() as ThreadMXBean

private fun allocatedBy(step: () -> Unit): Long {
    val before = THREADS.currentThreadAllocatedBytes
    step()
    return THREADS.currentThreadAllocatedBytes - before
}

class RoutingTableCostSpec :
    DescribeSpec({
        describe("a table that is compiled again because a target has changed") {
            val many: ConfigurationState = state(routes = (0 until ROUTES).associate { "/route-$it/" to VITRINA })
            val nodes = listOf(node("a-1"), node("a-2"))
            val first = RoutingTable.compile(many, view(nodes), emptySet())

            // Guards against nodes that spend their processor on routes whenever a target anywhere comes, goes or
            // fails.
            it("does not go through all routes") {
                repeat(20) { RoutingTable.compile(many, view(nodes), emptySet(), first) }
                allocatedBy { RoutingTable.compile(many, view(nodes), emptySet(), first) } shouldBeLessThan MAX_BYTES
            }

            it("routes by the new targets") {
                val next = RoutingTable.compile(many, view(nodes.take(1)), emptySet(), first)
                next
                    .match("/route-7/x")
                    ?.service
                    ?.targets
                    ?.map { it.node } shouldBe listOf(nodes[0].node)
            }
        }
    })
