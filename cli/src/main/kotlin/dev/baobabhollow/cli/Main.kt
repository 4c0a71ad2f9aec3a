package dev.baobabhollow.cli

import kotlin.system.exitProcess

/** Runs the command that [args] name and exits with its code. */
fun main(args: Array<String>) {
    exitProcess(runCommand(args, Output(System.out, System.err)))
}
