package dev.baobabhollow.proxy

import java.util.concurrent.ConcurrentHashMap

/** Keeps the first [limit] names that are used and replaces all others by [other]. Thread-safe. */
internal class BoundedNames(
    private val limit: Int,
    private val other: String,
) {
    private val names = ConcurrentHashMap.newKeySet<String>()

    fun nameOf(name: String): String {
        if (name in names) return name
        if (names.size >= limit) return other
        synchronized(this) {
            if (names.size < limit) names.add(name)
        }
        return if (name in names) name else other
    }
}
