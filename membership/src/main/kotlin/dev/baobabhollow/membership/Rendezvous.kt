package dev.baobabhollow.membership

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.NodeId

/**
 * Returns [nodes] ordered by rendezvous hashing for [key]; the first one is responsible. Nodes with the same list agree
 * without messages, and when a node leaves, only the keys it was responsible for change owner.
 */
fun rankNodes(
    key: String,
    nodes: Collection<NodeId>,
): List<NodeId> = nodes.sortedWith(compareByDescending<NodeId> { weight(key, it) }.thenBy { it })

private fun weight(
    key: String,
    node: NodeId,
): Long =
    Hashing
        .xxh3_64()
        .hashStream()
        .putString(key)
        .putString(node.value)
        .asLong
