package dev.baobabhollow.proxy

import dev.baobabhollow.model.NodeId

/** Decides for the owner of a target whether a request with an idempotency key may be sent to it. Thread-safe. */
interface KeyClaims {
    /** Returns the node that issued [key], or null if the key is caller-made. Does not throw. */
    fun issuerOf(key: String): KeyIssuer?

    /** Issues a key of this node that is valid until [deadlineMillis], or returns null if it cannot. */
    fun issue(
        deadlineMillis: Long,
        nowMillis: Long,
    ): String?

    /**
     * Claims [key] for one call with deadline [callDeadlineMillis]. [decide] is called once, on any thread, even if the
     * call has been cancelled meanwhile. After [KeyDecision.Granted], either [finished] or [released] must be called.
     */
    fun claim(
        key: String,
        callDeadlineMillis: Long,
        nowMillis: Long,
        decide: (KeyDecision) -> Unit,
    )

    /** Ends a claimed call that was sent to the target. [response] is null if it is unknown or too long to store. */
    fun finished(
        key: String,
        response: StoredResponse?,
    )

    /** Releases the claim of a request that was certainly not sent to the target. */
    fun released(key: String)
}

/** Node and incarnation that issued a key, and the time until which the key is valid. */
data class KeyIssuer(
    val node: NodeId,
    val incarnation: Long,
    val deadlineMillis: Long,
)

/** Decision on a request with an idempotency key. */
sealed interface KeyDecision {
    /** The request may be sent; no other request with the same key gets this decision. */
    data object Granted : KeyDecision

    /** An earlier request with this key was executed and its response is stored. */
    data class Answered(
        val response: StoredResponse,
    ) : KeyDecision

    /** An earlier request with this key was sent to a target; its response is not known here. */
    data object Used : KeyDecision

    /** The key has expired or is malformed. */
    data object Expired : KeyDecision

    /** The key could not be claimed; this request has not been sent to a target. */
    data object Unavailable : KeyDecision
}

/** A complete response. */
class StoredResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/** Rejects every key, for nodes without access to claims. */
object NoKeyClaims : KeyClaims {
    override fun issuerOf(key: String): KeyIssuer? = null

    override fun issue(
        deadlineMillis: Long,
        nowMillis: Long,
    ): String? = null

    override fun claim(
        key: String,
        callDeadlineMillis: Long,
        nowMillis: Long,
        decide: (KeyDecision) -> Unit,
    ) = decide(KeyDecision.Unavailable)

    override fun finished(
        key: String,
        response: StoredResponse?,
    ) = Unit

    override fun released(key: String) = Unit
}
