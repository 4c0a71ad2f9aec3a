package dev.baobabhollow.proxy

import dev.baobabhollow.model.ServiceId
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse

/** Says what a caller tells about its call. [deadlineMillis] is in epoch milliseconds of the node's clock. */
data class CallerMetadata(
    val callId: String?,
    val deadlineMillis: Long?,
)

/** Says what a target is told beside the request itself. [deadlineMillis] is in epoch milliseconds of the node's clock. */
data class TargetMetadata(
    val callId: String,
    val deadlineMillis: Long,
    val remainingMillis: Long,
    val instance: String?,
    val callerService: ServiceId?,
)

/**
 * Says what the head of an answer tells about the call. [callId] is null if the target does not echo one. An answer that
 * is not [isWellFormed] lacks what every answer of a target bears, so its bytes are not what the target meant to send.
 */
data class ResponseMetadata(
    val callId: String?,
    val isNotRun: Boolean = false,
    val isMisdirected: Boolean = false,
    val isWellFormed: Boolean = true,
)

/** Translates between the headers of callers and targets and what nodes act on. Decides nothing. Safe for several threads. */
interface CallProtocol {
    /** True if a target's answer may end with its connection instead of a stated length. */
    val allowsCloseDelimitedResponses: Boolean

    /** True if answers to other calls can precede the one to the present call on a connection. */
    val skipsMismatchedResponses: Boolean

    /** Reads what the caller states. */
    fun readCallerMetadata(
        headers: HttpHeaders,
        nowMillis: Long,
    ): CallerMetadata

    /** Changes the headers of a request for the target. */
    fun writeTargetMetadata(
        headers: HttpHeaders,
        facts: TargetMetadata,
    )

    /** Reads what the answer of a target states. */
    fun readResponseMetadata(head: HttpResponse): ResponseMetadata

    /** Changes the status and headers of an error that a node answers instead of a target. */
    fun writeFailure(
        head: HttpResponse,
        callId: String?,
        isNotRun: Boolean,
        retryAfterMillis: Long?,
    )
}

/** Is the protocol of the product itself, with the headers of [MeshHeaders]. */
object MeshProtocol : CallProtocol {
    override val allowsCloseDelimitedResponses = false
    override val skipsMismatchedResponses = false

    override fun readCallerMetadata(
        headers: HttpHeaders,
        nowMillis: Long,
    ) = CallerMetadata(null, headers.get(MeshHeaders.DEADLINE)?.toLongOrNull())

    override fun writeTargetMetadata(
        headers: HttpHeaders,
        facts: TargetMetadata,
    ) {
        headers.set(MeshHeaders.CALL, facts.callId)
        headers.set(MeshHeaders.DEADLINE, facts.deadlineMillis)
    }

    override fun readResponseMetadata(head: HttpResponse) = ResponseMetadata(head.headers().get(MeshHeaders.CALL))

    override fun writeFailure(
        head: HttpResponse,
        callId: String?,
        isNotRun: Boolean,
        retryAfterMillis: Long?,
    ) = Unit
}
