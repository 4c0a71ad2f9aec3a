package dev.baobabhollow.cli

import kotlin.system.exitProcess

/** Runs the command that [args] name and exits with its code. */
fun main(args: Array<String>) {
    if (System.getProperty(STOP_WITH_PARENT_PROPERTY) == "true") haltWithParent()
    exitProcess(runGuarded(args))
}

/** Fails instead of hanging on threads that a command has left behind when it breaks off. */
private fun runGuarded(args: Array<String>): Int =
    try {
        runCommand(args, Output(System.out, System.err))
    } catch (e: Throwable) {
        e.printStackTrace()
        EXIT_FAILED
    }

/** Halts this process when its parent is gone, without the graceful stop, since nobody waits for it any more. */
private fun haltWithParent() {
    val parent = ProcessHandle.current().parent().orElse(null) ?: return
    parent.onExit().thenRun { Runtime.getRuntime().halt(EXIT_FAILED) }
}
