package dev.baobabhollow.calls

import com.dynatrace.hash4j.hashing.Hashing

/** Returns the partition that holds the claims of [key]. All nodes must use the same number of [partitions]. */
fun partitionOf(
    key: String,
    partitions: Int,
): Int = Math.floorMod(Hashing.komihash5_0().hashCharsToLong(key), partitions.toLong()).toInt()
