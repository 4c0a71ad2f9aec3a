package dev.baobabhollow.peers

import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.RecordBatch

/** Answers the pulls of peers from [replica]. Belongs to the control thread. */
internal class PullAnswers(
    private val replica: ConfigurationReplica,
    settings: ControlPlaneSettings,
    private val metrics: ControlMetrics,
) {
    private val limit = TransferLimit(settings.transfersPerSecond)

    /** Answers from the present position, which most peers ask for at about the same offset. */
    private val made = HashMap<Pull, FrameBody>()

    /** Returns what [position], that of the replica, has for [pull]. */
    fun answer(
        pull: Pull,
        position: Position,
        nowMillis: Long,
    ): FrameBody {
        if (pull.afterOffset >= position.offset ||
            !position.isConfirmed
        ) {
            return counted("nothing", NothingNew(position))
        }
        val records = replica.recordsAfter(pull.afterOffset)?.takeIf { it.entries.size <= MAX_DELTA_RECORDS }
        if (records == null) limit.admit(nowMillis)?.let { return counted("refused", Refused(it)) }
        if (made.size >= MAX_MADE) made.clear()
        val body = made.getOrPut(pull) { newAnswer(pull, records) }
        return counted(if (records == null) "state" else "records", body)
    }

    /** Forgets all answers, because the replica has moved on. */
    fun clear() = made.clear()

    private fun newAnswer(
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
        answer: String,
        body: FrameBody,
    ): FrameBody = body.also { metrics.countTransfer(answer) }

    private companion object {
        /** Longer tails cost more than the state and would pass the admission of transfers. */
        const val MAX_DELTA_RECORDS = 64

        /** Peers that follow are at one of a few offsets. */
        const val MAX_MADE = 16
    }
}
