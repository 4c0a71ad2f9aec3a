package dev.baobabhollow.platformlog

import dev.baobabhollow.model.ClaimsRecord
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.KeyClaim
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.standins.StandInLog
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.concurrent.thread

internal val HTTP: HttpClient = HttpClient.newHttpClient()

internal fun StandInLog.post(
    path: String,
    body: String,
): String {
    val request =
        HttpRequest.newBuilder(URI("http://$endpoint$path")).POST(HttpRequest.BodyPublishers.ofString(body)).build()
    return HTTP.send(request, HttpResponse.BodyHandlers.ofString()).body()
}

internal fun record(sequence: Long) =
    LogRecord(WriterId("w"), sequence, ClaimsRecord(listOf(KeyClaim("key-$sequence", "c", 0))))

/**
 * Responds to the n-th request of a connection with the bytes of the n-th of [responses], and closes it after the last.
 */
internal class ScriptedServer(
    private vararg val responses: String,
) : AutoCloseable {
    private val socket = ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"))
    val endpoint = Endpoint("127.0.0.1", socket.localPort)

    init {
        thread(isDaemon = true) { runCatching { while (true) serve(socket.accept()) } }
    }

    private fun serve(connection: Socket) =
        connection.use {
            val input = it.getInputStream().bufferedReader()
            for (response in responses) {
                while (input.readLine()?.isNotEmpty() ?: return@use) Unit
                it.getOutputStream().write(response.toByteArray())
            }
        }

    override fun close() = socket.close()
}
