package dev.baobabhollow.standins

import dev.baobabhollow.model.Endpoint
import java.io.PrintStream

/** Runs a [StandInLog] until the process ends and prints its address as one JSON line. */
fun runStandInLog(
    options: StandInLogOptions,
    output: PrintStream = System.out,
) = StandInLog(options).use {
    printAddress(output, "log", it.endpoint)
    it.awaitClose()
}

/** Runs a [StandInTarget] until the process ends and prints its address as one JSON line. */
fun runStandInTarget(
    options: StandInTargetOptions,
    output: PrintStream = System.out,
) = StandInTarget(options).use {
    printAddress(output, "target", it.endpoint)
    it.awaitClose()
}

private fun printAddress(
    output: PrintStream,
    kind: String,
    endpoint: Endpoint,
) {
    output.println("""{"standin":"$kind","host":"${endpoint.host}","port":${endpoint.port}}""")
    output.flush()
}
