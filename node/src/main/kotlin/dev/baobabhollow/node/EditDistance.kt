package dev.baobabhollow.node

/** Returns the one of [candidates] with the fewest edits to [word], the first of several. */
internal fun nearest(
    word: String,
    candidates: List<String>,
): String? = candidates.minByOrNull { editDistance(word.lowercase(), it.lowercase()) }

/** Counts the insertions, deletions and substitutions of characters that turn [a] into [b] (Levenshtein distance). */
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
