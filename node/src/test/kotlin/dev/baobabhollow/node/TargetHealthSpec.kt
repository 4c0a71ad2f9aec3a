package dev.baobabhollow.node

import dev.baobabhollow.model.TargetStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class TargetHealthSpec :
    DescribeSpec({
        describe("health of the local target") {
            it("does not flap on single failed responses") {
                val health = TargetHealth()
                health.observe(HealthSample(HealthResponse.FAILED)) shouldBe TargetStatus.SERVING
                health.observe(HealthSample(HealthResponse.HEALTHY)) shouldBe TargetStatus.SERVING
                health.observe(HealthSample(HealthResponse.FAILED)) shouldBe TargetStatus.SERVING
                health.observe(HealthSample(HealthResponse.FAILED)) shouldBe TargetStatus.SERVING
            }

            it("marks a target that keeps failing as down and restores it only after several healthy responses") {
                val health = TargetHealth()
                repeat(3) { health.observe(HealthSample(HealthResponse.FAILED)) }
                health.status shouldBe TargetStatus.DOWN
                health.observe(HealthSample(HealthResponse.HEALTHY)) shouldBe TargetStatus.DOWN
                health.observe(HealthSample(HealthResponse.HEALTHY)) shouldBe TargetStatus.SERVING
            }

            it("ignores a failing health endpoint while calls are answered") {
                val health = TargetHealth()
                repeat(10) { health.observe(HealthSample(HealthResponse.FAILED, answered = 20, failed = 1)) }
                health.status shouldBe TargetStatus.SERVING
            }

            it("accepts draining at once") {
                TargetHealth().observe(HealthSample(HealthResponse.DRAINING, answered = 9)) shouldBe
                    TargetStatus.DRAINING
            }
        }
    })
