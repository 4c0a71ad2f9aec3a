package dev.baobabhollow.cli

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.node.parseEndpoint
import kotlinx.cli.ArgType
import kotlinx.cli.ParsingException
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readText

/** Option type of the form `IP:PORT`. */
internal object EndpointOption : ArgType<Endpoint>(true) {
    override val description = "{ IP:PORT }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): Endpoint =
        parseEndpoint(value)
            ?: throw ParsingException("Option $name is expected to be IP:PORT with an IPv4 number. $value is provided.")
}

/** Option type for a 64-bit integer. */
internal object LongOption : ArgType<Long>(true) {
    override val description = "{ whole number }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): Long =
        value.toLongOrNull()
            ?: throw ParsingException("Option $name is expected to be a whole number. $value is provided.")
}

/** Returns the text of [file], or ends the command with [EXIT_FAILED] if it cannot be read. */
internal fun readFile(file: String): String =
    try {
        Path.of(file).readText()
    } catch (e: IOException) {
        fail("cannot read $file: $e")
    }
