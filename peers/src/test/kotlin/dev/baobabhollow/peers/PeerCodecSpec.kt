package dev.baobabhollow.peers

import com.github.michaelbull.result.fold
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.membership.MembershipSettings
import dev.baobabhollow.membership.OutgoingMessage
import dev.baobabhollow.membership.membership
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.model.WriterId
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import java.io.DataOutputStream
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.Socket
import java.util.SplittableRandom
import kotlin.time.Duration.Companion.seconds

private val MAX_BODY_BYTES = ControlPlaneSettings().maxFrameBytes

private fun verdict(number: Int) =
    PatchVerdict(
        WriterId("cli-$number"),
        sequence = 1,
        offset = number.toLong(),
        operator = "ana",
        baseVersion = number - 1L,
        appendedAtMillis = 1_000L * number,
        result = PatchResult.Accepted(number.toLong()),
    )

class PeerCodecSpec :
    DescribeSpec({
        fun recordOf(
            domain: Int,
            number: Int,
        ): NodeRecord {
            val endpoint = { port: Int -> Endpoint("172.16.${100 + domain}.${100 + number}", port) }
            val target = TargetRecord(ServiceId("service-of-a-member-$number"), ReleaseId("release-2026-12"), 64, 1_000)
            return NodeRecord(
                node = NodeId("node-$domain-$number-4f2a9c"),
                failureDomain = FailureDomainId("region-1-zone-$domain"),
                incarnation = 1_800_000_000_000 + number,
                status = NodeStatus.ALIVE,
                controlEndpoint = endpoint(60_001),
                peerCallEndpoint = endpoint(60_002),
                operatorEndpoint = endpoint(60_003),
                target = target,
            )
        }

        describe("a long body that is compressed") {
            val state = ConfigurationState(verdicts = List(100) { verdict(it) })
            val original = WholeState(StateTransfer(state, "hash"))
            val deflated = PeerCodec.deflate(original)
            val frame = PeerFrame(NodeId("a"), FailureDomainId("z"), deflated)

            it("is shorter, and decodes to the original body") {
                val bytes = PeerCodec.encode(frame)
                bytes.size * 4 shouldBeLessThanOrEqual PeerCodec.encode(frame.copy(body = original)).size
                PeerCodec.decodeFrame(bytes, MAX_BODY_BYTES).fold({ it.body }, { it }) shouldBe original
            }

            it("is not compressed if it is short") {
                PeerCodec.deflate(Refused(5)) shouldBe Refused(5)
            }

            // Guards against decompression bombs: a few bytes that exhaust the memory of their receiver.
            it("is rejected if it inflates beyond the size limit") {
                val bytes = PeerCodec.encode(frame)
                PeerCodec.decodeFrame(bytes, maxBodyBytes = 1_000).fold({ it }, { it }) shouldBe
                    PeerError.TooLong(1_001)
            }

            it("is rejected if its bytes are corrupt or truncated") {
                val bytes = (deflated as Deflated).bytes
                listOf(bytes.copyOf(bytes.size / 2), ByteArray(40) { 7 }).forEach {
                    val corrupt = PeerCodec.encode(frame.copy(body = Deflated(it)))
                    PeerCodec.decodeFrame(corrupt, MAX_BODY_BYTES).fold({ "taken" }, { it::class }) shouldBe
                        PeerError.Garbage::class
                }
            }
        }

        // Guards against IP fragmentation: a datagram is lost as a whole if one fragment is lost.
        it("keeps every datagram within 1,200 bytes, even while nodes reconcile 13 full domains") {
            val random = SplittableRandom(7)
            val left = membership(recordOf(0, 0), MembershipSettings(), random.split())
            val right = membership(recordOf(1, 0), MembershipSettings(), random.split())
            val hash = "0123456789abcdef0123456789abcdef"
            val position = Position(Long.MAX_VALUE, Long.MAX_VALUE, hash, era = Long.MAX_VALUE)
            val alert = MoveAlert(MoveId("vitrina-7-to-8"), 4, NodeId("node-0-0-4f2a9c"), "x".repeat(60))
            val nodes = (0 until 13).flatMap { domain -> (1..20).map { recordOf(domain, it) } }
            nodes.forEach { record ->
                val other = membership(record, MembershipSettings(), random.split())
                left.receive(other.gossipMessage(), 0)
            }
            var largest = 0

            fun size(outgoing: OutgoingMessage): OutgoingMessage {
                val bytes = PeerCodec.encode(PeerDatagram(outgoing.message, position, listOf(alert))).size
                largest = maxOf(largest, bytes)
                return outgoing
            }
            var toLeft = right.join(listOf(recordOf(0, 0).controlEndpoint), 0).map(::size)
            for (round in 1..60) {
                val toRight = toLeft.flatMap { left.receive(it.message, round * 1_000L) }.map(::size)
                toLeft = toRight.flatMap { right.receive(it.message, round * 1_000L) }.map(::size)
                left.tick(round * 1_000L).forEach(::size)
                if (toLeft.isEmpty()) toLeft = right.tick(round * 1_000L).map(::size)
            }
            right.view.nodes.size shouldBeGreaterThan 200
            largest shouldBeLessThanOrEqual 1_200
        }

        // Guards against arbitrary bytes from the network that terminate a thread.
        it("throws no exception for malformed input") {
            val random = SplittableRandom(3)
            val valid = PeerCodec.encode(PeerFrame(NodeId("a"), FailureDomainId("b"), Pull(7)))
            repeat(20_000) {
                val bytes = valid.copyOf(1 + random.nextInt(valid.size + 8))
                repeat(1 + random.nextInt(4)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                PeerCodec.decodeFrame(bytes, MAX_BODY_BYTES).fold({ }, { })
                PeerCodec.decodeDatagram(bytes).fold({ }, { })
            }
        }

        it("counts malformed input on UDP and TCP and keeps working") {
            TestFleet().use { fleet ->
                fleet.reserve("a-1", "a-2")
                fleet.startAll()
                val node = fleet.nodes.getValue(NodeId("a-1"))
                val port = node.record.controlEndpoint.port
                val garbage = ByteArray(300) { it.toByte() }
                val address = InetAddress.getByName(TestFleet.HOST)
                DatagramSocket().use { it.send(DatagramPacket(garbage, garbage.size, address, port)) }
                Socket(address, port).use { socket ->
                    DataOutputStream(socket.getOutputStream()).apply { writeInt(garbage.size) }.write(garbage)
                    socket.getInputStream().read() shouldBe -1
                }
                eventually(5.seconds) { node.count("baobabhollow_control_ignored", "garbage") shouldBe 2.0 }
                fleet.publish(0)
                fleet.awaitAll { it.plane.state.version == 1L }
            }
        }
    })
