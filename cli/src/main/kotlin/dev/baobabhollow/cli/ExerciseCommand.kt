package dev.baobabhollow.cli

import com.github.michaelbull.result.get
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.StreamName
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.node.AddressSettings
import dev.baobabhollow.node.Node
import dev.baobabhollow.node.NodeSettings
import dev.baobabhollow.node.TargetSettings
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.platformlog.LogHttpClient
import dev.baobabhollow.platformlog.LogResponse
import dev.baobabhollow.standins.FreePorts
import dev.baobabhollow.standins.StandInLog
import dev.baobabhollow.standins.StandInTarget
import io.netty.handler.codec.http.HttpMethod

private const val CALLS = 20
private const val STEP_MILLIS = 15_000L

/**
 * Runs a node against stand-ins in this process for a short time. `bin/baobabhollow` has the JVM archive the classes
 * that are loaded meanwhile (class data sharing), which halves the start-up cost of nodes.
 */
internal class ExerciseCommand(
    output: Output,
) : Command("exercise", "Runs a node against stand-ins in one process, for the archive of its classes", output) {
    override fun run(): Int =
        StandInLog().use { log ->
            StandInTarget().use { target -> exercise(settings(log.endpoint, target.endpoint)) }
        }

    private fun exercise(settings: NodeSettings): Int {
        val node = Node(settings)
        node.start()
        val deadline = System.currentTimeMillis() + STEP_MILLIS
        publish(settings.platformLog, deadline)
        val isServed = serveCalls(settings.addresses.callers, deadline)
        LogHttpClient(settings.addresses.operator).use { operators ->
            listOf(
                "/status",
                "/versions",
                "/moves",
                "/nodes",
                "/burn",
                "/metrics",
            ).forEach { operators.get(it, deadline) }
        }
        val cutOffCalls = node.stop()
        return if (isServed && cutOffCalls == 0) EXIT_DONE else EXIT_FAILED
    }

    private fun publish(
        log: Endpoint,
        deadlineMillis: Long,
    ) = HttpPlatformLog(log).use {
        val record = LogRecord(WriterId("exercise"), 1, PatchRecord(0, "exercise", PATCH))
        it.append(StreamName.CONFIGURATION, listOf(record), deadlineMillis)
    }

    /** Calls the node until it has served [CALLS] calls; it serves them once the patch is in force. */
    private fun serveCalls(
        callers: Endpoint,
        deadlineMillis: Long,
    ): Boolean =
        LogHttpClient(callers).use { client ->
            var served = 0
            while (served < CALLS && System.currentTimeMillis() < deadlineMillis) {
                if (client.get("/vitrina/$served", deadlineMillis)?.status ==
                    OK
                ) {
                    served++
                } else {
                    Thread.sleep(PAUSE_MILLIS)
                }
            }
            served == CALLS
        }

    /** Uses the nodes' own HTTP client, so that the archive holds no classes of another one. */
    private fun LogHttpClient.get(
        path: String,
        deadlineMillis: Long,
    ): LogResponse? = call(HttpMethod.GET, path, ByteArray(0), "text/plain", deadlineMillis).get()

    private fun settings(
        log: Endpoint,
        target: Endpoint,
    ): NodeSettings {
        val ports = FreePorts()
        val next = { Endpoint("127.0.0.1", ports.next()) }
        return NodeSettings(
            node = NodeId("exercise"),
            failureDomain = FailureDomainId("exercise"),
            addresses = AddressSettings(next(), next(), next(), next()),
            platformLog = log,
            target = TargetSettings(target, ServiceId("vitrina"), ReleaseId("1"), slots = 12, connections = 100),
        )
    }

    private companion object {
        const val OK = 200
        const val PAUSE_MILLIS = 20L
        val PATCH =
            Patch(
                listOf(
                    Change.PutMember(MemberId("m"), MemberConfig("M")),
                    Change.PutService(
                        ServiceId("vitrina"),
                        ServiceConfig(MemberId("m"), setOf(ReleaseId("1")), ReleaseId("1")),
                    ),
                    Change.PutRoute(RouteId("r"), RouteConfig(ServiceId("vitrina"), "/vitrina")),
                ),
            )
    }
}
