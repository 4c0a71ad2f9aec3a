package dev.baobabhollow.proxy

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private val LOOPBACK: InetAddress = InetAddress.getByName("127.0.0.1")
private const val WAIT_SECONDS = 20L

/** Protocol of targets that may mark the end of a response by closing the connection. */
internal val CLOSE_DELIMITED =
    object : CallProtocol by MeshProtocol {
        override val allowsCloseDelimitedResponses = true
    }

/** Start line, headers and body of an HTTP message. */
internal data class Message(
    val startLine: String,
    val headers: Map<String, String>,
    val body: String,
) {
    val status: Int get() = startLine.split(' ')[1].toInt()
    val path: String get() = startLine.split(' ')[1]
    val outcome: String? get() = headers["x-baobabhollow-outcome"]
    val reason: String? get() = headers["x-baobabhollow-reason"]
}

/** Connection on which a test reads and writes HTTP byte by byte. */
internal class RawConnection(
    val socket: Socket,
) : AutoCloseable {
    private val input: InputStream = socket.getInputStream().buffered()

    init {
        socket.soTimeout = TimeUnit.SECONDS.toMillis(WAIT_SECONDS).toInt()
        socket.tcpNoDelay = true
    }

    fun send(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    fun respond(
        body: String,
        status: String = "200 OK",
        headers: String = "",
    ) = send("HTTP/1.1 $status\r\n${headers}content-length: ${body.length}\r\n\r\n$body")

    /** Reads the head and, unless [withBody] is false, the body. Returns null if the connection ends first. */
    fun read(withBody: Boolean = true): Message? {
        val startLine = readLine() ?: return null
        val headers = generateSequence { readLine()?.ifEmpty { null } }.associate(::headerOf)
        val body = if (withBody) readBody(headers) ?: return null else ""
        return Message(startLine, headers, body)
    }

    /** Reads a chunked response without keeping its body, and returns false if the connection ends first. */
    fun readAndDiscard(): Boolean {
        val head = read(withBody = false) ?: return false
        check(head.headers["transfer-encoding"] == "chunked") { "not a chunked response: $head" }
        return readChunks {}
    }

    /** Reads until the peer closes the connection and returns what was read, or "reset" after a reset. */
    fun readToEnd(): String = runCatching { String(input.readAllBytes(), Charsets.ISO_8859_1) }.getOrElse { "reset" }

    fun readBytes(count: Int): String = String(input.readNBytes(count), Charsets.ISO_8859_1)

    private fun headerOf(line: String): Pair<String, String> =
        line.substringBefore(':').lowercase() to line.substringAfter(':').trim()

    private fun readBody(headers: Map<String, String>): String? {
        if (headers["transfer-encoding"] == "chunked") return readChunks()
        val length = headers["content-length"]?.toInt() ?: 0
        return readBytes(length).takeIf { it.length == length }
    }

    private fun readChunks(): String? {
        val body = StringBuilder()
        return if (readChunks(body::append)) body.toString() else null
    }

    /** Passes each chunk to [keep] and returns true, or false if the connection ends before the last one. */
    private fun readChunks(keep: (String) -> Unit): Boolean {
        while (true) {
            val size = readLine()?.toInt(16) ?: return false
            keep(readBytes(size))
            readLine() ?: return false
            if (size == 0) return true
        }
    }

    private fun readLine(): String? {
        val line = StringBuilder()
        while (true) {
            val byte = runCatching { input.read() }.getOrElse { -1 }
            if (byte < 0) return null
            if (byte == '\n'.code) return line.toString().removeSuffix("\r")
            line.append(byte.toChar())
        }
    }

    override fun close() = socket.close()
}

/** Server that runs [script] on a thread of its own for every accepted connection. */
internal class ScriptedTarget(
    private val script: (RawConnection) -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, 200, LOOPBACK)
    private val connections = CopyOnWriteArrayList<RawConnection>()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true) {
            while (true) {
                val socket = runCatching { server.accept() }.getOrNull() ?: break
                val connection = RawConnection(socket)
                connections += connection
                thread(isDaemon = true) { runCatching { connection.use(script) } }
            }
        }
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    companion object {
        /** Responds to every request with [respond], and counts requests in [runs]. */
        fun responding(
            runs: AtomicInteger = AtomicInteger(),
            respond: RawConnection.(Message) -> Unit,
        ) = ScriptedTarget { connection ->
            while (true) {
                val request = connection.read() ?: break
                runs.incrementAndGet()
                connection.respond(request)
            }
        }

        /**
         * Responds to requests for [path] when [release] is sent, after it has sent [started], and to others at once.
         */
        fun holding(
            path: String,
            started: Signal<Unit>,
            release: Signal<Unit>,
        ) = responding { request ->
            if (request.path == path) {
                started.send(Unit)
                release.await()
            }
            respond("ok")
        }
    }
}

/** Opens a connection to [port]. */
internal fun connect(port: Int): RawConnection = RawConnection(Socket(LOOPBACK, port))

/** Sends one request on a new connection and returns its complete response, or null if the connection ended early. */
internal fun call(
    port: Int,
    path: String,
    method: String = "GET",
    headers: String = "",
    body: String = "",
): Message? = connect(port).use { it.call(path, method, headers, body) }

/** Sends one request and returns its complete response, or null if the connection ended early. */
internal fun RawConnection.call(
    path: String,
    method: String = "GET",
    headers: String = "",
    body: String = "",
): Message? {
    val length = if (body.isEmpty()) "" else "content-length: ${body.length}\r\n"
    send("$method $path HTTP/1.1\r\nhost: test\r\n$headers$length\r\n$body")
    return read()
}

/** Passes values between the threads of a test. */
internal class Signal<T : Any> {
    private val queue = LinkedBlockingQueue<T>()

    fun send(value: T) = queue.put(value)

    fun await(): T = checkNotNull(queue.poll(WAIT_SECONDS, TimeUnit.SECONDS)) { "no signal within $WAIT_SECONDS s" }
}

/** Evaluates [condition] until it is true, and fails the test after [WAIT_SECONDS]. */
internal fun awaitUntil(
    what: String,
    condition: () -> Boolean,
) {
    val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS)
    while (!condition()) {
        check(System.nanoTime() < end) { "not within $WAIT_SECONDS s: $what" }
        Thread.onSpinWait()
    }
}
