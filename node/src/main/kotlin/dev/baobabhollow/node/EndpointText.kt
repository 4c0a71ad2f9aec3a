package dev.baobabhollow.node

import dev.baobabhollow.model.Endpoint
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.PrimitiveSerialDescriptor
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.encoding.Decoder
import kotlinx.serialization.encoding.Encoder

/** An endpoint that is written as `"IP:PORT"` in settings. */
typealias EndpointText =
    @Serializable(with = EndpointTextSerializer::class)
    Endpoint

/** Serializes an endpoint as `"IP:PORT"`. */
object EndpointTextSerializer : KSerializer<Endpoint> {
    override val descriptor: SerialDescriptor = PrimitiveSerialDescriptor("EndpointText", PrimitiveKind.STRING)

    override fun deserialize(decoder: Decoder): Endpoint {
        val text = decoder.decodeString()
        return parseEndpoint(text) ?: throw SerializationException("\"$text\" is not IP:PORT")
    }

    override fun serialize(
        encoder: Encoder,
        value: Endpoint,
    ) = encoder.encodeString(value.toString())
}

private val IP_V4 = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3})""")
private const val MAX_BYTE = 255
private const val MAX_PORT = 65_535

/** Parses `IPv4:PORT`, or returns null. Host names are rejected because nodes must not depend on a name service. */
fun parseEndpoint(text: String): Endpoint? {
    val host = text.substringBeforeLast(':', "")
    val port = text.substringAfterLast(':').toIntOrNull() ?: return null
    val numbers = IP_V4.matchEntire(host)?.groupValues?.drop(1) ?: return null
    if (numbers.any { it.toInt() > MAX_BYTE } || port !in 1..MAX_PORT) return null
    return Endpoint(host, port)
}
