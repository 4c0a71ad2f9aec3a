package dev.baobabhollow.proxy

import dev.baobabhollow.calls.ColdTargetLimiter
import dev.baobabhollow.calls.RoutingTable
import io.netty.channel.EventLoop
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/**
 * Sends the health probes that [limiter] asks for, and wakes up calls that wait for it. Probes hold a slot, since they
 * take the target's time like calls. Thread-safe.
 */
internal class ColdTargetGuard(
    private val node: NodeCore,
    private val limiter: ColdTargetLimiter,
) {
    private val isTimerSet = AtomicBoolean()
    private val wasCold = AtomicBoolean()
    private val protocol = HealthProtocol(node.settings.protocol)

    val coldPerSecond: Double? get() = limiter.coldPerSecond(node.nowMillis())

    /** Applies the warm-up that [table] states for the service of the local target. */
    fun configure(table: RoutingTable) =
        limiter.configure(table.services[node.self.target?.service]?.config?.warmUp, node.nowMillis())

    fun onReport(
        bornMillis: Long?,
        leftMillis: Long?,
    ) {
        limiter.onReport(bornMillis, leftMillis, node.nowMillis())
        logChange("report", leftMillis)
    }

    /**
     * Counts a request once more that is sent [delayMicros] after it got its slot, because it waited for a connection.
     * Otherwise requests that were admitted one after the other could reach the target at once.
     */
    fun onSending(delayMicros: Long) {
        if (delayMicros > COUNTED_DELAY_MICROS) limiter.take(node.nowMillis())
    }

    /** Time in milliseconds until a call that is refused now finds capacity. */
    fun retryAfterMillis(): Long = limiter.retryAfterMillis(node.admission.waiting, node.nowMillis())

    /** Probes the target if necessary, and sets a timer for calls that wait for a cold one. Call on [loop]. */
    fun check(loop: EventLoop) {
        probe(loop)
        val now = node.nowMillis()
        if (node.admission.waiting == 0 || limiter.allows(now) || !isTimerSet.compareAndSet(false, true)) return
        val delay = limiter.waitMillis(0, now).coerceAtLeast(1)
        loop.schedule({ onTimer(loop) }, delay, TimeUnit.MILLISECONDS)
    }

    private fun onTimer(loop: EventLoop) {
        isTimerSet.set(false)
        reconsider(loop)
    }

    private fun reconsider(loop: EventLoop) {
        node.admission.reconsider(node.nowMicros(), node.nowMillis())
        check(loop)
    }

    private fun probe(loop: EventLoop) {
        if (!limiter.startProbe(node.nowMillis())) return
        val service = node.self.target?.service
        val path =
            node
                .tables()
                .services[service]
                ?.config
                ?.healthPath
        val pool = node.pools(loop).target
        if (path == null || pool == null) return onResponse(loop, null)
        if (!node.admission.tryHold()) return limiter.cancelProbe()
        val request = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, path)
        request.headers().set(HttpHeaderNames.HOST, pool.endpoint.toString())
        HealthQuery(pool, node.newCallId(), protocol, { releaseSlot(loop) }) { onResponse(loop, it) }
            .start(request, loop)
    }

    private fun releaseSlot(loop: EventLoop) {
        node.admission.releaseHold()
        reconsider(loop)
    }

    private fun onResponse(
        loop: EventLoop,
        leftMillis: Long?,
    ) {
        limiter.onProbeResponse(leftMillis, node.nowMillis())
        logChange("probe", leftMillis)
        reconsider(loop)
    }

    private fun logChange(
        cause: String,
        leftMillis: Long?,
    ) {
        val isCold = limiter.isCold(node.nowMillis())
        if (wasCold.getAndSet(isCold) != isCold) node.logWarmth(isCold, cause, leftMillis)
    }

    private companion object {
        /** Half of the time by which the limiter lets requests arrive closer together than they were admitted. */
        const val COUNTED_DELAY_MICROS = 50_000L
    }
}

/** Responses of health paths name no call and lack the headers of responses to calls. */
private class HealthProtocol(
    base: CallProtocol,
) : CallProtocol by base {
    override fun readResponseMetadata(head: HttpResponse) = ResponseMetadata(callId = null)
}

/** One request to the health path. [onResponse] gets the milliseconds that the target stays cold, or null, once. */
private class HealthQuery(
    pool: ConnectionPool,
    callId: String,
    private val protocol: CallProtocol,
    private val releaseSlot: () -> Unit,
    private val onResponse: (Long?) -> Unit,
) : ResponseListener {
    private val call = UpstreamCall(pool, callId, FailureReason.TARGET_UNREACHABLE, protocol, this)
    private var leftMillis: Long? = null
    private var isEnded = false
    private var isSlotHeld = true

    fun start(
        head: HttpRequest,
        loop: EventLoop,
    ) {
        loop.schedule({ if (!isEnded) call.cancel().also { end(null) } }, TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        call.start(head)
        call.body(LastHttpContent.EMPTY_LAST_CONTENT)
        call.flush()
    }

    override fun onResponseHead(head: HttpResponse) {
        if (head.status() == HttpResponseStatus.OK) leftMillis = protocol.readWarmUpLeft(head.headers())
    }

    override fun onResponseBody(content: HttpContent) {
        content.release()
        if (content is LastHttpContent) end(leftMillis)
    }

    override fun onResponseReadComplete() = Unit

    override fun onWritabilityChanged() = Unit

    override fun onFailure(failure: CallFailure) = end(null)

    override fun onReleased() {
        if (!isSlotHeld) return
        isSlotHeld = false
        releaseSlot()
    }

    private fun end(result: Long?) {
        if (isEnded) return
        isEnded = true
        onResponse(result)
    }

    private companion object {
        /** A probe takes 6 ms of the target's time, and some hundred if its VM is slow. */
        const val TIMEOUT_MILLIS = 500L
    }
}
