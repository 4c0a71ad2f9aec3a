package dev.baobabhollow.proxy

import dev.baobabhollow.calls.CallHealth
import dev.baobabhollow.calls.Refusal
import dev.baobabhollow.calls.ResponseTimeEstimate
import io.netty.handler.codec.http.HttpResponseStatus

/** Whether a target may have executed a failed call. */
enum class CallOutcome(
    /** Value of the outcome header. */
    val text: String,
) {
    /** The request was not sent to a target. */
    NOT_RUN("not-run"),

    /** A target may have executed the request. */
    UNKNOWN("unknown"),
}

/** Causes of the errors that nodes generate; [health] is what each means for the target's outlier detection. */
enum class FailureReason(
    /** Value of the reason header. */
    val text: String,
    internal val health: CallHealth = CallHealth.NEUTRAL,
) {
    BAD_REQUEST("bad-request"),
    HEADERS_TOO_LARGE("headers-too-large"),
    BODY_TOO_LARGE("body-too-large"),
    UNSUPPORTED_VERSION("unsupported-version"),
    TOO_MANY_HOPS("too-many-hops"),
    NOT_READY("not-ready"),
    NO_ROUTE("no-route"),
    UNAUTHORIZED("unauthorized"),
    OVER_QUOTA("over-quota"),
    QUOTA_UNKNOWN("quota-unknown"),
    NO_TARGET("no-target"),
    DRAINING("draining", CallHealth.NO_CONNECTION),
    OVERLOADED("overloaded"),
    NODE_BUSY("node-busy"),
    MEMORY_LIMIT("memory-limit"),
    WAIT_TOO_LONG("wait-too-long"),
    DEADLINE_PASSED("deadline-passed"),
    WRONG_TARGET("wrong-target"),
    EVACUATED("evacuated"),
    COLD_TARGET("cold-target"),
    TARGET_REFUSED("target-refused"),
    OWNER_UNREACHABLE("owner-unreachable", CallHealth.NO_CONNECTION),
    TARGET_UNREACHABLE("target-unreachable", CallHealth.NO_CONNECTION),
    TOO_MANY_CONNECTIONS("too-many-connections"),
    CONNECTION_CLOSED("connection-closed", CallHealth.FAILURE),
    MALFORMED_ANSWER("malformed-answer", CallHealth.FAILURE),
    CANCELLED("cancelled"),
    KEY_USED("key-used"),
    KEY_EXPIRED("key-expired"),
    KEY_OWNER_GONE("key-owner-gone"),
    CLAIMS_UNAVAILABLE("claims-unavailable"),
    INTERNAL_ERROR("internal-error", CallHealth.FAILURE),
    ;

    internal companion object {
        private val BY_TEXT = entries.associateBy { it.text }

        fun of(text: String?): FailureReason = BY_TEXT[text] ?: INTERNAL_ERROR
    }
}

/** An error response that a node generates itself. */
internal data class CallFailure(
    val status: HttpResponseStatus,
    val outcome: CallOutcome,
    val reason: FailureReason,
    val retryAfterMillis: Long? = null,
    val loadPermille: Int? = null,
    val estimate: ResponseTimeEstimate? = null,
) {
    /** Returns this failure with an unknown outcome, for a call of which another attempt may have been executed. */
    fun mayHaveRun(): CallFailure {
        val isRefusal = status == HttpResponseStatus.SERVICE_UNAVAILABLE
        return copy(status = if (isRefusal) HttpResponseStatus.BAD_GATEWAY else status, outcome = CallOutcome.UNKNOWN)
    }

    companion object {
        /** A call takes some hundred milliseconds, after which its memory is free again. */
        private const val MEMORY_RETRY_MILLIS = 300L

        fun notRun(
            reason: FailureReason,
            status: HttpResponseStatus = HttpResponseStatus.SERVICE_UNAVAILABLE,
        ) = CallFailure(status, CallOutcome.NOT_RUN, reason)

        fun unknown(reason: FailureReason) = CallFailure(HttpResponseStatus.BAD_GATEWAY, CallOutcome.UNKNOWN, reason)

        /** Refusal of a call for which the node's memory has no room. */
        fun memoryLimit() = notRun(FailureReason.MEMORY_LIMIT).copy(retryAfterMillis = MEMORY_RETRY_MILLIS)

        /** Refusal of a call without a key, or with one that the configuration does not contain. */
        fun unauthorized() = notRun(FailureReason.UNAUTHORIZED, HttpResponseStatus.UNAUTHORIZED)

        /** Refusal of a call whose tenant has used its quota; a token is expected after [retryAfterMillis]. */
        fun overQuota(retryAfterMillis: Long) =
            notRun(FailureReason.OVER_QUOTA, HttpResponseStatus.TOO_MANY_REQUESTS)
                .copy(retryAfterMillis = retryAfterMillis)

        /** Refusal of a call while no node that allocates its tenant's quota can be reached. */
        fun quotaUnknown(retryAfterMillis: Long) =
            notRun(FailureReason.QUOTA_UNKNOWN).copy(retryAfterMillis = retryAfterMillis)

        fun deadlinePassed(mayHaveRun: Boolean) =
            CallFailure(
                HttpResponseStatus.GATEWAY_TIMEOUT,
                if (mayHaveRun) CallOutcome.UNKNOWN else CallOutcome.NOT_RUN,
                FailureReason.DEADLINE_PASSED,
            )

        fun of(refusal: Refusal) =
            when (refusal) {
                Refusal.OVERLOADED -> notRun(FailureReason.OVERLOADED)
                Refusal.WAIT_TOO_LONG -> notRun(FailureReason.WAIT_TOO_LONG)
                Refusal.DEADLINE_PASSED -> deadlinePassed(mayHaveRun = false)
                Refusal.DRAINING -> notRun(FailureReason.DRAINING)
                Refusal.COLD_TARGET -> notRun(FailureReason.COLD_TARGET)
            }
    }
}
