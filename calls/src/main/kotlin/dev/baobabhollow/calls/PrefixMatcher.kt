package dev.baobabhollow.calls

/**
 * Finds the longest of many prefixes of a text by binary search. Of the prefixes in order, the last one that is not above
 * the text is the only candidate or extends all others, so following [parents] from it finds the longest match.
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

    /** Returns the value of the longest prefix of [text], or null. */
    fun match(text: String): T? {
        val found = prefixes.binarySearch(text)
        var index = if (found >= 0) found else -found - 2
        while (index >= 0) {
            if (text.startsWith(prefixes[index])) return values[index]
            index = parents[index]
        }
        return null
    }

    /** Follows the parents of the prefix before, since any prefix of this one is also among them or is that prefix. */
    private fun parentOf(index: Int): Int {
        var candidate = index - 1
        while (candidate >= 0 && !prefixes[index].startsWith(prefixes[candidate])) candidate = parents[candidate]
        return candidate
    }
}
