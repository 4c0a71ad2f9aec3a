package dev.baobabhollow.calls

/**
 * Finds the longest of many prefixes that match a text, by binary search. In sorted order, every matching prefix is a
 * prefix of the last entry that is not greater than the text, or that entry itself. [parents] holds the index of the
 * longest proper prefix of each entry, or -1, so following it from that entry finds the longest match first.
 */
internal class PrefixMatcher<T : Any>(
    entries: Map<String, T>,
) {
    private val prefixes = entries.keys.sorted()
    private val values = prefixes.map { entries.getValue(it) }
    private val parents = IntArray(prefixes.size).also { it.fill(-1) }

    init {
        for (index in prefixes.indices) parents[index] = parentOf(index)
    }

    /** Returns the value of the longest prefix of [text], or null if there is none. */
    fun match(text: String): T? {
        val found = prefixes.binarySearch(text)
        var index = if (found >= 0) found else -found - 2
        while (index >= 0) {
            if (text.startsWith(prefixes[index])) return values[index]
            index = parents[index]
        }
        return null
    }

    /**
     * Follows the parents of the preceding entry: each proper prefix of this entry is that one or among its parents.
     */
    private fun parentOf(index: Int): Int {
        var candidate = index - 1
        while (candidate >= 0 && !prefixes[index].startsWith(prefixes[candidate])) candidate = parents[candidate]
        return candidate
    }
}
