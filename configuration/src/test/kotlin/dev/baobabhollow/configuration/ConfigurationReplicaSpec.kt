package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.SnapshotRecord
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class ConfigurationReplicaSpec :
    DescribeSpec({
        val log = LogBuilder().add(patchRecord(0, basePatch))
        (1L..4L).forEach { log.add(patchRecord(it, routePatch("r$it"))) }
        val entries = log.entries

        describe("a replica") {
            it("applies a batch that starts directly after its offset") {
                val replica = ConfigurationReplica()
                replica.offer(RecordBatch(NO_OFFSET, entries)).shouldBeInstanceOf<OfferResult.Applied>()
                replica.state shouldBe log.state()
            }

            // Guards against a proxy that skips a version, and so holds a route without its service.
            it("applies nothing of a batch that starts after a gap") {
                val replica = ConfigurationReplica()
                replica.offer(RecordBatch(2, entries.drop(3))) shouldBe OfferResult.Gap(NO_OFFSET)
                replica.state shouldBe ConfigurationState.INITIAL
            }

            it("applies only the new entries of an overlapping batch") {
                val replica = ConfigurationReplica()
                replica.offer(RecordBatch(NO_OFFSET, entries.take(3)))
                replica.offer(RecordBatch(0, entries.drop(1)))
                replica.state shouldBe log.state()
            }

            // Guards against a return to an older version when the network reorders updates.
            it("keeps its state when an older batch or state arrives late") {
                val replica = ConfigurationReplica()
                val older = ConfigurationReplica().apply { offer(RecordBatch(NO_OFFSET, entries.take(2))) }.transfer()
                replica.offer(RecordBatch(NO_OFFSET, entries))
                replica.offer(RecordBatch(NO_OFFSET, entries.take(2))) shouldBe OfferResult.Unchanged
                replica.offer(older) shouldBe OfferResult.Unchanged
                replica.state shouldBe log.state()
            }

            it("rejects a state whose hash does not match") {
                val replica = ConfigurationReplica()
                val result = replica.offer(StateTransfer(log.state(), "0"))
                result.shouldBeInstanceOf<OfferResult.Rejected>()
                replica.state shouldBe ConfigurationState.INITIAL
            }

            it("rejects a batch whose offsets are not ascending") {
                val replica = ConfigurationReplica()
                replica.offer(RecordBatch(NO_OFFSET, entries.reversed())).shouldBeInstanceOf<OfferResult.Rejected>()
            }

            it("serves the records that a peer lacks, as far as its tail reaches back") {
                val replica = ConfigurationReplica()
                replica.offer(RecordBatch(NO_OFFSET, entries.take(2)))
                val lagging = ConfigurationReplica().apply { offer(replica.transfer()) }
                lagging.offer(RecordBatch(1, entries.drop(2)))
                lagging.recordsAfter(1).shouldNotBeNull().entries shouldBe entries.drop(2)
                lagging.recordsAfter(0).shouldBeNull()
            }
        }

        describe("a search for a snapshot") {
            fun snapshotLog(): LogBuilder {
                val builder = LogBuilder().add(patchRecord(0, basePatch)).add(patchRecord(1, routePatch("a")))
                builder.add(snapshotOf(builder.state()))
                return builder.add(patchRecord(2, routePatch("b")))
            }

            it("starts from the first record while the log is complete") {
                val search = SnapshotSearch(earliestOffset = 0)
                snapshotLog().entries.forEach(search::add)
                search.state shouldBe snapshotLog().state()
            }

            it("starts from a snapshot when earlier records have expired") {
                val search = SnapshotSearch(earliestOffset = 2)
                snapshotLog().entries.drop(2).forEach(search::add)
                search.state shouldBe snapshotLog().state()
            }

            // Guards against serving a state that lacks records between the snapshot and the start of the log.
            it("finds nothing when a record after the snapshot's state has expired") {
                val builder = LogBuilder().add(patchRecord(0, basePatch))
                val old = builder.state()
                builder.add(patchRecord(1, routePatch("a"))).add(snapshotOf(old)).add(patchRecord(2, routePatch("b")))
                val search = SnapshotSearch(earliestOffset = 2)
                builder.entries.drop(2).forEach(search::add)
                search.state.shouldBeNull()
            }

            it("skips a corrupt snapshot") {
                val builder = LogBuilder().add(patchRecord(0, basePatch))
                builder.add(snapshotOf(builder.state()).copy(contentHash = "0"))
                val search = SnapshotSearch(earliestOffset = 1)
                builder.entries.drop(1).forEach(search::add)
                search.state.shouldBeNull()
            }
        }

        describe("the snapshot policy") {
            val state = log.state().copy(snapshotOffset = 4, snapshotAtMillis = 10_000)
            val policy = SnapshotPolicy(rank = 0)

            // Guards against a quiet log whose only snapshot expires with nothing to replace it.
            it("renews a snapshot by age even when no record came after it") {
                policy.isDue(state, earliestOffset = 0, retentionMillis = 30_000, nowMillis = 19_999) shouldBe false
                policy.isDue(state, earliestOffset = 0, retentionMillis = 30_000, nowMillis = 20_000) shouldBe true
            }

            it("lets readers of lower rank write first") {
                val second = SnapshotPolicy(rank = 1)
                second.isDue(state, earliestOffset = 0, retentionMillis = 30_000, nowMillis = 20_999) shouldBe false
            }

            it("writes at once when the last snapshot is no longer in the log") {
                policy.isDue(state, earliestOffset = 5, retentionMillis = 30_000, nowMillis = 10_001) shouldBe true
            }
        }
    })

private fun snapshotOf(state: ConfigurationState) = SnapshotRecord(state.offset, contentHash(state), state)
