package dev.baobabhollow.node

/** Returns the first of [candidates] with the smallest edit distance to [word], or null if there are none. */
internal fun nearest(
    word: String,
    candidates: List<String>,
): String? = candidates.minByOrNull { editDistance(word.lowercase(), it.lowercase()) }

/** Returns the Levenshtein distance between [a] and [b]. */
internal fun editDistance(
    a: String,
    b: String,
): Int {
    var row = IntArray(b.length + 1) { it }
    for (i in 1..a.length) {
        val next = IntArray(b.length + 1)
        next[0] = i
        for (j in 1..b.length) {
            val substituted = row[j - 1] + if (a[i - 1] == b[j - 1]) 0 else 1
            next[j] = minOf(substituted, row[j] + 1, next[j - 1] + 1)
        }
        row = next
    }
    return row[b.length]
}
