package dev.baobabhollow.cli

/** Lays out [rows] under [headings] in columns of equal width. */
internal fun table(
    headings: List<String>,
    rows: List<List<String>>,
): String {
    val lines = listOf(headings) + rows
    val widths = headings.indices.map { column -> lines.maxOf { it[column].length } }
    return lines.joinToString("\n") { line ->
        line.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString("  ").trimEnd()
    }
}
