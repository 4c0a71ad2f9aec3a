package dev.baobabhollow.cli

import dev.baobabhollow.model.MovePriority

/** Says for a person what [priority] means. */
internal fun priorityText(priority: MovePriority): String =
    when (priority) {
        MovePriority.TAKE_BACK -> "bad releases taken back"
        MovePriority.COMPLETION -> "good releases in time"
    }
