package dev.baobabhollow.peers

import java.util.random.RandomGenerator

/** Returns the elements in random order. */
internal fun <T> Collection<T>.inRandomOrder(random: RandomGenerator): List<T> =
    map { it to random.nextLong() }.sortedBy { it.second }.map { it.first }
