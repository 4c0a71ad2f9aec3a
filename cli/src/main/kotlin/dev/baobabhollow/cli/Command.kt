package dev.baobabhollow.cli

import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.io.PrintStream

/** Is the exit code of a command that did what it was asked. */
const val EXIT_DONE = 0

/** Is the exit code of a command that failed. */
const val EXIT_FAILED = 1

/** Is the exit code of a command line that makes no sense. */
const val EXIT_USAGE = 2

/** Takes the results ([out]) and the errors ([err]) of a command. */
class Output(
    val out: PrintStream,
    val err: PrintStream,
)

/** Ends a command with [code]; [message] goes to standard output if the code is 0 and to standard error otherwise. */
internal class CommandExit(
    val code: Int,
    message: String? = null,
) : RuntimeException(message)

/** Ends the running command as failed with [message]. */
internal fun fail(message: String): Nothing = throw CommandExit(EXIT_FAILED, message)

/** Ends the running command because of wrong use. */
internal fun failUsage(message: String): Nothing = throw CommandExit(EXIT_USAGE, message)

/** Is a command that returns an exit code. */
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

/** Groups [commands] under one word. */
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
 * Lets [parser] throw [CommandExit] instead of ending the process. kotlinx-cli ends it with code 127 on wrong use and
 * offers no public way to change that, so the setter is called by its name in byte code.
 */
internal fun throwOnTermination(parser: ArgParser) {
    val terminate = { message: String, code: Int ->
        throw CommandExit(if (code == EXIT_DONE) EXIT_DONE else EXIT_USAGE, message)
    }
    ArgParser::class.java
        .getMethod("setOutputAndTerminate\$kotlinx_cli", kotlin.jvm.functions.Function2::class.java)
        .invoke(parser, terminate)
}
