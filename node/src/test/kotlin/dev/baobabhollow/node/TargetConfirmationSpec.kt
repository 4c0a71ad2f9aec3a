package dev.baobabhollow.node

import com.github.michaelbull.result.Ok
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.MonotonicClock
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.platformlog.LogResponse
import io.kotest.assertions.nondeterministic.continually
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val SERVICE = ServiceId("s")

/** Target whose health path responds with 200 or 503. */
private class HealthStandIn : AutoCloseable {
    val isHealthy = AtomicBoolean()
    private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    val endpoint = Endpoint("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                runCatching {
                    socket.use {
                        it.getInputStream().read()
                        val status = if (isHealthy.get()) "200 OK" else "503 No"
                        val response = "HTTP/1.1 $status\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
                        it.getOutputStream().write(response.toByteArray())
                        it.shutdownOutput()
                        while (it.getInputStream().read() >= 0) Unit
                    }
                }
            }
        }
    }

    override fun close() = server.close()
}

/** Guards against a restarted node that uses a target whose health path does not confirm its first heartbeat. */
class TargetConfirmationSpec :
    DescribeSpec({
        describe("a node that has just started") {
            it("asks the target for each heartbeat, and announces it once it is healthy") {
                HealthStandIn().use { standIn ->
                    val clock = MonotonicClock()
                    var sequence = 0L
                    val adapter =
                        object : PlatformAdapter by OwnPlatform(Endpoint("127.0.0.1", 1), clock) {
                            override fun readAnnouncement(request: OperatorRequest) =
                                Ok(
                                    TargetHeartbeat(
                                        "i-1",
                                        100,
                                        ++sequence,
                                        standIn.endpoint,
                                        SERVICE,
                                        ReleaseId("v1"),
                                        12,
                                        isDraining = false,
                                    ),
                                )

                            override fun readHealth(response: LogResponse) =
                                DiscoveredTarget("i-1", null).takeIf { response.status == 200 }
                        }
                    val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
                    val announced = AtomicReference<TargetRecord>()
                    val discovery = AtomicReference<TargetDiscovery>()
                    val settings = AnnouncedTargetSettings(standIn.endpoint, SERVICE, standIn.endpoint)
                    val publish = { target: TargetRecord?, _: TargetRecord? ->
                        announced.set(target)
                        CompletableFuture.completedFuture(Unit)
                    }
                    val handler =
                        AnnouncementHandler(settings, adapter, clock, publish) { discovery.get().probeSoon() }
                    discovery.set(TargetDiscovery(standIn.endpoint, adapter, handler, clock, group))
                    val heartbeat = OperatorRequest("POST", "/", "")
                    handler.handle(heartbeat).get().status shouldBe 200
                    announced.get() shouldBe null
                    discovery.get().start("/health")
                    handler.handle(heartbeat).get().status shouldBe 200
                    continually(500.milliseconds) { announced.get() shouldBe null }
                    standIn.isHealthy.set(true)
                    handler.handle(heartbeat).get().status shouldBe 200
                    eventually(5.seconds) { announced.get()?.instance shouldBe "i-1" }
                    adapter.close()
                    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
                }
            }
        }
    })
