package dev.baobabhollow.cli

import kotlin.system.exitProcess

/** Runs the command given by [args] and exits with its code. */
fun main(args: Array<String>) {
    if (System.getProperty(STOP_WITH_PARENT_PROPERTY) == "true") haltWithParent()
    exitProcess(runGuarded(args))
}

/**
 * Turns an unexpected exception into an exit code, since threads left running by the command would keep the JVM alive.
 */
private fun runGuarded(args: Array<String>): Int =
    try {
        runCommand(args, Output(System.out, System.err))
    } catch (e: Throwable) {
        e.printStackTrace()
        EXIT_FAILED
    }

/** Halts this process when its parent has exited, without a graceful stop, since nothing waits for it any more. */
private fun haltWithParent() {
    val parent = ProcessHandle.current().parent().orElse(null) ?: return
    parent.onExit().thenRun { Runtime.getRuntime().halt(EXIT_FAILED) }
}
