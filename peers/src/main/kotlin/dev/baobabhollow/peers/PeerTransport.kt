package dev.baobabhollow.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import dev.baobabhollow.model.Endpoint
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ASocket
import io.ktor.network.sockets.BoundDatagramSocket
import io.ktor.network.sockets.Datagram
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.SocketAddress
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.awaitClosed
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import org.apache.logging.log4j.LogManager
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Handles messages from peers. Called on threads of the transport. */
internal interface PeerHandler {
    fun onDatagram(datagram: PeerDatagram)

    fun onQuotaMessage(
        message: QuotaMessage,
        from: Endpoint,
    )

    /** Must call [reply] at most once; a request without a reply times out. */
    fun onRequest(
        frame: PeerFrame,
        reply: (PeerFrame) -> Unit,
    )
}

/** Exchanges UDP datagrams and TCP frames with other nodes on one port. A connection carries one request. */
internal class PeerTransport(
    private val endpoint: Endpoint,
    private val settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
    private val handler: PeerHandler,
) : AutoCloseable {
    private class Outgoing(
        val to: Endpoint,
        val bytes: ByteArray,
    )

    private val threads =
        Executors.newFixedThreadPool(THREADS) { task ->
            Thread(task, "peer-io-${endpoint.port}").apply { isDaemon = true }
        }
    private val dispatcher = threads.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(dispatcher)
    private val outgoing = Channel<Outgoing>(settings.ringCapacity)
    private val sockets = mutableListOf<ASocket>()
    private val incomingSlots = Semaphore(settings.maxConnections)
    private val pendingRequests = Semaphore(settings.maxPendingRequests)
    private val outgoingSlots = Semaphore(settings.maxConnections)

    /** Binds both sockets. Throws if the port is in use. */
    fun start() {
        val address = InetSocketAddress(endpoint.host, endpoint.port)
        val udp = runBlocking(dispatcher) { aSocket(selector).udp().bind(address) }.also(sockets::add)
        val tcp = runBlocking(dispatcher) { aSocket(selector).tcp().bind(address) }.also(sockets::add)
        scope.launch { receiveDatagrams(udp) }
        scope.launch { sendDatagrams(udp) }
        scope.launch { acceptConnections(tcp) }
    }

    fun send(
        to: Endpoint,
        bytes: ByteArray,
    ) {
        if (outgoing.trySend(Outgoing(to, bytes)).isFailure) metrics.countFullRing("datagrams")
    }

    /** Sends [frame] to the node at [to] and calls [onResponse] once, on a thread of the transport. */
    fun request(
        to: Endpoint,
        frame: PeerFrame,
        onResponse: (Result<PeerFrame, PeerError>) -> Unit,
    ) {
        if (!pendingRequests.tryAcquire()) {
            metrics.countFullRing("requests")
            return onResponse(Err(PeerError.NoAnswer("too many requests")))
        }
        scope.launch {
            val response = outgoingSlots.withPermit { exchange(to, frame) }
            pendingRequests.release()
            onResponse(response)
        }
    }

    /** Returns after the port has been released, so that a restarted node can bind it. */
    override fun close() {
        scope.cancel()
        runBlocking {
            withTimeoutOrNull(CLOSE_MILLIS) {
                sockets.forEach {
                    it.close()
                    it.awaitClosed()
                }
            }
        }
        selector.close()
        threads.shutdown()
        if (!threads.awaitTermination(CLOSE_MILLIS, TimeUnit.MILLISECONDS)) threads.shutdownNow()
    }

    private suspend fun receiveDatagrams(socket: BoundDatagramSocket) =
        repeatUntilCancelled {
            val datagram = socket.receive()
            val bytes = datagram.packet.readByteArray()
            metrics.countReceived(UDP, bytes.size)
            if (QuotaCodec.isQuotaMessage(bytes)) return@repeatUntilCancelled receiveQuota(bytes, datagram.address)
            if (bytes.size > settings.maxDatagramBytes) return@repeatUntilCancelled metrics.countIgnored("too long")
            PeerCodec.decodeDatagram(bytes).fold(handler::onDatagram) { metrics.countIgnored("garbage") }
        }

    private fun receiveQuota(
        bytes: ByteArray,
        address: SocketAddress,
    ) {
        val message = QuotaCodec.decode(bytes)
        val from = (address as? InetSocketAddress)?.let(::endpointOf)
        if (message == null || from == null) return metrics.countIgnored("garbage")
        handler.onQuotaMessage(message, from)
    }

    /** Reads the bytes of the address, because its host name would be looked up. */
    private fun endpointOf(address: InetSocketAddress): Endpoint? {
        val bytes = address.resolveAddress() ?: return null
        return Endpoint(bytes.joinToString(".") { it.toUByte().toString() }, address.port)
    }

    private suspend fun sendDatagrams(socket: BoundDatagramSocket) =
        repeatUntilCancelled {
            val next = outgoing.receive()
            val packet = Buffer().apply { write(next.bytes) }
            socket.send(Datagram(packet, InetSocketAddress(next.to.host, next.to.port)))
            metrics.countSent(UDP, next.bytes.size)
        }

    private suspend fun acceptConnections(server: ServerSocket) =
        repeatUntilCancelled {
            val socket = server.accept()
            if (!incomingSlots.tryAcquire()) {
                metrics.countIgnored("too many connections")
                return@repeatUntilCancelled socket.close()
            }
            scope.launch {
                try {
                    withTimeoutOrNull(settings.requestTimeoutMillis) { serve(socket) }
                        ?: metrics.countIgnored("timeout")
                } catch (e: CancellationException) {
                    throw e
                } catch (e: Exception) {
                    metrics.countIgnored("connection failed")
                    LOG.debug("connection failed", e)
                } finally {
                    incomingSlots.release()
                    socket.close()
                }
            }
        }

    private suspend fun serve(socket: Socket) {
        val read = readFrame(socket.openReadChannel())
        val request = read.fold({ it }) { return metrics.countIgnored("garbage") }
        val response = CompletableDeferred<PeerFrame>()
        handler.onRequest(request) { response.complete(it) }
        writeFrame(socket.openWriteChannel(), response.await())
    }

    private suspend fun exchange(
        to: Endpoint,
        frame: PeerFrame,
    ): Result<PeerFrame, PeerError> =
        try {
            withTimeoutOrNull(settings.requestTimeoutMillis) {
                aSocket(selector).tcp().connect(to.host, to.port).use { socket ->
                    writeFrame(socket.openWriteChannel(), frame)
                    readFrame(socket.openReadChannel())
                }
            } ?: Err(PeerError.NoAnswer("timeout"))
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            Err(PeerError.NoAnswer(e.toString()))
        }

    private suspend fun readFrame(channel: ByteReadChannel): Result<PeerFrame, PeerError> {
        val size = channel.readInt()
        if (size !in 1..settings.maxFrameBytes) return Err(PeerError.TooLong(size))
        val bytes = channel.readByteArray(size)
        metrics.countReceived(TCP, bytes.size + Int.SIZE_BYTES)
        return PeerCodec.decodeFrame(bytes, settings.maxFrameBytes)
    }

    private suspend fun writeFrame(
        channel: ByteWriteChannel,
        frame: PeerFrame,
    ) {
        val bytes = PeerCodec.encode(frame)
        channel.writeInt(bytes.size)
        channel.writeByteArray(bytes)
        channel.flush()
        metrics.countSent(TCP, bytes.size + Int.SIZE_BYTES)
    }

    private suspend fun repeatUntilCancelled(step: suspend () -> Unit) {
        while (scope.isActive) {
            try {
                step()
            } catch (e: CancellationException) {
                throw e
            } catch (e: Exception) {
                metrics.countIgnored("socket error")
                LOG.debug("socket error", e)
                delay(ERROR_PAUSE_MILLIS)
            }
        }
    }

    private companion object {
        /** One thread waits in the selector, the other runs everything else. */
        const val THREADS = 2
        const val CLOSE_MILLIS = 1_000L
        const val ERROR_PAUSE_MILLIS = 10L
        const val UDP = "udp"
        const val TCP = "tcp"
        val LOG = LogManager.getLogger(PeerTransport::class.java)
    }
}
