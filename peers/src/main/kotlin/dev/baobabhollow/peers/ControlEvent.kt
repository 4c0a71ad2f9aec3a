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

/** Is handed to the control thread, which alone owns the aggregates. */
internal sealed interface ControlEvent {
    data class DatagramArrived(
        val datagram: PeerDatagram,
    ) : ControlEvent

    data class RequestArrived(
        val frame: PeerFrame,
        val reply: (PeerFrame) -> Unit,
    ) : ControlEvent

    /** Carries the answer to a pull. */
    data class PullAnswered(
        val answer: Result<PeerFrame, PeerError>,
    ) : ControlEvent

    /** Carries the answer to a push, whose receiver may be ahead. */
    data class PushAnswered(
        val answer: Result<PeerFrame, PeerError>,
        val receiver: Endpoint,
    ) : ControlEvent

    /** Tells whether a lead took in the outcomes sent to it. */
    data class OutcomesAnswered(
        val isDelivered: Boolean,
    ) : ControlEvent

    /** Carries what was read after [afterOffset]; [done] completes when it has been taken in. */
    data class LogRead(
        val afterOffset: Long,
        val batch: LogBatch,
        val done: CompletableFuture<Unit>,
    ) : ControlEvent

    /** Carries a state that was rebuilt from the log. */
    data class LogStateFound(
        val state: ConfigurationState,
        val done: CompletableFuture<Unit>,
    ) : ControlEvent

    data class LogFailed(
        val error: LogError,
    ) : ControlEvent

    /** Tells what became of an append; [stage] is what the log holds of an ordered move then. */
    data class AppendFinished(
        val record: LogRecord,
        val offset: Long?,
        val stage: OrderedStage? = null,
    ) : ControlEvent

    /** Carries stages of ordered moves from the log. */
    data class StagesRead(
        val stages: List<OrderedStage>,
    ) : ControlEvent

    /** Carries control endpoints of other nodes that were found outside the membership. */
    data class ContactsFound(
        val endpoints: List<Endpoint>,
    ) : ControlEvent

    /** Lets the node announce that it leaves; [done] completes when that has been sent. */
    data class LeaveRequested(
        val done: CompletableFuture<Unit>,
    ) : ControlEvent

    data class SelfChanged(
        val change: (NodeRecord) -> NodeRecord,
    ) : ControlEvent
}
