package dev.baobabhollow.membership

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.NodeId

/**
 * Orders [nodes] by rendezvous hashing for [key], the first being responsible. Nodes that hold the same list agree without
 * messages, and a node that goes away only hands over what it was responsible for.
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
