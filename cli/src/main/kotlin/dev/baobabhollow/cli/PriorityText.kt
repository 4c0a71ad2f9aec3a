package dev.baobabhollow.cli

import dev.baobabhollow.model.MovePriority

/** Returns the text that operators see for [priority]. */
internal fun priorityText(priority: MovePriority): String =
    when (priority) {
        MovePriority.TAKE_BACK -> "bad releases taken back"
        MovePriority.COMPLETION -> "good releases in time"
    }
