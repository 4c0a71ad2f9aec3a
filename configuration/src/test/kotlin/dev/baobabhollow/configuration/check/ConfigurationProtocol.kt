package dev.baobabhollow.configuration.check

import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.SnapshotSearch
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.configuration.basePatch
import dev.baobabhollow.configuration.contentHash
import dev.baobabhollow.configuration.fold
import dev.baobabhollow.configuration.moveId
import dev.baobabhollow.configuration.movePatch
import dev.baobabhollow.configuration.patchRecord
import dev.baobabhollow.configuration.plan
import dev.baobabhollow.configuration.routePatch
import dev.baobabhollow.configuration.stage
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.SnapshotRecord
import dev.baobabhollow.model.WriterId
import java.util.IdentityHashMap

/** An append that a writer has prepared. It may never arrive, be delayed (a paused writer) or arrive more than once. */
internal data class PendingAppend(
    val record: LogRecord,
    val sendsLeft: Int,
)

/**
 * State of the model: all records ever appended to the log, the first offset that the log still keeps, the state of
 * each replica (null while a restarted replica has none) and the appends in flight.
 */
internal data class ProtocolState(
    val entries: List<LogEntry>,
    val earliest: Int,
    val replicas: List<ConfigurationState?>,
    val pending: List<PendingAppend>,
    val restartsLeft: Int,
    val snapshotsLeft: Int,
    val proposalsLeft: Int,
) {
    // Covers only what distinguishes most states: hashing whole configurations took most of the time of an exploration.
    override fun hashCode(): Int =
        listOf(
            entries.map {
                it.key()
            },
            earliest,
            replicas.map { it?.offset },
            pendingKeys(),
        ).hashCode()

    override fun equals(other: Any?): Boolean =
        other is ProtocolState &&
            earliest == other.earliest &&
            replicas == other.replicas &&
            entries == other.entries &&
            pending == other.pending &&
            counters() == other.counters()

    private fun counters() = listOf(restartsLeft, snapshotsLeft, proposalsLeft)

    private fun pendingKeys() = pending.map { Triple(it.record.writer, it.record.sequence, it.sendsLeft) }

    private fun LogEntry.key() = record.writer to record.sequence
}

private class History(
    private val states: List<ConfigurationState>,
    val brokenInvariant: String?,
) {
    fun stateAt(offset: Long): ConfigurationState = states[(offset + 1).toInt()]
}

/** Limits of the exploration: the number of replicas and log entries, and how often each event may occur. */
internal data class Bounds(
    val replicas: Int = 2,
    val maxEntries: Int = 4,
    val restarts: Int = 1,
    val snapshots: Int = 1,
    val proposals: Int = 2,
    val sends: Int = 2,
)

/** Rules of the protocol, which a test can break to show that the invariants detect it. */
internal data class Rules(
    val fold: (ConfigurationState, LogEntry) -> ConfigurationState = ::fold,
    val batchAfter: (ConfigurationState?, RecordBatch) -> RecordBatch = { _, batch -> batch },
    val searchStart: (Int) -> Long = { it.toLong() },
    val skipsTransferChecks: (ConfigurationState, ConfigurationState) -> Boolean = { _, _ -> false },
)

/**
 * Model of operators with conflicting patches, moves decided by several nodes at once, missing responses, paused
 * writers, expired records, snapshots, restarts with empty memory and disconnected replicas. Each step runs the
 * production classes.
 */
internal class ConfigurationProtocol(
    private val bounds: Bounds,
    private val rules: Rules = Rules(),
) : Protocol<ProtocolState> {
    private val hashes = IdentityHashMap<ConfigurationState, String>()
    private val histories = IdentityHashMap<List<LogEntry>, History>()

    override val initial: ProtocolState = initialState()

    override fun next(state: ProtocolState): List<Transition<ProtocolState>> =
        appends(state) + reads(state) + transfers(state) + restarts(state) + snapshots(state) + proposals(state) +
            trims(state)

    override fun brokenInvariant(
        before: ProtocolState,
        after: ProtocolState,
    ): String? {
        val history = historyOf(after.entries)
        return when {
            after.replicas.any { it != null && it != history.stateAt(it.offset) } -> "replicas agree with the log"
            regresses(before, after) -> "no replica goes back"
            hasDanglingRoute(after) -> "no route without its service"
            else -> history.brokenInvariant
        }
    }

    private fun historyOf(entries: List<LogEntry>): History =
        histories.getOrPut(entries) {
            val states = entries.runningFold(ConfigurationState.INITIAL, rules.fold)
            History(states, brokenHistoryInvariant(states))
        }

    private fun brokenHistoryInvariant(states: List<ConfigurationState>): String? =
        when {
            hasTwoWinners(states.last()) -> "one patch wins against each base version"
            countsDuplicate(states.last()) -> "a repeated append counts once"
            reopensMove(states) -> "a finished move stays finished"
            else -> null
        }

    private fun initialState(): ProtocolState {
        val base = LogEntry(0, 0, LogRecord(WriterId("ana"), 1, patchRecord(0, basePatch, "ana")))
        val move = movePatch(plan(startAtMillis = 0, completeByMillis = 500_000, watchUntilMillis = 500_000))
        val competingPatches =
            listOf(
                PendingAppend(LogRecord(WriterId("ana"), 2, patchRecord(1, move, "ana")), bounds.sends),
                PendingAppend(LogRecord(WriterId("berta"), 1, patchRecord(1, routePatch("b"), "berta")), bounds.sends),
            )
        return ProtocolState(
            entries = listOf(base),
            earliest = 0,
            replicas = List(bounds.replicas) { ConfigurationState.INITIAL },
            pending = competingPatches,
            restartsLeft = bounds.restarts,
            snapshotsLeft = bounds.snapshots,
            proposalsLeft = bounds.proposals,
        )
    }

    private fun appends(state: ProtocolState): List<Transition<ProtocolState>> {
        if (state.entries.size >= bounds.maxEntries) return emptyList()
        return state.pending.flatMapIndexed { index, append ->
            val offset = state.entries.size
            val entry = LogEntry(offset.toLong(), offset * ENTRY_GAP_MILLIS, append.record)
            val remaining = append.copy(sendsLeft = append.sendsLeft - 1).takeIf { it.sendsLeft > 0 }
            val pending =
                state.pending.toMutableList().apply {
                    if (remaining ==
                        null
                    ) {
                        removeAt(index)
                    } else {
                        set(index, remaining)
                    }
                }
            listOf(
                Transition(
                    "append ${append.record.writer}/${append.record.sequence} at $offset",
                    state.copy(entries = state.entries + entry, pending = pending),
                ),
            )
        }
    }

    private fun reads(state: ProtocolState): List<Transition<ProtocolState>> =
        state.replicas.indices.flatMap { index ->
            val replica = state.replicas[index]
            if (replica == null) bootstrap(state, index) else readAfter(state, index, replica)
        }

    private fun readAfter(
        state: ProtocolState,
        index: Int,
        replica: ConfigurationState,
    ): List<Transition<ProtocolState>> {
        val from = (replica.offset + 1).toInt()
        // The log returns an error for a read of expired records. A batch that starts later must not be applied.
        val first = maxOf(from, state.earliest)
        if (first >= state.entries.size) return emptyList()
        // Reading one record at a time reaches every state that larger batches reach.
        val batch = RecordBatch(first - 1L, state.entries.subList(first, first + 1))
        val result = offer(replica, rules.batchAfter(replica, batch))
        return listOf(Transition("replica $index reads $first", state.withReplica(index, result)))
    }

    private fun bootstrap(
        state: ProtocolState,
        index: Int,
    ): List<Transition<ProtocolState>> {
        val search = SnapshotSearch(rules.searchStart(state.earliest))
        state.entries.drop(state.earliest).forEach(search::add)
        val found = search.state ?: return emptyList()
        return listOf(Transition("replica $index starts from the log", state.withReplica(index, found)))
    }

    private fun transfers(state: ProtocolState): List<Transition<ProtocolState>> =
        state.replicas.indices.flatMap { to ->
            state.replicas.indices.filter { it != to }.mapNotNull { from ->
                val source = state.replicas[from] ?: return@mapNotNull null
                val target = state.replicas[to]
                val result = if (target == null) source else applyTransfer(target, source)
                Transition("replica $to pulls from $from", state.withReplica(to, result))
            }
        }

    private fun applyTransfer(
        target: ConfigurationState,
        source: ConfigurationState,
    ): ConfigurationState {
        if (rules.skipsTransferChecks(target, source)) return source
        return ConfigurationReplica(target).apply { offer(StateTransfer(source, hashOf(source))) }.state
    }

    private fun hashOf(state: ConfigurationState): String = hashes.getOrPut(state) { contentHash(state) }

    private fun restarts(state: ProtocolState): List<Transition<ProtocolState>> {
        if (state.restartsLeft == 0) return emptyList()
        return state.replicas.indices.map {
            val restarted = state.withReplica(it, null).copy(restartsLeft = state.restartsLeft - 1)
            Transition("replica $it restarts with empty memory", restarted)
        }
    }

    private fun snapshots(state: ProtocolState): List<Transition<ProtocolState>> {
        if (state.snapshotsLeft == 0) return emptyList()
        return state.replicas.withIndex().mapNotNull { (index, replica) ->
            if (replica == null || replica.offset == NO_OFFSET) return@mapNotNull null
            val body = SnapshotRecord(replica.offset, contentHash(replica), replica)
            val append = PendingAppend(LogRecord(WriterId("snapshot-$index"), state.snapshotsLeft.toLong(), body), 1)
            val prepared = state.copy(pending = state.pending + append, snapshotsLeft = state.snapshotsLeft - 1)
            Transition("replica $index prepares a snapshot", prepared)
        }
    }

    private fun proposals(state: ProtocolState): List<Transition<ProtocolState>> {
        if (state.proposalsLeft == 0) return emptyList()
        return state.replicas.withIndex().flatMap { (index, replica) ->
            val move = replica?.moves?.get(moveId) ?: return@flatMap emptyList()
            if (move.phase.isFinal) return@flatMap emptyList()
            listOf(
                stage(move.stage, MovePhase.RAMPING, 10 + index),
                stage(move.stage, MovePhase.TAKEN_BACK, 0),
            ).map { body ->
                val sequence = state.proposalsLeft.toLong()
                val append = PendingAppend(LogRecord(WriterId("lead-$index-$sequence-${body.phase}"), 1, body), 1)
                val prepared = state.copy(pending = state.pending + append, proposalsLeft = state.proposalsLeft - 1)
                Transition("replica $index proposes ${body.phase} after ${move.stage}", prepared)
            }
        }
    }

    private fun trims(state: ProtocolState): List<Transition<ProtocolState>> {
        if (state.earliest == state.entries.size) return emptyList()
        return listOf(Transition("log trims record ${state.earliest}", state.copy(earliest = state.earliest + 1)))
    }

    private fun offer(
        replica: ConfigurationState,
        batch: RecordBatch,
    ): ConfigurationState = ConfigurationReplica(replica).apply { offer(batch) }.state

    private fun regresses(
        before: ProtocolState,
        after: ProtocolState,
    ): Boolean =
        before.replicas.zip(after.replicas).any { (old, new) ->
            old != null && new != null && (new.version < old.version || new.offset < old.offset)
        }

    private fun hasTwoWinners(state: ConfigurationState): Boolean =
        state.verdicts
            .filter { it.result is PatchResult.Accepted }
            .groupBy { it.baseVersion }
            .any { it.value.size > 1 }

    private fun countsDuplicate(state: ConfigurationState): Boolean =
        state.verdicts.groupBy { it.writer to it.sequence }.any { it.value.size > 1 }

    private fun reopensMove(history: List<ConfigurationState>): Boolean =
        history.zipWithNext().any { (old, new) ->
            val finished = old.moves[moveId]?.takeIf { it.phase.isFinal }
            finished != null && new.moves[moveId] != finished
        }

    private fun hasDanglingRoute(state: ProtocolState): Boolean =
        state.replicas.filterNotNull().any { replica ->
            replica.mesh.routes.values
                .any { it.service !in replica.mesh.services }
        }

    /** Uses the instance of the history if the states are equal, which makes later comparisons cheap. */
    private fun ProtocolState.withReplica(
        index: Int,
        replica: ConfigurationState?,
    ): ProtocolState {
        val canonical = replica?.let { historyOf(entries).stateAt(it.offset) }
        val shared = if (replica == canonical) canonical else replica
        return copy(replicas = replicas.toMutableList().apply { set(index, shared) })
    }

    private companion object {
        const val ENTRY_GAP_MILLIS = 1_000L
    }
}
