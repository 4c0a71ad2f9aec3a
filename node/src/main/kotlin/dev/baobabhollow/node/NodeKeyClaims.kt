package dev.baobabhollow.node

import com.github.michaelbull.result.get
import dev.baobabhollow.calls.CachedResponse
import dev.baobabhollow.calls.CallerKey
import dev.baobabhollow.calls.IdempotencyKey
import dev.baobabhollow.calls.IssuedKey
import dev.baobabhollow.calls.KeyBeginResult
import dev.baobabhollow.calls.KeyOutcomes
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.proxy.KeyClaims
import dev.baobabhollow.proxy.KeyDecision
import dev.baobabhollow.proxy.KeyIssuer
import dev.baobabhollow.proxy.StoredResponse
import dev.baobabhollow.proxy.claims.ClaimHandle
import dev.baobabhollow.proxy.claims.ClaimResult
import dev.baobabhollow.proxy.claims.LogClaims
import java.security.SecureRandom
import java.util.concurrent.ConcurrentHashMap

/**
 * Idempotency key claims for the proxy of [self]. Claims of issued keys are decided from memory alone, those of
 * caller-made keys through [log]. The outcome of each key is kept until its deadline.
 *
 * [incarnation] returns the current incarnation of this process. Membership raises it when the node's record changes,
 * so this process knows the issued keys of all its incarnations.
 */
internal class NodeKeyClaims(
    private val self: NodeRecord,
    private val incarnation: () -> Long,
    private val log: LogClaims,
    private val clock: () -> Long,
) : KeyClaims {
    private val outcomes = KeyOutcomes()
    private val handles = ConcurrentHashMap<String, ClaimHandle>()
    private val random = SecureRandom()

    override fun issuerOf(key: String): KeyIssuer? {
        val issued = parse(key) as? IssuedKey ?: return null
        return KeyIssuer(issued.node, issued.incarnation, issued.deadlineMillis)
    }

    override fun issue(
        deadlineMillis: Long,
        nowMillis: Long,
    ): String? = IssuedKey.issue(self.node, incarnation(), deadlineMillis, random::nextBytes).text

    override fun claim(
        key: String,
        callDeadlineMillis: Long,
        nowMillis: Long,
        decide: (KeyDecision) -> Unit,
    ) {
        val parsed = parse(key) ?: return decide(KeyDecision.Expired)
        when (val start = outcomes.begin(parsed, ANY_REQUEST, clock())) {
            is KeyBeginResult.Started -> claimStarted(parsed, callDeadlineMillis, decide)
            is KeyBeginResult.Answered -> decide(KeyDecision.Answered(start.response.toStored()))
            is KeyBeginResult.Refused -> decide(KeyDecision.Expired)
            KeyBeginResult.Full -> decide(KeyDecision.Unavailable)
            KeyBeginResult.Running, KeyBeginResult.Ran, KeyBeginResult.OtherRequest -> decide(KeyDecision.Used)
        }
    }

    override fun finished(
        key: String,
        response: StoredResponse?,
    ) {
        val parsed = parse(key) ?: return
        handles.remove(key)
        outcomes.finish(parsed, response?.let { CachedResponse(it.status, it.headers, it.body) })
    }

    override fun released(key: String) {
        val parsed = parse(key) ?: return
        outcomes.abandon(parsed)
        handles.remove(key)?.let(log::release)
    }

    private fun claimStarted(
        key: IdempotencyKey,
        callDeadlineMillis: Long,
        decide: (KeyDecision) -> Unit,
    ) = when (key) {
        is CallerKey -> claimInLog(key, callDeadlineMillis, decide)
        is IssuedKey -> decideIssued(key, decide)
    }

    /** Rejects keys of an earlier process, because their outcomes were lost with its memory. */
    private fun decideIssued(
        key: IssuedKey,
        decide: (KeyDecision) -> Unit,
    ) {
        val isOwn = key.node == self.node && key.incarnation in self.incarnation..incarnation()
        if (isOwn) return decide(KeyDecision.Granted)
        outcomes.abandon(key)
        decide(KeyDecision.Used)
    }

    private fun claimInLog(
        key: CallerKey,
        callDeadlineMillis: Long,
        decide: (KeyDecision) -> Unit,
    ) = log.claim(key, callDeadlineMillis) { result ->
        when (result) {
            is ClaimResult.Won -> {
                handles[key.text] = result.handle
                decide(KeyDecision.Granted)
            }

            is ClaimResult.Lost -> {
                outcomes.abandon(key)
                decide(KeyDecision.Used)
            }

            is ClaimResult.NotRun -> {
                outcomes.abandon(key)
                decide(KeyDecision.Unavailable)
            }
        }
    }

    private fun parse(key: String): IdempotencyKey? = IdempotencyKey.parse(key).get()

    private fun CachedResponse.toStored() = StoredResponse(status, headers, body)

    private companion object {
        /** The proxy does not pass the request that a key belongs to. */
        const val ANY_REQUEST = ""
    }
}
