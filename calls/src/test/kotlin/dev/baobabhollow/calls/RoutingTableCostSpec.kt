package dev.baobabhollow.calls

import com.sun.management.ThreadMXBean
import dev.baobabhollow.model.ConfigurationState
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.lang.management.ManagementFactory

private const val ROUTES = 2_280

/** Allocation limit for compiling a table after a change of one target. One object for each route takes more. */
private const val MAX_BYTES = 32_768L

private val THREADS = ManagementFactory.getThreadMXBean() as ThreadMXBean

private fun allocatedBy(step: () -> Unit): Long {
    val before = THREADS.currentThreadAllocatedBytes
    step()
    return THREADS.currentThreadAllocatedBytes - before
}

class RoutingTableCostSpec :
    DescribeSpec({
        describe("a table that is compiled for the change of a target") {
            val many: ConfigurationState = state(routes = (0 until ROUTES).associate { "/route-$it/" to VITRINA })
            val nodes = listOf(node("a-1"), node("a-2"))
            val first = RoutingTable.compile(many, view(nodes), emptySet())

            // Guards against spending CPU time on all routes whenever any target joins, leaves or fails.
            it("does not process all routes") {
                repeat(20) { RoutingTable.compile(many, view(nodes), emptySet(), first) }
                allocatedBy { RoutingTable.compile(many, view(nodes), emptySet(), first) } shouldBeLessThan MAX_BYTES
            }

            it("routes to the new targets") {
                val next = RoutingTable.compile(many, view(nodes.take(1)), emptySet(), first)
                next
                    .match("/route-7/x")
                    ?.service
                    ?.targets
                    ?.map { it.node } shouldBe listOf(nodes[0].node)
            }
        }
    })
