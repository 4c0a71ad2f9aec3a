package dev.baobabhollow.node

import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.TargetRecord

/** Returns the record of a node at its start. Uses the start time as incarnation, because a restarted process does not know its previous one. */
internal fun selfRecord(
    settings: NodeSettings,
    startMillis: Long,
) = NodeRecord(
    node = settings.node,
    failureDomain = settings.failureDomain,
    incarnation = startMillis,
    status = NodeStatus.ALIVE,
    controlEndpoint = settings.addresses.control,
    peerCallEndpoint = settings.addresses.peerCalls,
    operatorEndpoint = settings.addresses.operator,
    target = settings.target?.let { TargetRecord(it.service, it.release, it.slots, it.connections) },
)
