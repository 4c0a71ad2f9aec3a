package dev.baobabhollow.proxy

import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TenantId
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** Call metadata from the headers of a caller. [deadlineMillis] is in epoch milliseconds of the node's clock. */
data class CallerMetadata(
    val callId: String?,
    val deadlineMillis: Long?,
)

/** Call metadata for the headers to a target. [deadlineMillis] is in epoch milliseconds of the node's clock. */
data class TargetMetadata(
    val callId: String,
    val deadlineMillis: Long,
    val remainingMillis: Long,
    val instance: String?,
    val callerService: ServiceId?,
    val tenant: TenantId? = null,
)

/**
 * Call metadata from the head of a target's response. [callId] is null if the target does not echo one. A response that
 * is not [isWellFormed] lacks headers that every target sets and has probably been corrupted on the way.
 * [workDurationPercent] is the percentage of its usual time that work takes at the target at the moment, or null if the
 * target does not state it.
 */
data class ResponseMetadata(
    val callId: String?,
    val isNotRun: Boolean = false,
    val isMisdirected: Boolean = false,
    val isWellFormed: Boolean = true,
    val workDurationPercent: Int? = null,
)

/** Converts between the headers of callers and targets and the metadata that nodes act on. Thread-safe. */
interface CallProtocol {
    /** True if the end of a target's response may be marked by closing the connection instead of by a length. */
    val allowsCloseDelimitedResponses: Boolean

    /** True if responses to other calls that precede the expected one on a connection are skipped. */
    val skipsMismatchedResponses: Boolean

    /**
     * True if a target echoes the identifier of the call in each response to a request with [headers]. A response
     * without one then cannot be matched to the call, and its outcome is unknown.
     */
    fun isCallIdEchoed(headers: HttpHeaders): Boolean

    /** Reads the call metadata from the headers of a caller's request. */
    fun readCallerMetadata(
        headers: HttpHeaders,
        nowMillis: Long,
    ): CallerMetadata

    /** Reads the API key that the headers of a caller's request present. */
    fun readApiKey(headers: HttpHeaders): PresentedKey = bearerKey(headers.getAll(HttpHeaderNames.AUTHORIZATION))

    /**
     * Removes the API key and any tenant that a caller has stated from the headers of a request. Called only if the
     * configuration requires keys.
     */
    fun removeCredentials(headers: HttpHeaders) {
        headers.remove(HttpHeaderNames.AUTHORIZATION)
    }

    /** Replaces the mesh headers of a request by those that the target expects. */
    fun writeTargetMetadata(
        headers: HttpHeaders,
        metadata: TargetMetadata,
    )

    /** Reads the call metadata from the head of a target's response. */
    fun readResponseMetadata(head: HttpResponse): ResponseMetadata

    /** Reads the milliseconds that a target stays cold from the response of its health path; null if it does not say. */
    fun readWarmUpLeft(headers: HttpHeaders): Long? = null

    /** Adapts the status and headers of an error response that a node generates. */
    fun writeFailure(
        head: HttpResponse,
        callId: String?,
        isNotRun: Boolean,
        retryAfterMillis: Long?,
    )
}

/** The mesh's own protocol with the headers of [MeshHeaders]. */
object MeshProtocol : CallProtocol {
    override val allowsCloseDelimitedResponses = false
    override val skipsMismatchedResponses = false

    override fun isCallIdEchoed(headers: HttpHeaders) = false

    override fun readCallerMetadata(
        headers: HttpHeaders,
        nowMillis: Long,
    ) = CallerMetadata(null, headers.get(MeshHeaders.DEADLINE)?.toLongOrNull())

    override fun writeTargetMetadata(
        headers: HttpHeaders,
        metadata: TargetMetadata,
    ) {
        headers.set(MeshHeaders.CALL, metadata.callId)
        headers.set(MeshHeaders.DEADLINE, metadata.deadlineMillis)
        metadata.tenant?.let { headers.set(MeshHeaders.TENANT, it.value) }
    }

    override fun readResponseMetadata(head: HttpResponse) = ResponseMetadata(head.headers().get(MeshHeaders.CALL))

    override fun writeFailure(
        head: HttpResponse,
        callId: String?,
        isNotRun: Boolean,
        retryAfterMillis: Long?,
    ) = Unit
}
