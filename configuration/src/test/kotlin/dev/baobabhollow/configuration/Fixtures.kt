package dev.baobabhollow.configuration

import dev.baobabhollow.model.Change
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveEvidence
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveStageRecord
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.PatchRecord
import dev.baobabhollow.model.RecordBody
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.WriterId

internal val enredadera = MemberId("enredadera")
internal val vitrina = ServiceId("vitrina")
internal val oldRelease = ReleaseId("7")
internal val newRelease = ReleaseId("8")
internal val moveId = MoveId("m-1")

internal fun service(releases: List<ReleaseId>) =
    ServiceConfig(enredadera, releases.toSet(), initialRelease = releases.first())

internal val basePatch =
    Patch(
        listOf(
            Change.PutMember(enredadera, MemberConfig("Enredadera Alambres S.A.")),
            Change.PutService(vitrina, service(listOf(oldRelease, newRelease))),
            Change.PutRoute(RouteId("catalogue"), RouteConfig(vitrina, "/vitrina")),
        ),
    )

internal fun routePatch(
    route: String,
    service: ServiceId = vitrina,
) = Patch(listOf(Change.PutRoute(RouteId(route), RouteConfig(service, "/$route"))))

internal fun movePatch(plan: MovePlan = plan()) = Patch(listOf(Change.StartMove(moveId, plan)))

internal fun plan(
    startAtMillis: Long = 0,
    completeByMillis: Long = 1_000_000,
    watchUntilMillis: Long = 1_000_000,
) = MovePlan(vitrina, oldRelease, newRelease, startAtMillis, completeByMillis, watchUntilMillis)

internal fun stage(
    follows: Int,
    phase: MovePhase,
    sharePermille: Int,
    reason: String = "test",
) = MoveStageRecord(moveId, follows, phase, sharePermille, reason, MoveEvidence.NONE)

internal fun patchRecord(
    baseVersion: Long,
    patch: Patch,
    operator: String = "ana",
) = PatchRecord(baseVersion, operator, patch)

/** Builds entries with ascending offsets, by default one second apart and each from a new writer. */
internal class LogBuilder {
    private val list = mutableListOf<LogEntry>()

    val entries: List<LogEntry> get() = list

    fun add(
        body: RecordBody,
        writer: String = "writer-${list.size}",
        sequence: Long = 1,
        atMillis: Long = list.size * 1_000L,
    ): LogBuilder {
        list += LogEntry(list.size.toLong(), atMillis, LogRecord(WriterId(writer), sequence, body))
        return this
    }

    fun state(): ConfigurationState = list.fold(ConfigurationState.INITIAL, ::fold)
}
