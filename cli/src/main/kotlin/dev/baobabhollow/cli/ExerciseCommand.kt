package dev.baobabhollow.cli

import dev.baobabhollow.model.Change
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.node.AddressSettings
import dev.baobabhollow.node.Node
import dev.baobabhollow.node.NodeSettings
import dev.baobabhollow.node.TargetSettings
import dev.baobabhollow.platformlog.HttpPlatformLog
import dev.baobabhollow.standins.StandInLog
import dev.baobabhollow.standins.StandInTarget

private const val CALLS = 20
private const val STEP_MILLIS = 15_000L

/**
 * Runs a node against stand-ins inside this process for a moment. `bin/baobabhollow` lets the JVM archive the classes that
 * this loads, which halves the start-up cost of nodes.
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
        val operators = OperatorClient()
        val deadline = System.currentTimeMillis() + STEP_MILLIS
        val outcome =
            HttpPlatformLog(settings.platformLog).use {
                Publisher(it, operators, settings.addresses.operator).publish(0, PATCH, "exercise", deadline)
            }
        repeat(CALLS) { operators.text(settings.addresses.callers, "/vitrina/$it") }
        listOf("/status", "/versions", "/moves", "/nodes", "/burn", "/metrics").forEach {
            operators.text(settings.addresses.operator, it)
        }
        val left = node.stop()
        return if (outcome is PublishOutcome.Judged && left == 0) EXIT_DONE else EXIT_FAILED
    }

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
