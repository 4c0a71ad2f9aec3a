package dev.baobabhollow.calls

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Calls that left domain a in 25 s, measured at commit e458a09 with the same load and seed. */
private const val BEFORE = 4_569

/** A target of the simulation handles 200 calls a second. */
class DomainOverflowSpec :
    DescribeSpec({
        val settings = LeavingSettings()

        fun run(
            vararg loads: Pair<String, DomainLoad>,
            leaving: LeavingSettings? = settings,
            profile: (Random) -> CallProfile = { CallProfile(1_000, LeavingSimulation.OBJECTIVE_MILLIS) },
        ) = LeavingSimulation(mapOf(*loads), leaving, profile).run(25)

        describe("a failure domain whose targets are too few for its callers") {
            val loads =
                arrayOf("a" to DomainLoad(2, 600.0), "b" to DomainLoad(4, 300.0), "c" to DomainLoad(4, 300.0))

            // Guards against callers that wait in an overloaded domain although others have room, and against a share
            // that swings at constant load.
            it("sends the calls that do not fit to the domains with room, and a steady share of them") {
                val a = run(*loads).getValue("a")
                a.lateShare shouldBeLessThan 0.02
                a.leftInAll.toDouble() / a.calls shouldBeGreaterThan 0.3
                a.leftInAll.toDouble() / a.calls shouldBeLessThan 0.6
                val shares = a.shares(10..24)
                shares.max() - shares.min() shouldBeLessThan 0.25
            }

            // Guards against a decision that is worse than the one for each call alone, or than none. Without the share,
            // domains with room also exchange calls.
            it("has as few late calls as with the decision for each call alone, without calls between the others") {
                val with = run(*loads)
                val without = run(*loads, leaving = null)
                val closed = run("a" to DomainLoad(2, 600.0))

                fun leftOthers(all: Map<String, DomainResult>) =
                    all.getValue("b").leftInAll + all.getValue("c").leftInAll
                with.getValue("a").late shouldBeLessThan without.getValue("a").late + 20
                with.values.sumOf { it.leftInAll } * 10 shouldBeLessThan without.values.sumOf { it.leftInAll } * 11
                leftOthers(with) shouldBeLessThan 10
                leftOthers(without) shouldBeGreaterThan 100
                closed.getValue("a").lateShare shouldBeGreaterThan 0.5
            }

            // Guards against calls that leave for the others' targets while those are busy with their own calls.
            it("keeps its calls while the other domains have no room") {
                val full = arrayOf("b" to DomainLoad(2, 380.0), "c" to DomainLoad(2, 380.0))
                val results = run("a" to DomainLoad(2, 600.0), *full)
                val without = run("a" to DomainLoad(2, 600.0), *full, leaving = null)

                fun lateOfOthers(all: Map<String, DomainResult>) = all.getValue("b").late + all.getValue("c").late
                lateOfOthers(results) shouldBeLessThan lateOfOthers(without)
                results.getValue("a").let { it.leftInAll.toDouble() / it.calls } shouldBeLessThan 0.3
            }
        }

        describe("two failure domains that overflow") {
            // Guards against calls that two overloaded domains exchange, and against an overload of the third one.
            it("send their calls to the third one") {
                val results =
                    run("a" to DomainLoad(2, 500.0), "b" to DomainLoad(2, 500.0), "c" to DomainLoad(6, 300.0))
                results.values.maxOf { it.lateShare } shouldBeLessThan 0.03
                listOf("a", "b").forEach { name ->
                    val shares = results.getValue(name).shares(10..24)
                    shares.max() - shares.min() shouldBeLessThan 0.35
                }
                val a = results.getValue("a")
                a.leftTo.getValue("c") shouldBeGreaterThan (a.leftTo["b"] ?: 0) * 3
                results.getValue("c").let { it.leftInAll.toDouble() / it.calls } shouldBeLessThan 0.02
            }
        }

        describe("a failure domain without usable targets") {
            val others = arrayOf("b" to DomainLoad(4, 100.0), "c" to DomainLoad(4, 100.0))

            // Guards against calls that wait for a share to rise although no target can take them.
            it("sends all calls elsewhere if its targets are cold, and says so") {
                val a = run("a" to DomainLoad(2, 200.0, isCold = true), *others).getValue("a")
                a.left shouldBe mapOf(LeavingReason.COLD to a.calls)
            }

            it("sends all calls elsewhere if it is evacuated, and says so") {
                val a = run("a" to DomainLoad(0, 200.0), *others).getValue("a")
                a.left shouldBe mapOf(LeavingReason.NO_TARGET to a.calls)
            }

            it("sends all calls elsewhere if its targets do not respond, and says so") {
                val a = run("a" to DomainLoad(2, 200.0, isSilent = true), *others).getValue("a")
                a.left shouldBe mapOf(LeavingReason.NO_TARGET to a.calls)
            }
        }

        describe("a failure domain whose other domains do not respond") {
            // Guards against calls that leave into a partition.
            it("keeps its calls although they are too many, except for single ones that look for an answer") {
                val cut = DomainLoad(4, 1.0, isSilent = true)
                val a = run("a" to DomainLoad(2, 500.0), "b" to cut, "c" to cut).getValue("a")
                a.leftInAll.toDouble() / a.calls shouldBeLessThan 0.02
            }
        }

        describe("calls with many bytes") {
            // Guards against uploads that cost more between domains than the wait that they save.
            it("stay under the load of the first test while look-ups leave") {
                val mixed = { random: Random ->
                    val size = if (random.nextInt(5) == 0) 60_000L else 1_000L
                    CallProfile(size, LeavingSimulation.OBJECTIVE_MILLIS)
                }
                val a = run("a" to DomainLoad(2, 600.0), "b" to DomainLoad(4, 300.0), profile = mixed).getValue("a")
                a.lateShare shouldBeLessThan 0.05
                a.leftInAll shouldBeGreaterThan 3_000
                a.leftTransfers shouldBeLessThan 100
            }

            it("leave only for a longer wait than look-ups") {
                val b = target("b", "b").failureDomain
                val slow =
                    DomainEstimates(DomainEstimate(200_000.0, 1_500.0), mapOf(b to DomainEstimate(50_000.0, 300.0)))
                val overflow = DomainOverflow(settings)
                val lookup = CallProfile(1_000, 500)
                val upload = CallProfile(60_000, 500)
                repeat(20) {
                    overflow.share(VITRINA, OLD, lookup, it * 300L) { slow }
                    overflow.share(VITRINA, OLD, upload, it * 300L) { slow }
                }
                overflow.share(VITRINA, OLD, lookup, 5_900) { slow }.permille shouldBe 1_000.0
                overflow.share(VITRINA, OLD, upload, 5_900) { slow }.permille shouldBe 0.0
            }
        }

        describe("an idle mesh") {
            // Guards against traffic between domains without a benefit.
            it("has no calls that leave their domain") {
                val load = DomainLoad(4, 100.0)
                run("a" to load, "b" to load, "c" to load).values.sumOf { it.leftInAll } shouldBe 0
            }
        }

        describe("settings without weights for leaving") {
            // Guards against a change of the selection in deployments that do not set them: the draws of the random
            // generator are those of the version before the setting, whose counts these are.
            it("select as before, and report no reason") {
                val loads = arrayOf("a" to DomainLoad(2, 600.0), "b" to DomainLoad(4, 100.0))
                val a = run(*loads, leaving = null).getValue("a")
                a.left shouldBe emptyMap()
                a.leftTo shouldBe mapOf("b" to BEFORE)
            }
        }
    })
