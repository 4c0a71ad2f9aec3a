package dev.baobabhollow.configuration

import dev.baobabhollow.model.Change
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class FoldSpec :
    DescribeSpec({
        describe("a patch") {
            it("creates the next version when its base is the current version") {
                val state = LogBuilder().add(patchRecord(0, basePatch)).state()
                state.version shouldBe 1
                state.verdicts.single().result shouldBe PatchResult.Accepted(1)
                state.currentReleases[vitrina] shouldBe oldRelease
            }

            // Guards against two operators both believing that their patch against one version took effect.
            it("loses against an earlier patch on the same base and names the winner") {
                val state =
                    LogBuilder()
                        .add(patchRecord(0, basePatch))
                        .add(patchRecord(1, routePatch("a"), "ana"))
                        .add(patchRecord(1, routePatch("b"), "berta"))
                        .state()
                state.version shouldBe 2
                state.verdicts.last().result shouldBe PatchResult.Conflict(2, winner = "ana")
                state.mesh.routes[RouteId("b")].shouldBeNull()
            }

            // Guards against applying the valid half of a patch.
            it("changes nothing when one of its changes is invalid and lists every error with its path") {
                val patch =
                    Patch(
                        routePatch("a").changes + routePatch("b", ServiceId("lots")).changes +
                            Change.RemoveRoute(RouteId("c")),
                    )
                val state = LogBuilder().add(patchRecord(0, basePatch)).add(patchRecord(1, patch)).state()
                state.version shouldBe 1
                state.mesh.routes.keys shouldContainExactly setOf(RouteId("catalogue"))
                val invalid =
                    state.verdicts
                        .last()
                        .result
                        .shouldBeInstanceOf<PatchResult.Invalid>()
                invalid.errors.map { it.path } shouldContainExactly listOf("$.changes[2].route", "$.routes.b.service")
            }

            it("may not remove a service that a route needs") {
                val patch = Patch(listOf(Change.RemoveService(vitrina)))
                val state = LogBuilder().add(patchRecord(0, basePatch)).add(patchRecord(1, patch)).state()
                state.verdicts
                    .last()
                    .result
                    .shouldBeInstanceOf<PatchResult.Invalid>()
                state.mesh.services.keys shouldContainExactly setOf(vitrina)
            }

            // Guards against a patch that takes effect twice because a writer retried it after a lost response.
            it("takes effect once when it is appended again with the same sequence") {
                val state =
                    LogBuilder()
                        .add(patchRecord(0, basePatch), writer = "cli")
                        .add(patchRecord(0, basePatch), writer = "cli")
                        .state()
                state.verdicts shouldHaveSize 1
                state.offset shouldBe 1
            }

            it("takes effect once when it is appended again at the end of the retry limit") {
                val state =
                    LogBuilder()
                        .add(patchRecord(0, basePatch), writer = "cli", atMillis = 0)
                        .add(patchRecord(1, routePatch("a")), atMillis = APPEND_RETRY_LIMIT_MILLIS - 1)
                        .add(patchRecord(0, basePatch), writer = "cli", atMillis = APPEND_RETRY_LIMIT_MILLIS)
                        .state()
                state.verdicts shouldHaveSize 2
            }

            it("lets the state drop silent writers, so that it stays bounded") {
                val state =
                    LogBuilder()
                        .add(patchRecord(0, basePatch), writer = "cli", atMillis = 0)
                        .add(patchRecord(1, routePatch("a")), writer = "other", atMillis = WRITER_RETENTION_MILLIS)
                        .state()
                state.writers.keys.map { it.value } shouldContainExactly listOf("other")
            }
        }

        describe("a move") {
            fun started() = LogBuilder().add(patchRecord(0, basePatch)).add(patchRecord(1, movePatch()))

            it("keeps the first stage that follows the current one and drops the rest") {
                val state =
                    started()
                        .add(stage(0, MovePhase.RAMPING, 10, "first"))
                        .add(stage(0, MovePhase.RAMPING, 500, "second"))
                        .state()
                val move = state.moves.getValue(moveId)
                move.sharePermille shouldBe 10
                move.reason shouldBe "first"
            }

            // Guards against a paused coordinator that resumes and increases the share of a release that was taken
            // back.
            it("stays taken back whatever records follow") {
                val state =
                    started()
                        .add(stage(0, MovePhase.TAKEN_BACK, 0))
                        .add(stage(1, MovePhase.RAMPING, 500))
                        .add(stage(1, MovePhase.WATCHING, 1_000))
                        .add(stage(1, MovePhase.DONE, 1_000), atMillis = 2_000_000)
                        .state()
                state.moves.getValue(moveId).phase shouldBe MovePhase.TAKEN_BACK
                state.currentReleases[vitrina] shouldBe oldRelease
                state.version shouldBe 2
            }

            it("makes the new release current only when it is done after the watch period") {
                val watching = started().add(stage(0, MovePhase.WATCHING, 1_000), atMillis = 5_000)
                val early = watching.add(stage(1, MovePhase.DONE, 1_000), atMillis = 999_999)
                early.state().currentReleases[vitrina] shouldBe oldRelease
                val done = early.add(stage(1, MovePhase.DONE, 1_000), atMillis = 1_000_000).state()
                done.moves.getValue(moveId).phase shouldBe MovePhase.DONE
                done.currentReleases[vitrina] shouldBe newRelease
            }

            it("does not start before its start time") {
                val patch = movePatch(plan(startAtMillis = 10_000))
                val state =
                    LogBuilder()
                        .add(patchRecord(0, basePatch))
                        .add(patchRecord(1, patch))
                        .add(stage(0, MovePhase.RAMPING, 5), atMillis = 9_999)
                        .state()
                state.moves.getValue(moveId).stage shouldBe 0
            }

            it("is refused while another move of the service runs") {
                val second = Patch(listOf(Change.StartMove(MoveId("m-2"), plan())))
                started()
                    .add(patchRecord(2, second))
                    .state()
                    .verdicts
                    .last()
                    .result
                    .shouldBeInstanceOf<PatchResult.Invalid>()
            }

            it("may not lose its releases while it runs") {
                val patch = Patch(listOf(Change.PutService(vitrina, service(listOf(oldRelease)))))
                val state = started().add(patchRecord(2, patch)).state()
                state.version shouldBe 2
                state.mesh.services
                    .getValue(vitrina)
                    .releases shouldBe setOf(oldRelease, newRelease)
            }

            it("is taken back when an operator cancels it, without lowering the version") {
                val state = started().add(patchRecord(2, Patch(listOf(Change.CancelMove(moveId))))).state()
                state.version shouldBe 3
                state.moves.getValue(moveId).phase shouldBe MovePhase.TAKEN_BACK
            }
        }

        describe("an entry at or below the offset of the state") {
            it("changes nothing") {
                val log = LogBuilder().add(patchRecord(0, basePatch))
                fold(log.state(), log.entries.first()) shouldBe log.state()
                fold(ConfigurationState.INITIAL, log.entries.first()) shouldBe log.state()
            }
        }
    })
