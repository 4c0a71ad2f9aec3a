package dev.baobabhollow.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import java.io.ByteArrayInputStream
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.zip.Deflater
import java.util.zip.DeflaterOutputStream
import java.util.zip.Inflater
import java.util.zip.InflaterInputStream

/** Reason why the exchange of a message with a peer failed. */
internal sealed interface PeerError {
    /** The bytes can't be decoded as a message of this protocol. */
    data class Garbage(
        val reason: String,
    ) : PeerError

    /** The length of the message is out of range. A compressed one counts at most one byte past the limit. */
    data class TooLong(
        val bytes: Int,
    ) : PeerError

    /** No response was received: the request timed out, failed or was not sent. */
    data class NoAnswer(
        val reason: String,
    ) : PeerError
}

/** Encodes datagrams and frames as CBOR. Decoding accepts arbitrary bytes and throws no exceptions. */
@OptIn(ExperimentalSerializationApi::class)
internal object PeerCodec {
    private val cbor =
        Cbor {
            encodeDefaults = false
            ignoreUnknownKeys = true
            useDefiniteLengthEncoding = true
        }

    fun encode(datagram: PeerDatagram): ByteArray = cbor.encodeToByteArray(PeerDatagram.serializer(), datagram)

    fun encode(frame: PeerFrame): ByteArray = cbor.encodeToByteArray(PeerFrame.serializer(), frame)

    fun decodeDatagram(bytes: ByteArray): Result<PeerDatagram, PeerError> = decode(PeerDatagram.serializer(), bytes)

    /** Decodes a frame. A compressed body may inflate to at most [maxBodyBytes]. */
    fun decodeFrame(
        bytes: ByteArray,
        maxBodyBytes: Int,
    ): Result<PeerFrame, PeerError> =
        decode(PeerFrame.serializer(), bytes).andThen { frame ->
            val body = frame.body
            if (body is Deflated) inflate(body, maxBodyBytes).map { frame.copy(body = it) } else Ok(frame)
        }

    /** Returns [body] compressed, or [body] itself if it is short. */
    fun deflate(body: FrameBody): FrameBody {
        val bytes = cbor.encodeToByteArray(FrameBody.serializer(), body)
        if (bytes.size < MIN_DEFLATED_BYTES) return body
        val deflater = Deflater(Deflater.BEST_SPEED)
        val out = ByteArrayOutputStream(bytes.size / EXPECTED_RATIO)
        DeflaterOutputStream(out, deflater).use { it.write(bytes) }
        deflater.end()
        return Deflated(out.toByteArray())
    }

    private fun inflate(
        body: Deflated,
        maxBytes: Int,
    ): Result<FrameBody, PeerError> {
        val inflater = Inflater()
        return try {
            val bytes = InflaterInputStream(ByteArrayInputStream(body.bytes), inflater).readNBytes(maxBytes + 1)
            if (bytes.size > maxBytes) Err(PeerError.TooLong(bytes.size)) else decode(FrameBody.serializer(), bytes)
        } catch (e: IOException) {
            Err(PeerError.Garbage(e.toString()))
        } finally {
            inflater.end()
        }
    }

    /** Malformed input makes the decoder throw several exception types, for example when it reads past the end. */
    private fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): Result<T, PeerError> =
        try {
            Ok(cbor.decodeFromByteArray(serializer, bytes))
        } catch (e: SerializationException) {
            Err(PeerError.Garbage(e.message.orEmpty()))
        } catch (e: RuntimeException) {
            Err(PeerError.Garbage(e.toString()))
        } catch (e: StackOverflowError) {
            Err(PeerError.Garbage(e.toString()))
        }

    /** Shorter bodies fit into a few packets without compression. */
    private const val MIN_DEFLATED_BYTES = 4_096

    /** Initial buffer size as a fraction. Configurations repeat names and compress to about a tenth. */
    private const val EXPECTED_RATIO = 8
}
