package dev.baobabhollow.standins

import dev.baobabhollow.model.Endpoint
import io.netty.channel.Channel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Test double of the platform log: an HTTP server with in-memory streams and injectable faults. Its event loop owns all
 * state.
 */
class StandInLog(
    private val options: StandInLogOptions = StandInLogOptions(),
    private val nowMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val streams = LogStreams(options.maxBytes)
    private val readers = WaitingReads()
    private val bucket = TokenBucket()
    private val random = Random(options.seed)
    private val stats = HashMap<String, LogStats>()
    private var faults = options.faults
    private val server = StandInServer("stand-in-log", options.host, options.port, ::initialize)

    /** Address that the log listens on. */
    val endpoint: Endpoint = server.endpoint

    /** Blocks until [close]. */
    fun awaitClose() = server.awaitClose()

    override fun close() = server.close()

    private fun initialize(channel: Channel) {
        channel.pipeline().addLast(HttpServerCodec(), HttpObjectAggregator(MAX_REQUEST_BYTES), LogHttpHandler(::handle))
    }

    private fun handle(exchange: LogExchange) {
        streams.expire(nowMillis() - faults.retentionMillis)
        val stream = STREAM_PATH.matchEntire(exchange.path)?.groupValues?.get(1)
        when {
            stream != null -> handleStream(stream, exchange)
            exchange.path == "/faults" && exchange.method == HttpMethod.POST -> changeFaults(exchange)
            exchange.path == "/trim" && exchange.method == HttpMethod.POST -> trim(exchange)
            exchange.path == "/stats" -> exchange.respond(jsonResponse(HttpResponseStatus.OK, report()))
            else -> exchange.respond(errorResponse(HttpResponseStatus.NOT_FOUND, "no such path: ${exchange.path}"))
        }
    }

    private fun handleStream(
        stream: String,
        exchange: LogExchange,
    ) {
        count(stream, LogStats(bytesIn = exchange.body.length.toLong()))
        val action: () -> Unit =
            when (exchange.method) {
                HttpMethod.POST -> parseRecords(exchange.body).let { { append(stream, it, exchange) } }
                HttpMethod.GET -> { -> read(stream, exchange) }
                else -> throw IllegalArgumentException("no such method: ${exchange.method}")
            }
        when {
            faults.hang -> Unit
            faults.outage -> exchange.respond(errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "outage"))
            else -> afterDelay(exchange, action)
        }
    }

    private fun append(
        stream: String,
        records: List<String>,
        exchange: LogExchange,
    ) {
        if (shouldLose(faults.loseRequests, faults.loseRequestsPermille)) {
            faults = faults.copy(loseRequests = (faults.loseRequests - 1).coerceAtLeast(0))
            exchange.channel.close()
            return
        }
        val waitMillis = bucket.take(faults.appendsPerSecond)
        if (waitMillis > 0) return refuse(stream, waitMillis, exchange)
        if (!streams.hasRoomFor(stream, records)) {
            return exchange.respond(errorResponse(HttpResponseStatus.SERVICE_UNAVAILABLE, "the log is full"))
        }
        val (firstOffset, appendedAtMillis) = streams.append(stream, records, nowMillis())
        count(stream, LogStats(appends = 1, appendedRecords = records.size.toLong()))
        readers.waitingFor(stream).forEach { reader -> reader.wake() }
        if (shouldLose(faults.loseAnswers, faults.loseAnswersPermille)) {
            faults = faults.copy(loseAnswers = (faults.loseAnswers - 1).coerceAtLeast(0))
            exchange.channel.close()
            return
        }
        val offsets = (firstOffset until firstOffset + records.size).joinToString(",")
        val body = """{"offsets":[$offsets],"appendedAtMillis":$appendedAtMillis}"""
        afterDelay(exchange) { send(stream, exchange, jsonResponse(HttpResponseStatus.OK, body)) }
    }

    private fun refuse(
        stream: String,
        waitMillis: Long,
        exchange: LogExchange,
    ) {
        count(stream, LogStats(refusedAppends = 1))
        val response = errorResponse(HttpResponseStatus.TOO_MANY_REQUESTS, "append rate limit")
        response.headers().set("retry-after-ms", waitMillis)
        exchange.respond(response)
    }

    private fun read(
        stream: String,
        exchange: LogExchange,
    ) {
        val afterOffset = exchange.number("after", -1)
        val maxRecords = exchange.number("max", DEFAULT_READ_RECORDS).coerceIn(1, MAX_READ_RECORDS).toInt()
        val result = streams.read(stream, afterOffset, maxRecords)
        if (result == null) {
            val body = """{"earliestOffset":${streams.earliestOffset(stream)}}"""
            return afterDelay(exchange) { send(stream, exchange, jsonResponse(HttpResponseStatus.GONE, body)) }
        }
        val waitMillis = exchange.number("waitMillis", 0).coerceIn(0, MAX_WAIT_MILLIS)
        if (result.records.isEmpty() && waitMillis > 0) {
            val isAdded =
                readers.add(
                    stream,
                    exchange,
                    waitMillis,
                ) { respondToRead(stream, afterOffset, maxRecords, it) }
            if (isAdded) return
        }
        afterDelay(exchange) { respondToRead(stream, afterOffset, maxRecords, exchange) }
    }

    private fun respondToRead(
        stream: String,
        afterOffset: Long,
        maxRecords: Int,
        exchange: LogExchange,
    ) {
        val result = streams.read(stream, afterOffset, maxRecords)
        if (result == null) {
            val body = """{"earliestOffset":${streams.earliestOffset(stream)}}"""
            return send(stream, exchange, jsonResponse(HttpResponseStatus.GONE, body))
        }
        count(stream, LogStats(reads = 1, readRecords = result.records.size.toLong()))
        send(stream, exchange, jsonResponse(HttpResponseStatus.OK, result.toJson(faults.retentionMillis)))
    }

    private fun send(
        stream: String,
        exchange: LogExchange,
        response: FullHttpResponse,
    ) {
        count(stream, LogStats(bytesOut = response.content().readableBytes().toLong()))
        when {
            faults.cutAnswers > 0 -> {
                faults = faults.copy(cutAnswers = faults.cutAnswers - 1)
                exchange.respondTruncated(response)
            }

            faults.corruptAnswers > 0 -> {
                faults = faults.copy(corruptAnswers = faults.corruptAnswers - 1)
                response.release()
                exchange.respond(jsonResponse(HttpResponseStatus.OK, "<html>"))
            }

            else -> {
                exchange.respond(response)
            }
        }
    }

    private fun shouldLose(
        count: Int,
        permille: Int,
    ) = count > 0 || (permille > 0 && random.nextInt(PERMILLE) < permille)

    private fun changeFaults(exchange: LogExchange) {
        faults = mergeFields(LogFaults.serializer(), faults, exchange.body)
        streams.expire(nowMillis() - faults.retentionMillis)
        val body = StandInJson.encodeToString(LogFaults.serializer(), faults)
        exchange.respond(jsonResponse(HttpResponseStatus.OK, body))
    }

    private fun trim(exchange: LogExchange) {
        val request = Json.decodeFromString(TrimRequest.serializer(), exchange.body)
        streams.trim(request.stream, request.beforeOffset)
        exchange.respond(jsonResponse(HttpResponseStatus.OK, "{}"))
    }

    private fun report(): String {
        val total = stats.values.fold(LogStats(), LogStats::plus)
        val report = LogStatsReport(total, stats, streams.keptBytes, readers.size)
        return StandInJson.encodeToString(LogStatsReport.serializer(), report)
    }

    private fun count(
        stream: String,
        change: LogStats,
    ) {
        if (stream in stats || stats.size < MAX_COUNTED_STREAMS) stats.merge(stream, change, LogStats::plus)
    }

    // Applied twice per request: before it takes effect and before the response.
    private fun afterDelay(
        exchange: LogExchange,
        action: () -> Unit,
    ) {
        val millis = faults.slowMillis / 2
        if (millis <= 0) return action()
        exchange.channel.eventLoop().schedule(action, millis, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val STREAM_PATH = Regex("/streams/([A-Za-z0-9._-]+)/records")
        const val MAX_REQUEST_BYTES = 4 * 1024 * 1024
        const val MAX_COUNTED_STREAMS = 4_096
        const val DEFAULT_READ_RECORDS = 1_000L
        const val MAX_READ_RECORDS = 10_000L
        const val MAX_WAIT_MILLIS = 60_000L
        const val PERMILLE = 1_000

        fun parseRecords(body: String): List<String> {
            val records = Json.parseToJsonElement(body).jsonObject["records"]?.jsonArray
            require(!records.isNullOrEmpty()) { "no records" }
            return records.map { it.jsonObject.toString() }
        }
    }
}
