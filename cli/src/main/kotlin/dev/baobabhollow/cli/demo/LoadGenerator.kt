package dev.baobabhollow.cli.demo

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.node.OperatorJson
import dev.baobabhollow.standins.TargetResponse
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.ThreadFactory
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random

/** Result of a call as its caller observed it. */
internal enum class CallResult {
    /** The complete response to this call arrived. */
    SERVED,

    /** The target itself responded with an error. */
    TARGET_ERROR,

    /** A node refused the call as not run. */
    NOT_RUN,

    /** A node reported that the call may or may not have run. */
    UNKNOWN,

    /** The response belongs to another call or is corrupt. */
    WRONG,

    /** No complete response arrived. */
    MISSING,
}

/** A finished call. [release] is that of the target that responded, if known. */
internal data class CallRecord(
    val id: String,
    val route: LoadRoute,
    val sentAtMillis: Long,
    val micros: Long,
    val result: CallResult,
    val release: String?,
    val detail: String = "",
)

/**
 * Open-loop load generator: sends calls at a fixed rate, whether or not earlier ones have ended, to [entries] in
 * round-robin order, and checks that each response belongs to its request. Targets count executions by request
 * identifier, so each generator needs an [idPrefix] of its own.
 */
internal class LoadGenerator(
    entries: List<Endpoint>,
    private val routes: List<LoadRoute>,
    private val callsPerSecond: Int,
    private val idPrefix: String = "demo",
) {
    private val threads =
        Executors.newFixedThreadPool(2, ThreadFactory { Thread(it, "load-answers").apply { isDaemon = true } })
    private val http =
        HttpClient
            .newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .executor(threads)
            .connectTimeout(TIMEOUT)
            .build()
    private val random = Random(SEED)
    private val done = ConcurrentLinkedQueue<CallRecord>()
    private val inFlight = AtomicInteger()
    private val sender = Thread({ send() }, "load").apply { isDaemon = true }

    @Volatile
    private var running = true

    /** Callers' ports of the entry nodes, called in round-robin order. */
    @Volatile
    var entries: List<Endpoint> = entries

    /** Calls that have ended so far. */
    val records: List<CallRecord> get() = done.toList()

    fun start() = sender.start()

    /** Stops sending and waits for the calls in flight. */
    fun stop() {
        running = false
        sender.join()
        val deadline = System.nanoTime() + TIMEOUT.toNanos()
        while (inFlight.get() > 0 && System.nanoTime() < deadline) LockSupport.parkNanos(WAIT_NANOS)
        threads.shutdownNow()
    }

    private fun send() {
        val start = System.nanoTime()
        var number = 0L
        while (running) {
            val dueNanos = start + number * TimeUnit.SECONDS.toNanos(1) / callsPerSecond
            val waitNanos = dueNanos - System.nanoTime()
            if (waitNanos > 0) {
                LockSupport.parkNanos(waitNanos)
                continue
            }
            call(number++)
        }
    }

    private fun call(number: Long) {
        val id = "$idPrefix-$number"
        val route = drawRoute()
        val current = entries
        val builder =
            HttpRequest
                .newBuilder(URI("http://${current[(number % current.size).toInt()]}${route.path}"))
                .timeout(TIMEOUT)
                .header("x-request-id", id)
        val sentAtMillis = System.currentTimeMillis()
        if (route.isAtMostOnce) builder.POST(HttpRequest.BodyPublishers.ofString("body of $id"))
        if (route.hasKey) builder.header("idempotency-key", "${sentAtMillis + KEY_MILLIS}-$id")
        val startNanos = System.nanoTime()
        inFlight.incrementAndGet()
        http.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString()).whenComplete { response, failure ->
            val micros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - startNanos)
            val (result, release, detail) = if (response == null) missing(failure) else classify(id, route, response)
            done += CallRecord(id, route, sentAtMillis, micros, result, release, detail)
            inFlight.decrementAndGet()
        }
    }

    private fun missing(failure: Throwable) = Triple(CallResult.MISSING, null, failure.toString())

    private fun classify(
        id: String,
        route: LoadRoute,
        response: HttpResponse<String>,
    ): Triple<CallResult, String?, String> {
        val release = response.headers().firstValue("x-baobabhollow-release").orElse(null)
        val reason = response.headers().firstValue("x-baobabhollow-reason").orElse("")
        val outcome = response.headers().firstValue("x-baobabhollow-outcome").orElse(null)
        return when {
            outcome == "not-run" -> {
                Triple(CallResult.NOT_RUN, release, "${response.statusCode()} $reason")
            }

            outcome != null -> {
                Triple(CallResult.UNKNOWN, release, "${response.statusCode()} $reason")
            }

            response.statusCode() >= SERVER_ERROR -> {
                Triple(CallResult.TARGET_ERROR, release, "${response.statusCode()}")
            }

            isOwn(id, route, response.body()) -> {
                Triple(CallResult.SERVED, release, "")
            }

            else -> {
                Triple(CallResult.WRONG, release, "${response.statusCode()} ${response.body().take(SHOWN)}")
            }
        }
    }

    private fun isOwn(
        id: String,
        route: LoadRoute,
        body: String,
    ): Boolean {
        val response = runCatching { OperatorJson.decodeFromString<TargetResponse>(body) }.getOrNull() ?: return false
        return response.requestId == id && response.service == route.service && response.path == route.path
    }

    private fun drawRoute(): LoadRoute {
        var draw = random.nextInt(routes.sumOf { it.percent })
        return routes.first { route ->
            draw -= route.percent
            draw < 0
        }
    }

    private companion object {
        const val SEED = 7

        /** Validity period of idempotency keys. */
        const val KEY_MILLIS = 60_000L
        const val SERVER_ERROR = 500
        const val SHOWN = 120
        const val WAIT_NANOS = 5_000_000L

        /** Longer than the routes' timeout, so that a node reports a timed-out call before the caller gives up. */
        val TIMEOUT: Duration = Duration.ofSeconds(10)
    }
}
