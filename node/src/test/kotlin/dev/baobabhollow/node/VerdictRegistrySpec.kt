package dev.baobabhollow.node

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.TimeUnit

private const val LONG_MILLIS = 60_000L

class VerdictRegistrySpec :
    DescribeSpec({
        val writer = WriterId("w")
        val verdict = PatchVerdict(writer, 1, 5, "op", 0, 0, PatchResult.Accepted(1))

        describe("waiting for a verdict") {
            it("completes a request that arrived before the record was applied") {
                val registry = VerdictRegistry()
                val response = registry.find(writer, 1, LONG_MILLIS)
                response.isDone shouldBe false
                registry.update(ConfigurationState(verdicts = listOf(verdict)))
                response.get(1, TimeUnit.SECONDS) shouldBe verdict
            }

            it("does not return the verdict on another sequence number of the same writer") {
                val registry = VerdictRegistry()
                registry.update(ConfigurationState(verdicts = listOf(verdict)))
                registry.find(writer, 2, 1).get(5, TimeUnit.SECONDS) shouldBe null
            }

            it("bounds the number of waiting requests") {
                val registry = VerdictRegistry(maxWaiting = 1)
                registry.find(writer, 1, LONG_MILLIS)
                registry.find(writer, 1, LONG_MILLIS).getNow(verdict) shouldBe null
            }
        }
    })
