package dev.baobabhollow.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.node.BurnDocument
import dev.baobabhollow.node.MovesDocument
import dev.baobabhollow.node.NodesDocument
import dev.baobabhollow.node.OperatorJson
import dev.baobabhollow.node.StatusDocument
import dev.baobabhollow.node.VersionsDocument
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Reason why a node's operator port returned no document. [status] is null if no response arrived. */
internal data class OperatorError(
    val endpoint: Endpoint,
    val status: Int?,
    val reason: String,
) {
    override fun toString(): String = "node at $endpoint: ${status?.let { "status $it, " }.orEmpty()}$reason"
}

/** Client for nodes' operator ports. Requests time out after [timeoutMillis] unless stated otherwise. */
internal class OperatorClient(
    private val timeoutMillis: Long = 5_000,
) {
    private val http =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofMillis(timeoutMillis))
            .build()

    fun status(node: Endpoint) = get(node, "/status", StatusDocument.serializer())

    fun versions(node: Endpoint) = get(node, "/versions", VersionsDocument.serializer())

    fun moves(node: Endpoint) = get(node, "/moves", MovesDocument.serializer())

    fun nodes(node: Endpoint) = get(node, "/nodes", NodesDocument.serializer())

    fun burn(node: Endpoint) = get(node, "/burn", BurnDocument.serializer())

    /** Waits for the verdict for as long as the node holds the request open, but at most [waitMillis]. */
    fun verdict(
        node: Endpoint,
        writer: WriterId,
        sequence: Long,
        waitMillis: Long,
    ): Result<PatchVerdict, OperatorError> =
        get(node, "/verdicts/$writer/$sequence", PatchVerdict.serializer(), waitMillis)

    /** Returns the response body of a GET request for [path]. */
    fun text(
        node: Endpoint,
        path: String,
        waitMillis: Long = timeoutMillis,
    ): Result<String, OperatorError> {
        val request =
            HttpRequest
                .newBuilder(URI("http://$node$path"))
                .timeout(Duration.ofMillis(waitMillis.coerceAtLeast(1)))
                .build()
        return try {
            val response = http.send(request, HttpResponse.BodyHandlers.ofString())
            if (response.statusCode() == OK) {
                Ok(response.body())
            } else {
                Err(OperatorError(node, response.statusCode(), response.body()))
            }
        } catch (e: IOException) {
            Err(OperatorError(node, null, "no answer: ${e.message ?: e.javaClass.simpleName}"))
        }
    }

    private fun <T> get(
        node: Endpoint,
        path: String,
        serializer: KSerializer<T>,
        waitMillis: Long = timeoutMillis,
    ): Result<T, OperatorError> {
        val body = text(node, path, waitMillis).getOrElse { return Err(it) }
        return try {
            Ok(OperatorJson.decodeFromString(serializer, body))
        } catch (e: SerializationException) {
            Err(OperatorError(node, OK, "cannot decode the response to $path: ${e.message}"))
        }
    }

    private companion object {
        const val OK = 200
    }
}
