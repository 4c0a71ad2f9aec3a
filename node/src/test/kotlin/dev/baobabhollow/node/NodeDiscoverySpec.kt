package dev.baobabhollow.node

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.NodeId
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.seconds

private val SELF = NodeId("n1")
private val ENDPOINT = Endpoint("10.0.0.1", 7_000)

/** More nodes than membership needs to do without the list. */
private val KNOWN = (1..5).map { NodeId("n$it") }.toSet()

private class FakeDirectory : NodeDirectory {
    val listed = ConcurrentHashMap<NodeId, Endpoint>()
    val announcements = AtomicInteger()
    val reads = AtomicInteger()

    @Volatile
    override var era = 0L

    override fun nodes(): Result<Map<NodeId, Endpoint>, LogError> = Ok(listed.toMap()).also { reads.incrementAndGet() }

    override fun announce(
        node: NodeId,
        endpoint: Endpoint,
    ): Result<Unit, LogError> {
        listed[node] = endpoint
        announcements.incrementAndGet()
        return Ok(Unit)
    }
}

class NodeDiscoverySpec :
    DescribeSpec({
        suspend fun withDiscovery(test: suspend (FakeDirectory, AtomicLong) -> Unit) {
            val directory = FakeDirectory()
            val stateEra = AtomicLong()
            NodeDiscovery(directory, SELF, ENDPOINT, { KNOWN }, { true }, stateEra::get).use {
                it.start()
                eventually(5.seconds) { directory.announcements.get() shouldBe 1 }
                test(directory, stateEra)
            }
        }

        describe("a node whose registration the store has lost") {
            // Guards against a node that cannot be found, since membership made it stop reading the list.
            it("registers again when the directory tells a later era") {
                withDiscovery { directory, _ ->
                    directory.listed.clear()
                    directory.era = 1
                    eventually(20.seconds) { directory.listed[SELF] shouldBe ENDPOINT }
                }
            }

            // Guards against the same for a node that makes no calls to the store.
            it("registers again when its configuration is of a later era") {
                withDiscovery { directory, stateEra ->
                    directory.listed.clear()
                    stateEra.set(1)
                    eventually(20.seconds) { directory.listed[SELF] shouldBe ENDPOINT }
                }
            }
        }

        describe("a node that is still registered in a later era") {
            // Guards against a write by each node of the fleet whenever the store comes back.
            it("does not register again") {
                withDiscovery { directory, stateEra ->
                    val reads = directory.reads.get()
                    stateEra.set(1)
                    eventually(20.seconds) { directory.reads.get() shouldBe reads + 1 }
                    directory.announcements.get() shouldBe 1
                }
            }
        }
    })
