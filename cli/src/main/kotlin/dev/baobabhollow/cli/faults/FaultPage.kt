package dev.baobabhollow.cli.faults

/**
 * Renders [cells] as the page docs/fault-matrix.md. Combinations of [FAULTS] and [STEPS] without a result show as "not
 * run".
 */
internal fun renderFaultPage(
    cells: List<CellResult>,
    day: String,
): String {
    val byCell = cells.associateBy { it.fault to it.step }
    return buildString {
        appendLine("# Fault matrix")
        appendLine()
        appendLine(
            "Written by `bin/baobabhollow bench faults --out docs/fault-matrix.md` on $day. Six nodes in two failure",
        )
        appendLine(
            "domains run as processes beside stand-ins; each fault starts before the step and ends after it. A cell is",
        )
        appendLine("held when the step kept its promises, no node went back, and all nodes agreed again within 30 s.")
        appendLine()
        appendLine("| Fault | ${STEPS.joinToString(" | ") { it.name }} |")
        appendLine("| --- |${" --- |".repeat(STEPS.size)}")
        FAULTS.forEach { fault ->
            val row = STEPS.joinToString(" | ") { textOf(byCell[fault.name to it.name]) }
            appendLine("| ${fault.name} | $row |")
        }
        appendLine()
        appendLine("## What was seen")
        appendLine()
        cells.forEach { appendLine("- ${it.fault}, ${it.step}: ${textOf(it)}: ${it.observed}") }
    }
}

private fun textOf(cell: CellResult?): String =
    when (cell?.isHeld) {
        null -> "not run"
        true -> "held"
        false -> "**broken**"
    }
