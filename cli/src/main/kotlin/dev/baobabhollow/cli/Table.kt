package dev.baobabhollow.cli

/** Renders [rows] under [headings], each column as wide as its longest cell. */
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
