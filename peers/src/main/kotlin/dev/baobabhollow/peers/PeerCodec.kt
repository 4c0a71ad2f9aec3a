package dev.baobabhollow.peers

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor

/** Says why the layer could not exchange a message with a peer. */
internal sealed interface PeerError {
    /** The bytes are no message of this protocol. */
    data class Garbage(
        val reason: String,
    ) : PeerError

    /** The message is longer than allowed. */
    data class TooLong(
        val bytes: Int,
    ) : PeerError

    /** The peer did not answer in time. */
    data class NoAnswer(
        val reason: String,
    ) : PeerError
}

/** Encodes datagrams and frames as CBOR. Any bytes may be decoded; no exception leaves this class. */
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

    fun decodeFrame(bytes: ByteArray): Result<PeerFrame, PeerError> = decode(PeerFrame.serializer(), bytes)

    /** The decoder reports garbage by several exception types, also by that of reading past the end. */
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
}
