package dev.baobabhollow.proxy.claims

import dev.baobabhollow.calls.ClaimTable
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe

private const val PARTITIONS = 4

/** Heap of a node as started by the command line. */
private const val NODE_HEAP_BYTES = 48L * 1024 * 1024

class ClaimsSettingsSpec :
    DescribeSpec({
        describe("the claimed keys that a node tracks") {
            // Guards against a node that ends for lack of memory because many keys are claimed in the fleet.
            it("take at most an eighth of its heap") {
                val keys = ClaimsSettings.keysPerPartition(NODE_HEAP_BYTES, PARTITIONS).toLong() * PARTITIONS
                keys * ClaimTable.KEY_BYTES shouldBeLessThanOrEqual NODE_HEAP_BYTES / 8
            }

            it("do not grow without a limit on a large heap") {
                ClaimsSettings.keysPerPartition(Long.MAX_VALUE, PARTITIONS) shouldBe 50_000
            }
        }
    })
