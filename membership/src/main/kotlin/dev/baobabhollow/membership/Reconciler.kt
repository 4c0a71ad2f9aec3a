package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/**
 * Anti-entropy: compares views with random nodes, about once per [MembershipSettings.digestPeriodMillis] and domain in
 * total, and exchanges the records of buckets that differ. A node that has just joined compares in every period until
 * it finds no difference.
 */
internal class Reconciler(
    private val state: MembershipState,
) {
    private val settings = state.settings
    private var seeds: List<Endpoint> = emptyList()
    private var catchUpsLeft = 0
    private var agreements = 0

    /** True while this node fills its table after joining. The records it gets meanwhile are known to the others. */
    val isCatchingUp: Boolean get() = catchUpsLeft > 0
    private var nextAtMillis = state.random.nextLong(settings.digestPeriodMillis)
    private var messagesLeft = settings.maxReconciliationMessages

    fun join(seeds: List<Endpoint>): List<OutgoingMessage> {
        this.seeds = seeds.filter { it != state.self.controlEndpoint }
        catchUpsLeft = MAX_CATCH_UPS
        agreements = 0
        return state.pick(this.seeds, SEEDS_AT_ONCE).map(::digestFor)
    }

    fun tick(nowMillis: Long): List<OutgoingMessage> {
        if (nowMillis < nextAtMillis) return emptyList()
        nextAtMillis = nowMillis + settings.digestPeriodMillis
        messagesLeft = settings.maxReconciliationMessages
        val isDue = state.random.nextInt(state.domainSize) == 0
        val out = mutableListOf<OutgoingMessage>()
        if (isDue || catchUpsLeft > 0) out += listOfNotNull(randomNode()?.let { digestFor(it.controlEndpoint) })
        if (isDue || state.byDomain().size == 1) out += lostEndpoints().map(::digestFor)
        catchUpsLeft = (catchUpsLeft - 1).coerceAtLeast(0)
        return out
    }

    fun receive(digest: Digest): List<OutgoingMessage> {
        val own = state.table.domainHashes()
        val differing = (own.keys + digest.hashes.keys).filter { own[it] != digest.hashes[it] }
        val buckets =
            state
                .pick(differing, DOMAINS_AT_ONCE)
                .associateWith { state.table.bucketHashes(it).asList() }
        val known = state.table[digest.sender.node]?.takeIf { isBelievedFailed(it, digest.sender) }
        val used = MESSAGE_OVERHEAD_BYTES + buckets.size * BUCKET_LIST_BYTES
        val reply = Buckets(state.senderRecord(), state.takeUpdates(known, used), buckets)
        return listOf(OutgoingMessage(digest.sender.endpoint, reply))
    }

    fun receive(buckets: Buckets): List<OutgoingMessage> {
        if (buckets.buckets.isEmpty()) agreements++
        if (agreements >= REQUIRED_AGREEMENTS) catchUpsLeft = 0
        return buckets.buckets.flatMap { (domain, hashes) -> offerRecords(buckets.sender.endpoint, domain, hashes) }
    }

    /** Returns messages with the own records that the sender of [records] lacks. */
    fun receive(records: Records): List<OutgoingMessage> {
        if (records.complete.isEmpty()) return emptyList()
        val theirs = records.updates.associate { it.node to it.toRecord() }
        val missing =
            records.complete
                .flatMap { (domain, mask) -> state.table.recordsIn(domain, mask) }
                .filter { isMissingOrOutdated(it, theirs) }
        return recordMessages(records.sender.endpoint, state.pick(missing, missing.size), emptyMap())
    }

    private fun isMissingOrOutdated(
        record: NodeRecord,
        theirs: Map<NodeId, NodeRecord>,
    ): Boolean {
        val known = theirs[record.node] ?: return true
        return supersedes(record, known)
    }

    private fun offerRecords(
        to: Endpoint,
        domain: FailureDomainId,
        hashes: List<Int>,
    ): List<OutgoingMessage> {
        if (hashes.size != BUCKET_COUNT) return emptyList()
        val own = state.table.bucketHashes(domain)
        val differing = (0 until BUCKET_COUNT).filter { own[it] != hashes[it] }
        return differing
            .chunked(BUCKETS_PER_MESSAGE)
            .flatMap { offerBuckets(to, domain, it) }
    }

    private fun offerBuckets(
        to: Endpoint,
        domain: FailureDomainId,
        buckets: List<Int>,
    ): List<OutgoingMessage> {
        val mask = buckets.fold(0L) { bits, bucket -> bits or (1L shl bucket) }
        val records = state.table.recordsIn(domain, mask)
        val fits = records.sumOf { CompactRecord.of(it).maxBytes } <= settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES
        if (fits) return recordMessages(to, records, mapOf(domain to mask))
        if (buckets.size > 1) {
            val halves = buckets.chunked((buckets.size + 1) / 2)
            return halves.flatMap { offerBuckets(to, domain, it) }
        }
        return recordMessages(to, records, emptyMap())
    }

    /**
     * Splits [records] into as many messages as needed, within the limit for this period; at least one if [complete] is
     * set.
     */
    private fun recordMessages(
        to: Endpoint,
        records: List<NodeRecord>,
        complete: Map<FailureDomainId, Long>,
    ): List<OutgoingMessage> {
        val messages = mutableListOf<List<CompactRecord>>()
        var current = mutableListOf<CompactRecord>()
        var bytesLeft = settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES
        for (record in records.map(CompactRecord::of)) {
            if (record.maxBytes > bytesLeft && current.isNotEmpty()) {
                messages += current
                current = mutableListOf()
                bytesLeft = settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES
            }
            current += record
            bytesLeft -= record.maxBytes
        }
        if (current.isNotEmpty() || complete.isNotEmpty()) messages += current
        val allowed = messages.take(messagesLeft)
        messagesLeft -= allowed.size
        return allowed.map { OutgoingMessage(to, Records(state.senderRecord(), it, complete)) }
    }

    private fun digestFor(to: Endpoint): OutgoingMessage {
        val hashes = state.table.domainHashes()
        val used = MESSAGE_OVERHEAD_BYTES + hashes.keys.sumOf { it.value.length + HASH_BYTES }
        return OutgoingMessage(to, Digest(state.senderRecord(), state.takeUpdates(usedBytes = used), hashes))
    }

    private fun randomNode(): NodeRecord? {
        val domains = state.byDomain().mapValues { (_, nodes) -> nodes.filter { it.node != state.selfId } }
        val domain = state.pick(domains.values.filter { it.isNotEmpty() }, 1).firstOrNull() ?: return null
        return state.pick(domain, 1).first()
    }

    /** Returns at most one address, of a seed or a dead node, at which a node unknown to this one may run. */
    private fun lostEndpoints(): List<Endpoint> {
        val live = state.byDomain().values.flatMapTo(HashSet()) { nodes -> nodes.map { it.controlEndpoint } }
        val dead = state.table.deadNodes().filter { it.status == NodeStatus.DEAD }
        val candidates = (seeds + dead.map { it.controlEndpoint }).filter { it !in live }
        return state.pick(candidates, 1)
    }

    private companion object {
        const val MAX_CATCH_UPS = 30

        /** More than one, because two nodes that have both just joined may agree on an incomplete list. */
        const val REQUIRED_AGREEMENTS = 3
        const val SEEDS_AT_ONCE = 3
        const val DOMAINS_AT_ONCE = 2
        const val BUCKETS_PER_MESSAGE = 8
        const val BUCKET_LIST_BYTES = 350
        const val HASH_BYTES = 8
    }
}
