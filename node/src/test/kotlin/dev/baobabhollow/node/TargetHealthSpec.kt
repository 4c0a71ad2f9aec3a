package dev.baobabhollow.node

import dev.baobabhollow.model.TargetStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class TargetHealthSpec :
    DescribeSpec({
        describe("health of the local target") {
            it("does not flap on one failed answer") {
                val health = TargetHealth()
                health.observe(HealthSample(HealthResponse.FAILED)) shouldBe TargetStatus.SERVING
                health.observe(HealthSample(HealthResponse.HEALTHY)) shouldBe TargetStatus.SERVING
                health.observe(HealthSample(HealthResponse.FAILED)) shouldBe TargetStatus.SERVING
                health.observe(HealthSample(HealthResponse.FAILED)) shouldBe TargetStatus.SERVING
            }

            it("takes out a target that keeps failing and brings it back only after several good answers") {
                val health = TargetHealth()
                repeat(3) { health.observe(HealthSample(HealthResponse.FAILED)) }
                health.status shouldBe TargetStatus.DOWN
                health.observe(HealthSample(HealthResponse.HEALTHY)) shouldBe TargetStatus.DOWN
                health.observe(HealthSample(HealthResponse.HEALTHY)) shouldBe TargetStatus.SERVING
            }

            it("does not believe a misleading health endpoint against answered calls") {
                val health = TargetHealth()
                repeat(10) { health.observe(HealthSample(HealthResponse.FAILED, answered = 20, failed = 1)) }
                health.status shouldBe TargetStatus.SERVING
            }

            it("believes at once a target that says that it drains") {
                TargetHealth().observe(HealthSample(HealthResponse.DRAINING, answered = 9)) shouldBe
                    TargetStatus.DRAINING
            }
        }
    })
