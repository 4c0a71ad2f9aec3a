package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.ModelJson
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain

private fun record(coldPerSecond: Double?): NodeRecord {
    val at = Endpoint("127.0.0.1", 1)
    val target = TargetRecord(ServiceId("s"), ReleaseId("1"), 8, 12, instance = "i-1", coldPerSecond = coldPerSecond)
    return NodeRecord(NodeId("n"), FailureDomainId("a"), 1, NodeStatus.ALIVE, at, at, at, target)
}

class CompactRecordSpec :
    DescribeSpec({
        describe("the compact record of a node with a cold target") {
            it("keeps the limit of the target") {
                CompactRecord.of(record(15.75)).toRecord() shouldBe record(15.75)
            }

            // Guards against other bytes on the wire in deployments without cold targets.
            it("has no field for it while the target is warm") {
                val text = ModelJson.encodeToString(CompactRecord.of(record(null)))
                text shouldNotContain "\"w\""
                CompactRecord.of(record(15.75)).maxBytes - CompactRecord.of(record(null)).maxBytes shouldBe 11
            }
        }
    })
