package dev.baobabhollow.peers

import com.github.michaelbull.result.Result
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.LogBatch
import dev.baobabhollow.model.LogError
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.OrderedStage
import java.util.concurrent.CompletableFuture

/** Event for the control thread, which alone owns the state of the control plane. */
internal sealed interface ControlEvent {
    data class DatagramArrived(
        val datagram: PeerDatagram,
    ) : ControlEvent

    data class RequestArrived(
        val frame: PeerFrame,
        val reply: (PeerFrame) -> Unit,
    ) : ControlEvent

    /** Response to a pull. */
    data class PullAnswered(
        val answer: Result<PeerFrame, PeerError>,
    ) : ControlEvent

    /** Response to a push; its receiver may be ahead of this node. */
    data class PushAnswered(
        val answer: Result<PeerFrame, PeerError>,
        val receiver: Endpoint,
    ) : ControlEvent

    /** Result of sending outcomes to a lead. */
    data class OutcomesAnswered(
        val isDelivered: Boolean,
    ) : ControlEvent

    /** Batch read from the log after [afterOffset]; [done] completes when it has been applied. */
    data class LogRead(
        val afterOffset: Long,
        val batch: LogBatch,
        val done: CompletableFuture<Unit>,
    ) : ControlEvent

    /** State rebuilt from the log; [done] completes when it has been applied. */
    data class LogStateFound(
        val state: ConfigurationState,
        val done: CompletableFuture<Unit>,
    ) : ControlEvent

    data class LogFailed(
        val error: LogError,
    ) : ControlEvent

    /**
     * Result of an append. [offset] is null if [record] was not written to the stream. [stage] is the stage of an
     * ordered move that the log holds after the call.
     */
    data class AppendFinished(
        val record: LogRecord,
        val offset: Long?,
        val stage: OrderedStage? = null,
    ) : ControlEvent

    /** Stages of ordered moves read from the log. */
    data class StagesRead(
        val stages: List<OrderedStage>,
    ) : ControlEvent

    /** Control endpoints of other nodes, found by other means than the membership. */
    data class ContactsFound(
        val endpoints: List<Endpoint>,
    ) : ControlEvent

    /** Request to announce that this node leaves; [done] completes when the announcement has been sent. */
    data class LeaveRequested(
        val done: CompletableFuture<Unit>,
    ) : ControlEvent

    /** Change of this node's own record; [onSent] is called when it was sent to other nodes for the first time. */
    data class SelfChanged(
        val change: (NodeRecord) -> NodeRecord,
        val onSent: () -> Unit,
    ) : ControlEvent
}
