package dev.baobabhollow.peers

import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.model.LogPosition

/** Responds to the pulls of peers from [replica]. Confined to the control thread. */
internal class PullResponder(
    private val replica: ConfigurationReplica,
    settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
) {
    private val limit = TransferRateLimiter(settings.transfersPerSecond)

    /** Responses at the current position. Most peers pull from about the same offset, so one encoding serves many. */
    private val cachedResponses = HashMap<Pull, FrameBody>()

    /** Returns the response to [pull], where [position] is that of the replica. */
    fun respond(
        pull: Pull,
        position: Position,
        nowMillis: Long,
    ): FrameBody {
        if (!position.isConfirmed || !hasNews(pull, position)) return counted("nothing", NothingNew(position))
        val isBehindInEra = pull.era == position.era && pull.afterOffset < position.offset
        val records =
            if (isBehindInEra) {
                replica
                    .recordsAfter(
                        pull.afterOffset,
                    )?.takeIf { it.entries.size <= MAX_DELTA_RECORDS }
            } else {
                null
            }
        if (records == null) limit.admit(nowMillis)?.let { return counted("refused", Refused(it)) }
        if (cachedResponses.size >= MAX_CACHED_RESPONSES) cachedResponses.clear()
        val body = cachedResponses.getOrPut(pull) { newResponse(pull, records) }
        return counted(if (records == null) "state" else "records", body)
    }

    /** True if this node is ahead, or at the same position of an era above 0 with another state. */
    private fun hasNews(
        pull: Pull,
        position: Position,
    ): Boolean {
        val pulled = LogPosition(pull.era, pull.afterOffset)
        if (pulled != position.logPosition) return pulled < position.logPosition
        return pull.contentHash != null && pull.contentHash != position.contentHash
    }

    /** Drops all cached responses. Must be called when the replica has changed. */
    fun clear() = cachedResponses.clear()

    private fun newResponse(
        pull: Pull,
        records: RecordBatch?,
    ): FrameBody {
        val body =
            when {
                records == null -> WholeState(replica.transfer())
                pull.takesChanges -> Push(replica.deltaEncoded(records))
                else -> Push(records)
            }
        return if (pull.takesDeflated) PeerCodec.deflate(body) else body
    }

    private fun counted(
        response: String,
        body: FrameBody,
    ): FrameBody = body.also { metrics.countTransfer(response) }

    private companion object {
        /** A longer batch costs more than the full state and would bypass the rate limit of state transfers. */
        const val MAX_DELTA_RECORDS = 64

        /** Peers that keep up are at one of a few offsets. */
        const val MAX_CACHED_RESPONSES = 16
    }
}
