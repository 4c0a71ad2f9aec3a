package dev.baobabhollow.standins

import dev.baobabhollow.model.Endpoint
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import java.io.IOException
import java.net.Socket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private val HTTP = HttpClient.newHttpClient()

private fun Endpoint.send(
    path: String,
    body: ByteArray = ByteArray(0),
    vararg headers: String,
): CompletableFuture<HttpResponse<String>> {
    val request = HttpRequest.newBuilder(URI("http://$this$path")).version(HttpClient.Version.HTTP_1_1)
    if (headers.isNotEmpty()) request.headers(*headers)
    val post = request.POST(HttpRequest.BodyPublishers.ofByteArray(body)).build()
    return HTTP.sendAsync(post, HttpResponse.BodyHandlers.ofString())
}

private fun CompletableFuture<HttpResponse<String>>.await() = get(10, TimeUnit.SECONDS)

private fun Endpoint.stats() = StandInJson.decodeFromString<TargetStats>(send("/stats").await().body())

/** Polls the statistics until [isReached]. The event loop that owns the counts sends each response. */
private fun Endpoint.statsWhen(isReached: (TargetStats) -> Boolean): TargetStats {
    val endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10)
    return generateSequence { stats() }.first { isReached(it) || System.nanoTime() > endNanos }
}

class StandInTargetSpec :
    DescribeSpec({
        fun withTarget(
            options: StandInTargetOptions = StandInTargetOptions(serviceMillis = 0.0),
            test: (Endpoint) -> Unit,
        ) = StandInTarget(options).use { test(it.endpoint) }

        describe("a stand-in target") {
            it("reports length and hash of an upload and counts executions by request and key") {
                withTarget { target ->
                    val upload = ByteArray(3_000_000) { (it % 251).toByte() }
                    val hash = HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(upload))
                    val response = target.send("/lots", upload, "x-request-id", "r", "idempotency-key", "k").await()
                    val body = StandInJson.decodeFromString<TargetResponse>(response.body())
                    (body.bodyBytes to body.bodySha256) shouldBe (3_000_000L to hash)
                    target.send("/lots", upload, "x-request-id", "r2", "idempotency-key", "k").await()
                    target.stats().executionsByRequestId shouldBe mapOf("r" to 1, "r2" to 1)
                    target.stats().executionsByKey shouldBe mapOf("k" to 2)
                }
            }

            it("executes no more calls than slots, queues some and sheds the rest") {
                withTarget(StandInTargetOptions(slots = 2, queue = 3, serviceMillis = 100.0)) { target ->
                    val statuses = (1..10).map { target.send("/c") }.map { it.await().statusCode() }
                    val stats = target.stats()
                    stats.peakExecuting shouldBeLessThanOrEqualTo 2
                    (stats.executions to stats.shed) shouldBe
                        (statuses.count { it == 200 }.toLong() to statuses.count { it == 503 }.toLong())
                }
            }

            it("does not execute a call whose deadline has passed") {
                withTarget { target ->
                    target.send("/c", ByteArray(0), "x-baobabhollow-deadline", "1").await().statusCode() shouldBe 504
                    (target.stats().executions to target.stats().pastDeadline) shouldBe (0L to 1L)
                }
            }

            // Guards against a cancelled call that never releases its slot.
            it("frees the slot of a call whose caller closes the connection") {
                withTarget(StandInTargetOptions(slots = 1, queue = 0, serviceMillis = 60_000.0)) { target ->
                    val connection = Socket(target.host, target.port)
                    connection.getOutputStream().write("GET /c HTTP/1.1\r\n\r\n".toByteArray())
                    target.statsWhen { it.executions == 1L }.executions shouldBe 1
                    connection.close()
                    target.statsWhen { it.cancelled == 1L }.cancelled shouldBe 1
                    target.send("/faults", """{"freeze":false}""".toByteArray()).await()
                    target
                        .send("/c", ByteArray(0), "x-baobabhollow-deadline", "${System.currentTimeMillis() + 100}")
                        .await()
                        .statusCode() shouldBe 504
                }
            }

            it("fails on one path prefix and above a number of concurrent calls") {
                withTarget { target ->
                    target.send("/faults", """{"errorPermille":1000,"pathPrefix":"/bad"}""".toByteArray()).await()
                    target.send("/bad/1").await().statusCode() shouldBe 500
                    target.send("/good").await().statusCode() shouldBe 200
                    target.send("/faults", """{"pathPrefix":"","errorAboveConcurrent":1}""".toByteArray()).await()
                    target.send("/good").await().statusCode() shouldBe 200
                }
            }

            // Guards against an injected fault that the client under test mistakes for a complete response.
            it("truncates responses, with a length and chunked, and closes connections without a response") {
                withTarget { target ->
                    target.send("/faults", """{"truncatePermille":1000}""".toByteArray()).await()
                    listOf("/c", "/c?chunked=true").forEach { path ->
                        val failure = runCatching { target.send(path).await() }.exceptionOrNull()
                        (failure?.cause is IOException) shouldBe true
                    }
                    target.send("/faults", """{"truncatePermille":0,"closePermille":1000}""".toByteArray()).await()
                    target.send("/c").handle { _, failure -> failure != null }.get(10, TimeUnit.SECONDS) shouldBe true
                }
            }

            it("sends no responses while frozen and all of them afterwards") {
                withTarget { target ->
                    target.send("/faults", """{"freeze":true}""".toByteArray()).await()
                    val call = target.send("/c")
                    val health = target.send("/health")
                    target.send("/faults", """{"errorStatus":501}""".toByteArray()).await()
                    (call.isDone || health.isDone) shouldBe false
                    target.send("/faults", """{"freeze":false}""".toByteArray()).await()
                    (call.await().statusCode() to health.await().statusCode()) shouldBe (200 to 200)
                }
            }

            it("drains, and reports health and load that faults can override") {
                withTarget { target ->
                    target.send("/faults", """{"healthSays":"ok","loadSays":7}""".toByteArray()).await()
                    target.send("/drain").await()
                    target.send("/c").await().statusCode() shouldBe 503
                    target.send("/health").await().statusCode() shouldBe 200
                    StandInJson.decodeFromString<LoadReport>(target.send("/load").await().body()).executing shouldBe 7
                    target.send("/faults", """{"healthSays":null}""".toByteArray()).await()
                    target.send("/health").await().statusCode() shouldBe 503
                }
            }

            // Guards against a process that crashes on malformed input.
            it("survives malformed input and rejects unknown faults") {
                withTarget { target ->
                    Socket(target.host, target.port).use { it.getOutputStream().write(ByteArray(10_000) { 0 }) }
                    target.send("/faults", "{\"nonsense\":1}".toByteArray()).await().statusCode() shouldBe 400
                    target.send("/faults", "][".toByteArray()).await().statusCode() shouldBe 400
                    target.send("/c").await().statusCode() shouldBe 200
                }
            }
        }

        describe("a stand-in log") {
            it("survives malformed input and rejects unknown requests") {
                StandInLog().use { log ->
                    Socket(log.endpoint.host, log.endpoint.port).use { it.getOutputStream().write(ByteArray(10_000)) }
                    log.endpoint
                        .send("/faults", "][".toByteArray())
                        .await()
                        .statusCode() shouldBe 400
                    log.endpoint
                        .send("/streams/a/records", "{}".toByteArray())
                        .await()
                        .statusCode() shouldBe 400
                    log.endpoint
                        .send("/nowhere")
                        .await()
                        .statusCode() shouldBe 404
                }
            }

            // Guards against benchmarks with an append rate other than the platform's.
            it("admits no more appends than its rate and burst allow") {
                val bucket = TokenBucket()
                val start = System.nanoTime()
                val admitted = (0 until 100_000).count { bucket.take(300, start + it * 10_000L) == 0L }
                admitted shouldBeLessThanOrEqualTo 331
            }
        }
    })
