package dev.baobabhollow.proxy

import dev.baobabhollow.model.NodeId

/** Decides for the owner of a target whether a request with an idempotency key may be handed over. Thread-safe. */
interface KeyClaims {
    /** Returns the node that issued [key], or null if the key is caller-made. Throws nothing. */
    fun issuerOf(key: String): KeyIssuer?

    /** Issues a key of this node that is valid until [deadlineMillis], or returns null if it cannot. */
    fun issue(
        deadlineMillis: Long,
        nowMillis: Long,
    ): String?

    /**
     * Claims [key] for one call that gives up at [callDeadlineMillis]. [decide] is called once, on any thread, also if the
     * call has been cancelled in the meantime; after [KeyDecision.Granted] exactly one of [finished] and [released] follows.
     */
    fun claim(
        key: String,
        callDeadlineMillis: Long,
        nowMillis: Long,
        decide: (KeyDecision) -> Unit,
    )

    /** Ends a claimed call that was handed to the target. [answer] is null if it is unknown or too long to keep. */
    fun finished(
        key: String,
        answer: StoredResponse?,
    )

    /** Gives up a claim whose request was certainly not handed to the target. */
    fun released(key: String)
}

/** Names the incarnation of the node that issued a key and the time until which the key is valid. */
data class KeyIssuer(
    val node: NodeId,
    val incarnation: Long,
    val deadlineMillis: Long,
)

/** Says what to do with a request that carries an idempotency key. */
sealed interface KeyDecision {
    /** The request may be handed over; nobody else gets this answer for the same key. */
    data object Granted : KeyDecision

    /** An earlier request with this key has run and its answer is known. */
    data class Answered(
        val answer: StoredResponse,
    ) : KeyDecision

    /** An earlier request with this key was handed over; its answer is not known here. */
    data object Used : KeyDecision

    /** The key is not valid any more, or its form is wrong. */
    data object Expired : KeyDecision

    /** The claim could not be made; nothing was handed over for this request. */
    data object Unavailable : KeyDecision
}

/** Holds a whole answer. */
class StoredResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/** Refuses every key. For nodes without access to claims. */
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
        answer: StoredResponse?,
    ) = Unit

    override fun released(key: String) = Unit
}
