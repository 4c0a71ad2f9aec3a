package dev.baobabhollow.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.io.PrintStream

/** Exit code of a command that succeeded. */
const val EXIT_DONE = 0

/** Exit code of a command that failed. */
const val EXIT_FAILED = 1

/** Exit code for an invalid command line. */
const val EXIT_USAGE = 2

/** Streams to which a command writes its results ([out]) and errors ([err]). */
class Output(
    val out: PrintStream,
    val err: PrintStream,
)

/** Thrown to end a command with [code]. [message] goes to standard output if the code is 0, else to standard error. */
internal class CommandExit(
    val code: Int,
    message: String? = null,
) : RuntimeException(message)

/** Ends the running command with [EXIT_FAILED] and [message]. */
internal fun fail(message: String): Nothing = throw CommandExit(EXIT_FAILED, message)

/** Ends the running command with [EXIT_USAGE] and [message]. */
internal fun failUsage(message: String): Nothing = throw CommandExit(EXIT_USAGE, message)

/** A subcommand that returns an exit code. */
@OptIn(ExperimentalCli::class)
internal abstract class Command(
    name: String,
    description: String,
    protected val output: Output,
) : Subcommand(name, description) {
    init {
        throwOnTermination(this)
    }

    /** Runs the command and returns its exit code. */
    abstract fun run(): Int

    final override fun execute() = throw CommandExit(run())

    protected fun print(text: String) = output.out.println(text)
}

/** Groups [commands] under a common name. */
@OptIn(ExperimentalCli::class)
internal class CommandGroup(
    name: String,
    description: String,
    output: Output,
    vararg commands: Command,
) : Command(name, description, output) {
    init {
        subcommands(*commands)
    }

    override fun run(): Int = failUsage(helpMessage)
}

/**
 * Makes [parser] throw [CommandExit] instead of exiting the process. kotlinx-cli exits with code 127 on invalid usage
 * and has no public API to change that, so its internal setter is called through reflection by its mangled name.
 */
internal fun throwOnTermination(parser: ArgParser) {
    val terminate = { message: String, code: Int ->
        throw CommandExit(if (code == EXIT_DONE) EXIT_DONE else EXIT_USAGE, message)
    }
    ArgParser::class.java
        .getMethod("setOutputAndTerminate\$kotlinx_cli", kotlin.jvm.functions.Function2::class.java)
        .invoke(parser, terminate)
}
