package dev.baobabhollow.configuration.check

import dev.baobabhollow.configuration.ConfigurationReplica
import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.ReplacedOrders
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.configuration.contentHash
import dev.baobabhollow.configuration.enredadera
import dev.baobabhollow.configuration.vitrina
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrderRecord
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.WriterId
import dev.baobabhollow.model.logPosition

/** Returns the configuration [version]. */
internal fun configuration(version: Long) =
    ConfigurationRecord(version, MeshConfig(members = mapOf(enredadera to MemberConfig("$version"))))

/** Returns the [number]th order, to a release of its own. */
internal fun order(number: Int) = MoveOrderRecord(vitrina, ReleaseId("$number"), 100)

/** A replica's state and the orders that it has replaced. */
internal data class ReplicaNode(
    val state: ConfigurationState,
    val replaced: ReplacedOrders,
)

/**
 * State of the model: the records of the log and its era, what the operator has yet to write, the state of each replica
 * (null while a restarted one has none), and the release that each identifier of a move has stood for.
 */
internal data class StoreEraState(
    val log: List<RecordBody>,
    val era: Long,
    val toWrite: List<RecordBody>,
    val replicas: List<ReplicaNode?>,
    val releases: Map<MoveId, Set<ReleaseId>>,
    val lossesLeft: Int,
    val restartsLeft: Int,
)

/** Rules of the protocol, which a test can break to show that the invariants detect it. */
internal data class StoreEraRules(
    val eraOfBatch: (Long) -> Long = { it },
    val afterRead: (ConfigurationState) -> ConfigurationState = { it },
    val merges: Boolean = true,
    val returnsToNoOrder: Boolean = false,
)

/**
 * Model of a log of whole configurations and orders that returns from an older copy: it loses a suffix, and assigns the
 * offsets again, to what the operator writes again or to newer records. Replicas read the log or, after a change of the
 * era, the newest record of each key; they pull from each other, restart with empty memory and are disconnected for any
 * time. Each step runs the production classes.
 */
internal class StoreEraProtocol(
    private val written: List<RecordBody>,
    private val toWrite: List<RecordBody>,
    private val losses: Int,
    private val restarts: Int,
    private val rules: StoreEraRules = StoreEraRules(),
) : Protocol<StoreEraState> {
    override val initial =
        initialState()

    private fun initialState(): StoreEraState {
        val replica = ConfigurationReplica()
        written.forEachIndexed { offset, body -> replica.offer(RecordBatch(offset - 1L, listOf(entry(offset, body)))) }
        return StoreEraState(written, 0, toWrite, List(2) { nodeOf(replica) }, emptyMap(), losses, restarts)
    }

    override fun next(state: StoreEraState): List<Transition<StoreEraState>> =
        writes(state) + returns(state) + reads(state) + pulls(state) + restarts(state)

    override fun brokenInvariant(
        before: StoreEraState,
        after: StoreEraState,
    ): String? {
        val live =
            before.replicas.zip(after.replicas).mapNotNull { (old, new) ->
                if (old == null || new == null) null else old.state to new.state
            }
        return when {
            live.any { (old, new) -> new.version < old.version } -> "no replica goes back"

            live.any { (old, new) ->
                new.logPosition < old.logPosition
            } -> "no replica goes back to an earlier position"

            rules.returnsToNoOrder &&
                live.any { (old, new) ->
                    orderOf(
                        new,
                    ) < orderOf(old)
                }
            -> "no replica returns to a replaced order"

            after.releases.any { it.value.size > 1 } -> "an identifier stands for one order"

            after.replicas.any { lacksNewest(it?.state, after) } -> "a replica at the end holds the newest records"

            else -> null
        }
    }

    private fun orderOf(state: ConfigurationState): Int =
        state.orders[vitrina]
            ?.release
            ?.value
            ?.toInt() ?: 0

    /** Checked once the operator has nothing more to write, since the replica may hold records that the log has lost. */
    private fun lacksNewest(
        replica: ConfigurationState?,
        state: StoreEraState,
    ): Boolean {
        if (replica == null || state.toWrite.isNotEmpty()) return false
        val isAtEnd = replica.era == rules.eraOfBatch(state.era) && replica.offset == state.log.size - 1L
        if (!isAtEnd) return false
        val newest = state.log.filterIsInstance<ConfigurationRecord>().maxBy { it.version }
        val newestOrder = state.log.filterIsInstance<MoveOrderRecord>().lastOrNull()
        val isNewest = replica.version == newest.version && replica.mesh == newest.mesh
        return !isNewest || orderOf(replica) != (newestOrder?.release?.value?.toInt() ?: 0)
    }

    private fun writes(state: StoreEraState): List<Transition<StoreEraState>> {
        val next = state.toWrite.firstOrNull() ?: return emptyList()
        val after = state.copy(log = state.log + next, toWrite = state.toWrite.drop(1))
        return listOf(Transition("operator writes ${text(next)} at ${state.era}/${state.log.size}", after))
    }

    private fun returns(state: StoreEraState): List<Transition<StoreEraState>> {
        if (state.lossesLeft == 0) return emptyList()
        return state.log.indices.map { count ->
            val lost = newestOfEachKey(state.log.drop(count)).map { it.value }
            val after =
                state.copy(
                    log = state.log.take(count),
                    era = state.era + 1,
                    toWrite = lost + state.toWrite,
                    lossesLeft = state.lossesLeft - 1,
                )
            Transition("log returns with $count records", after)
        }
    }

    private fun reads(state: StoreEraState): List<Transition<StoreEraState>> =
        state.replicas.indices.mapNotNull { index ->
            val replica = replicaOf(state.replicas[index])
            val era = rules.eraOfBatch(state.era)
            val isNewEra = era > replica.state.era || state.replicas[index] == null
            val batch = if (isNewEra) newest(state, era) else following(state, replica.state, era)
            if (batch == null) return@mapNotNull null
            replica.offer(batch)
            val records = batch.entries.map { "${text(it.record.body)}@${it.offset}" }
            val node = nodeOf(replica)
            val result = node.copy(state = rules.afterRead(node.state))
            Transition("replica $index reads ${batch.era}: $records", state.withReplica(index, result))
        }

    private fun newest(
        state: StoreEraState,
        era: Long,
    ): RecordBatch {
        val entries = newestOfEachKey(state.log).map { entry(it.index, it.value) }
        return RecordBatch(NO_OFFSET, entries, era, if (era > 0) state.log.size.toLong() else 0)
    }

    private fun following(
        state: StoreEraState,
        replica: ConfigurationState,
        era: Long,
    ): RecordBatch? {
        val index = (replica.offset + 1).toInt()
        val body = state.log.getOrNull(index) ?: return null
        return RecordBatch(replica.offset, listOf(entry(index, body)), era)
    }

    private fun pulls(state: StoreEraState): List<Transition<StoreEraState>> =
        listOf(0 to 1, 1 to 0).mapNotNull { (to, from) ->
            val source = state.replicas[from]?.state ?: return@mapNotNull null
            val replica = replicaOf(state.replicas[to])
            val isAhead = source.logPosition > replica.state.logPosition
            replica.offer(StateTransfer(source, contentHash(source)))
            val node = nodeOf(replica)
            val result = if (!rules.merges && isAhead) node.copy(state = source) else node
            Transition("replica $to pulls from $from", state.withReplica(to, result))
        }

    private fun restarts(state: StoreEraState): List<Transition<StoreEraState>> {
        if (state.restartsLeft == 0) return emptyList()
        return state.replicas.indices.map {
            val replicas = state.replicas.toMutableList().apply { set(it, null) }
            Transition(
                "replica $it restarts",
                state.copy(replicas = replicas, restartsLeft = state.restartsLeft - 1),
            )
        }
    }

    private fun StoreEraState.withReplica(
        index: Int,
        replica: ReplicaNode,
    ): StoreEraState {
        val known = releases.toMutableMap()
        replica.state.orders.values
            .forEach { known[it.move] = known[it.move].orEmpty() + it.release }
        return copy(replicas = replicas.toMutableList().apply { set(index, replica) }, releases = known)
    }

    private fun replicaOf(node: ReplicaNode?) =
        if (node == null) ConfigurationReplica() else ConfigurationReplica(node.state, node.replaced)

    private fun nodeOf(replica: ConfigurationReplica) = ReplicaNode(replica.state, replica.replacedOrders)

    private fun newestOfEachKey(records: List<RecordBody>): List<IndexedValue<RecordBody>> =
        records
            .withIndex()
            .groupBy { keyOf(it.value) }
            .map { it.value.last() }
            .sortedBy { it.index }

    private fun text(body: RecordBody): String {
        if (body is MoveOrderRecord) return "order ${body.release}"
        return "configuration ${(body as ConfigurationRecord).version}"
    }

    private fun keyOf(body: RecordBody): String = body::class.simpleName.orEmpty()

    private fun entry(
        offset: Int,
        body: RecordBody,
    ) = LogEntry(offset.toLong(), 0, LogRecord(WriterId("operator"), offset + 1L, body))
}
