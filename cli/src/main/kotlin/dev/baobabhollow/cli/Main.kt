package dev.baobabhollow.cli

import kotlin.system.exitProcess

/** Runs the command that [args] name and exits with its code. */
fun main(args: Array<String>) {
    if (System.getProperty(STOP_WITH_PARENT_PROPERTY) == "true") haltWithParent()
    exitProcess(runCommand(args, Output(System.out, System.err)))
}

/** Halts this process when its parent is gone, without the graceful stop, since nobody waits for it any more. */
private fun haltWithParent() {
    val parent = ProcessHandle.current().parent().orElse(null) ?: return
    parent.onExit().thenRun { Runtime.getRuntime().halt(EXIT_FAILED) }
}
