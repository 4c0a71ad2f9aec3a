package dev.baobabhollow.node

import com.github.michaelbull.result.Ok
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.TargetStatus
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private val ENDPOINT = Endpoint("10.1.0.8", 8301)
private val SERVICE = ServiceId("s")
private val REQUEST = OperatorRequest("POST", "/", "")
private const val WAIT_SECONDS = 5L

/** Handler of a target in service, whose changes reach other nodes once [sent] is complete. */
private class ServingTarget {
    var sent: CompletableFuture<Unit> = CompletableFuture.completedFuture(Unit)
    var announced: TargetRecord? = null
    private var next: TargetMessage = heartbeat(1)
    private val adapter =
        object : PlatformAdapter by OwnPlatform(ENDPOINT, { 0 }) {
            override fun readAnnouncement(request: OperatorRequest) = Ok(next)
        }
    private val handler =
        AnnouncementHandler(
            AnnouncedTargetSettings(ENDPOINT, SERVICE, ENDPOINT),
            adapter,
            { 0 },
            { _, record ->
                announced = record
                sent
            },
        ) {}

    init {
        handler.onProbeResponse(DiscoveredTarget("i-1", 8))
        send(next).get(WAIT_SECONDS, TimeUnit.SECONDS).status shouldBe 200
    }

    fun heartbeat(
        sequence: Long,
        isDraining: Boolean = false,
    ) = TargetHeartbeat("i-1", 100, sequence, ENDPOINT, SERVICE, ReleaseId("v1"), 8, isDraining)

    fun send(message: TargetMessage): CompletableFuture<OperatorResponse> {
        next = message
        return handler.handle(REQUEST)
    }
}

class WithdrawalAckSpec :
    DescribeSpec({
        // Guards against a node that is killed right after it has acknowledged a leave or a drain that nobody else knows of.
        describe("a message by which a target withdraws") {
            val messages =
                mapOf<String, (ServingTarget) -> TargetMessage>(
                    "a leave" to { TargetLeave("i-1", 100) },
                    "a drain" to { it.heartbeat(2, isDraining = true) },
                )
            messages.forEach { (name, message) ->
                it("is answered once it was sent to other nodes: $name") {
                    val target = ServingTarget()
                    target.sent = CompletableFuture()
                    val response = target.send(message(target))
                    target.announced?.status shouldBe TargetStatus.DRAINING
                    response.isDone shouldBe false
                    target.sent.complete(Unit)
                    response.get(WAIT_SECONDS, TimeUnit.SECONDS).status shouldBe 200
                }

                // The target would otherwise take this node for dead, and exit without an acknowledgement.
                it("is answered soon although it can't be sent: $name") {
                    val target = ServingTarget()
                    target.sent = CompletableFuture()
                    target.send(message(target)).get(WAIT_SECONDS, TimeUnit.SECONDS).status shouldBe 200
                }
            }
        }
    })
