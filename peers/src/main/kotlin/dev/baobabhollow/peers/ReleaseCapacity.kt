package dev.baobabhollow.peers

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import dev.baobabhollow.moves.ReleaseSlots

/**
 * Returns the slots of the targets of [service] that [isOfRelease] selects. Those in [evacuated] domains don't serve.
 * Targets that leave in an orderly way, and those of dead nodes, which are remembered for long, count neither as serving
 * nor as announced.
 */
internal fun releaseSlots(
    service: ServiceId,
    view: FleetView,
    evacuated: Set<FailureDomainId>,
    isOfRelease: (TargetRecord) -> Boolean,
): ReleaseSlots {
    var serving = 0
    var announced = 0
    for (record in view.nodes.values) {
        val target = record.target?.takeIf { it.service == service && isOfRelease(it) } ?: continue
        val isLive = record.status == NodeStatus.ALIVE || record.status == NodeStatus.SUSPECT
        if (!isLive || target.status == TargetStatus.DRAINING) continue
        announced += target.slots
        if (canTakeCalls(record, target, evacuated)) serving += target.slots
    }
    return ReleaseSlots(serving, announced)
}

private fun canTakeCalls(
    record: NodeRecord,
    target: TargetRecord,
    evacuated: Set<FailureDomainId>,
) = record.status == NodeStatus.ALIVE && target.status == TargetStatus.SERVING &&
    record.failureDomain !in evacuated
