package dev.baobabhollow.cli

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.io.ByteArrayOutputStream
import java.io.File
import java.io.PrintStream

private class CommandRun(
    vararg args: String,
) {
    private val outBytes = ByteArrayOutputStream()
    private val errBytes = ByteArrayOutputStream()
    val code = runCommand(arrayOf(*args), Output(PrintStream(outBytes), PrintStream(errBytes)))
    val out get() = outBytes.toString()
    val err get() = errBytes.toString()
}

private fun file(text: String): String =
    File
        .createTempFile("baobabhollow", ".json")
        .apply {
            deleteOnExit()
            writeText(text)
        }.path

/** Nothing listens on port 1 of loopback. */
private const val UNREACHABLE = "127.0.0.1:1"

class CommandsSpec :
    DescribeSpec({
        describe("exit code 2 for an invalid command line") {
            val invalidCommandLines =
                listOf(
                    listOf(),
                    listOf("nonsense"),
                    listOf("report"),
                    listOf("validate"),
                    listOf("status"),
                    listOf("status", "--node", "host.example:80"),
                    listOf("publish", "--base", "one", "--patch", "p", "--node", UNREACHABLE, "--log", UNREACHABLE),
                    listOf("report", "burn", "--node", UNREACHABLE, "--short", "10", "--long", "5"),
                    listOf("standin", "log", "--options", "{\"prot\":1}"),
                )
            invalidCommandLines.forEach { args ->
                it("is returned for `${args.joinToString(" ")}` with a message on standard error") {
                    val run = CommandRun(*args.toTypedArray())
                    run.code shouldBe EXIT_USAGE
                    run.out shouldBe ""
                    run.err.isNotBlank() shouldBe true
                }
            }
        }

        describe("exit code 0") {
            listOf("node", "validate", "publish", "status", "versions", "moves", "demo").forEach { name ->
                it("is returned for `$name --help`, with the usage on standard output") {
                    val run = CommandRun(name, "--help")
                    run.code shouldBe EXIT_DONE
                    run.out shouldContain "Usage: baobabhollow $name"
                }
            }

            it("is returned for a valid patch") {
                val patch = """{"changes":[{"type":"removeRoute","route":"r"}]}"""
                CommandRun("validate", file(patch)).code shouldBe EXIT_DONE
            }
        }

        describe("exit code 1 for failure") {
            it("is returned for a file with errors, which are all printed") {
                val run = CommandRun("validate", file("""{"members":{},"sevices":{},"rotes":{}}"""))
                run.code shouldBe EXIT_FAILED
                run.out shouldContain "$.sevices: found unknown key \"sevices\", expected \"services\""
                run.out shouldContain "$.rotes"
            }

            it("is returned for a file that does not exist") {
                CommandRun("validate", "/nonexistent.json").code shouldBe EXIT_FAILED
            }

            it("is returned when the node does not answer, instead of an exception") {
                val run = CommandRun("status", "--node", UNREACHABLE)
                run.code shouldBe EXIT_FAILED
                run.err shouldContain "node at $UNREACHABLE: no answer"
            }

            it("is returned for a faulty patch before anything is appended to the log") {
                val patch = file("""{"changes":[{"type":"putRoute","route":"r"}]}""")
                val run =
                    CommandRun("publish", "--base", "0", "--patch", patch, "--node", UNREACHABLE, "--log", UNREACHABLE)
                run.code shouldBe EXIT_FAILED
                run.err shouldContain "$.changes[0].config"
            }

            it("is returned when the log cannot be reached, and says that nothing has changed") {
                val patch = file("""{"changes":[{"type":"removeRoute","route":"r"}]}""")
                val args =
                    arrayOf(
                        "--base",
                        "0",
                        "--patch",
                        patch,
                        "--node",
                        UNREACHABLE,
                        "--log",
                        UNREACHABLE,
                        "--timeout",
                        "1",
                    )
                val run = CommandRun("publish", *args)
                run.code shouldBe EXIT_FAILED
                run.out shouldContain "nothing has changed"
            }
        }
    })
