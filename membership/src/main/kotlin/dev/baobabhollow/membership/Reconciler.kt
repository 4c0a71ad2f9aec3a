package dev.baobabhollow.membership

import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.NodeStatus

/**
 * Compares views with random nodes, about once a second per domain in total, and exchanges the records of the buckets that
 * differ. A node that has just joined compares every second until it finds no difference.
 */
internal class Reconciler(
    private val fleet: Fleet,
) {
    private val settings = fleet.settings
    private var seeds: List<Endpoint> = emptyList()
    private var catchUpsLeft = 0
    private var agreements = 0

    /** Tells whether this node is still filling its table. What it learns meanwhile is news to nobody else. */
    val isCatchingUp: Boolean get() = catchUpsLeft > 0
    private var nextAtMillis = fleet.random.nextLong(settings.digestPeriodMillis)
    private var messagesLeft = settings.maxReconciliationMessages

    fun join(seeds: List<Endpoint>): List<OutgoingMessage> {
        this.seeds = seeds.filter { it != fleet.self.controlEndpoint }
        catchUpsLeft = MAX_CATCH_UPS
        agreements = 0
        return fleet.pick(this.seeds, SEEDS_AT_ONCE).map(::digestFor)
    }

    fun tick(nowMillis: Long): List<OutgoingMessage> {
        if (nowMillis < nextAtMillis) return emptyList()
        nextAtMillis = nowMillis + settings.digestPeriodMillis
        messagesLeft = settings.maxReconciliationMessages
        val isDue = fleet.random.nextInt(fleet.domainSize) == 0
        val out = mutableListOf<OutgoingMessage>()
        if (isDue || catchUpsLeft > 0) out += listOfNotNull(randomNode()?.let { digestFor(it.controlEndpoint) })
        if (isDue || fleet.byDomain().size == 1) out += lostContacts().map(::digestFor)
        catchUpsLeft = (catchUpsLeft - 1).coerceAtLeast(0)
        return out
    }

    fun receive(digest: Digest): List<OutgoingMessage> {
        val own = fleet.table.domainHashes()
        val differing = (own.keys + digest.hashes.keys).filter { own[it] != digest.hashes[it] }
        val buckets =
            fleet
                .pick(differing, DOMAINS_AT_ONCE)
                .associateWith { fleet.table.bucketHashes(it).asList() }
        val known = fleet.table[digest.sender.node]?.takeIf { isDoubted(it, digest.sender) }
        val used = MESSAGE_OVERHEAD_BYTES + buckets.size * BUCKET_LIST_BYTES
        val answer = Buckets(fleet.senderRecord(), fleet.takeUpdates(known, used), buckets)
        return listOf(OutgoingMessage(digest.sender.endpoint, answer))
    }

    fun receive(buckets: Buckets): List<OutgoingMessage> {
        if (buckets.buckets.isEmpty()) agreements++
        if (agreements >= NEEDED_AGREEMENTS) catchUpsLeft = 0
        return buckets.buckets.flatMap { (domain, hashes) -> offerRecords(buckets.sender.endpoint, domain, hashes) }
    }

    /** Returns the own records that the sender of [records] lacks. */
    fun receive(records: Records): List<OutgoingMessage> {
        if (records.complete.isEmpty()) return emptyList()
        val theirs = records.updates.associate { it.node to it.toRecord() }
        val lacking =
            records.complete
                .flatMap { (domain, mask) -> fleet.table.recordsIn(domain, mask) }
                .filter { isLacking(it, theirs) }
        return packed(records.sender.endpoint, fleet.pick(lacking, lacking.size), emptyMap())
    }

    private fun isLacking(
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
        if (hashes.size != BUCKETS) return emptyList()
        val own = fleet.table.bucketHashes(domain)
        val differing = (0 until BUCKETS).filter { own[it] != hashes[it] }
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
        val records = fleet.table.recordsIn(domain, mask)
        val fits = records.sumOf { CompactRecord.of(it).maxBytes } <= settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES
        if (fits) return packed(to, records, mapOf(domain to mask))
        if (buckets.size > 1) {
            val halves = buckets.chunked((buckets.size + 1) / 2)
            return halves.flatMap { offerBuckets(to, domain, it) }
        }
        return packed(to, records, emptyMap())
    }

    /** Sends [records] in as many messages as needed, at least one, within the limit for this second. */
    private fun packed(
        to: Endpoint,
        records: List<NodeRecord>,
        complete: Map<FailureDomainId, Long>,
    ): List<OutgoingMessage> {
        val messages = mutableListOf<List<CompactRecord>>()
        var current = mutableListOf<CompactRecord>()
        var left = settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES
        for (record in records.map(CompactRecord::of)) {
            if (record.maxBytes > left && current.isNotEmpty()) {
                messages += current
                current = mutableListOf()
                left = settings.maxMessageBytes - MESSAGE_OVERHEAD_BYTES
            }
            current += record
            left -= record.maxBytes
        }
        if (current.isNotEmpty() || complete.isNotEmpty()) messages += current
        val allowed = messages.take(messagesLeft)
        messagesLeft -= allowed.size
        return allowed.map { OutgoingMessage(to, Records(fleet.senderRecord(), it, complete)) }
    }

    private fun digestFor(to: Endpoint): OutgoingMessage {
        val hashes = fleet.table.domainHashes()
        val used = MESSAGE_OVERHEAD_BYTES + hashes.keys.sumOf { it.value.length + HASH_BYTES }
        return OutgoingMessage(to, Digest(fleet.senderRecord(), fleet.takeUpdates(usedBytes = used), hashes))
    }

    private fun randomNode(): NodeRecord? {
        val domains = fleet.byDomain().mapValues { (_, nodes) -> nodes.filter { it.node != fleet.selfId } }
        val domain = fleet.pick(domains.values.filter { it.isNotEmpty() }, 1).firstOrNull() ?: return null
        return fleet.pick(domain, 1).first()
    }

    /** Returns one address at which a node may be that this node has lost or never met. */
    private fun lostContacts(): List<Endpoint> {
        val live = fleet.byDomain().values.flatMapTo(HashSet()) { nodes -> nodes.map { it.controlEndpoint } }
        val dead = fleet.table.deadNodes().filter { it.status == NodeStatus.DEAD }
        val candidates = (seeds + dead.map { it.controlEndpoint }).filter { it !in live }
        return fleet.pick(candidates, 1)
    }

    private companion object {
        const val MAX_CATCH_UPS = 30

        /** Two nodes that both have just joined may agree on a list that is not complete. */
        const val NEEDED_AGREEMENTS = 3
        const val SEEDS_AT_ONCE = 3
        const val DOMAINS_AT_ONCE = 2
        const val BUCKETS_PER_MESSAGE = 8
        const val BUCKET_LIST_BYTES = 350
        const val HASH_BYTES = 8
    }
}
