package dev.baobabhollow.node

import java.io.File

/** Limits of this process on Linux, one a line, with the soft limit before the hard one. */
private val PROCESS_LIMITS = File("/proc/self/limits")
private const val OPEN_FILES = "Max open files"

/** Returns the number of files and sockets that the system lets this process open, or null where it does not tell. */
internal fun openFileLimit(limits: File = PROCESS_LIMITS): Int? {
    if (!limits.canRead()) return null
    val line = limits.readLines().firstOrNull { it.startsWith(OPEN_FILES) } ?: return null
    return line
        .removePrefix(OPEN_FILES)
        .trim()
        .substringBefore(' ')
        .toIntOrNull()
}
