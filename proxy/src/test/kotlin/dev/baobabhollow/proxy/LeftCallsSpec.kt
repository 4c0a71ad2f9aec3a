package dev.baobabhollow.proxy

import dev.baobabhollow.calls.LeavingReason
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot

class LeftCallsSpec :
    DescribeSpec({
        describe("the counters of calls that left the failure domain") {
            // Guards against bytes that are counted as calls, and against reasons that are counted together.
            it("hold calls and bytes by reason") {
                val registry = PrometheusRegistry()
                val metrics = ProxyMetrics(registry)
                metrics.countLeft(LeavingReason.OVERLOAD, 1_000)
                metrics.countLeft(LeavingReason.OVERLOAD, 500)
                metrics.countLeft(LeavingReason.COLD, 7)

                fun values(name: String) =
                    registry
                        .scrape { it == name }
                        .filterIsInstance<CounterSnapshot>()
                        .single()
                        .dataPoints
                        .associate { it.labels["reason"] to it.value }
                values("baobabhollow_left_calls") shouldBe mapOf("overload" to 2.0, "cold" to 1.0)
                values("baobabhollow_left_bytes") shouldBe mapOf("overload" to 1_500.0, "cold" to 7.0)
            }
        }
    })
