package dev.baobabhollow.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import dev.baobabhollow.model.Change
import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.TenantConfig
import dev.baobabhollow.model.TenantId

/**
 * Returns [state] with all changes of [patch] applied and the next version, or every error found. A patch is applied as
 * a whole or not at all.
 */
fun applyPatch(
    state: ConfigurationState,
    patch: Patch,
    operator: String,
    nowMillis: Long,
): Result<ConfigurationState, List<ConfigError>> {
    if (patch.changes.isEmpty()) return Err(listOf(ConfigError("$.changes", "an empty list", "at least one change")))
    val errors = mutableListOf<ConfigError>()
    val changed =
        patch.changes.foldIndexed(state) { index, current, change ->
            ChangeApplier("$.changes[$index]", operator, nowMillis, errors).apply(current, change)
        }
    errors += validate(changed.mesh)
    errors += releasesInUseErrors(changed)
    if (errors.isNotEmpty()) return Err(errors.distinct())
    return Ok(changed.copy(version = state.version + 1))
}

private class ChangeApplier(
    private val path: String,
    private val operator: String,
    private val nowMillis: Long,
    private val errors: MutableList<ConfigError>,
) {
    fun apply(
        state: ConfigurationState,
        change: Change,
    ): ConfigurationState =
        when (change) {
            is Change.PutMember -> {
                state.withMesh { copy(members = members + (change.member to change.config)) }
            }

            is Change.RemoveMember -> {
                checkExists(change.member in state.mesh.members, "member", change.member.value)
                state.withMesh { copy(members = members - change.member) }
            }

            is Change.PutService -> {
                putService(state, change)
            }

            is Change.RemoveService -> {
                checkExists(change.service in state.mesh.services, "service", change.service.value)
                state
                    .withMesh { copy(services = services - change.service) }
                    .copy(currentReleases = state.currentReleases - change.service)
            }

            is Change.PutRoute -> {
                state.withMesh { copy(routes = routes + (change.route to change.config)) }
            }

            is Change.RemoveRoute -> {
                checkExists(change.route in state.mesh.routes, "route", change.route.value)
                state.withMesh { copy(routes = routes - change.route) }
            }

            is Change.PutTenant -> {
                state.withTenants(state.mesh.tenants + (change.tenant to change.config))
            }

            is Change.RemoveTenant -> {
                checkExists(change.tenant in state.mesh.tenants, "tenant", change.tenant.value)
                state.withTenants(state.mesh.tenants - change.tenant)
            }

            is Change.StartMove -> {
                startMove(state, change)
            }

            is Change.CancelMove -> {
                cancelMove(state, change)
            }
        }

    private fun putService(
        state: ConfigurationState,
        change: Change.PutService,
    ): ConfigurationState {
        val current = state.currentReleases[change.service] ?: change.config.initialRelease
        return state
            .withMesh { copy(services = services + (change.service to change.config)) }
            .copy(currentReleases = state.currentReleases + (change.service to current))
    }

    private fun startMove(
        state: ConfigurationState,
        change: Change.StartMove,
    ): ConfigurationState {
        val moveErrors = moveErrors(state, change)
        errors += moveErrors
        if (moveErrors.isNotEmpty()) return state
        val move = MoveState(change.plan, startedBy = operator, stageAtMillis = nowMillis)
        return state.copy(moves = state.moves + (change.move to move))
    }

    private fun moveErrors(
        state: ConfigurationState,
        change: Change.StartMove,
    ): List<ConfigError> {
        val plan = change.plan
        return buildList {
            addAll(identifierErrors("$path.move", change.move.value))
            if (change.move in state.moves) {
                add(ConfigError("$path.move", "\"${change.move}\"", "an identifier that no earlier move has"))
            }
            addAll(planErrors(state, plan))
            state.runningMove(plan.service)?.let {
                add(ConfigError("$path.plan.service", "\"${plan.service}\"", "a service without the running move $it"))
            }
        }
    }

    private fun planErrors(
        state: ConfigurationState,
        plan: MovePlan,
    ): List<ConfigError> =
        buildList {
            val service = state.mesh.services[plan.service]
            val current = state.currentReleases[plan.service]
            if (service == null) {
                add(ConfigError("$path.plan.service", "\"${plan.service}\"", "a service of the configuration"))
            } else {
                if (plan.from != current) add(ConfigError("$path.plan.from", "\"${plan.from}\"", "\"$current\""))
                if (plan.to !in service.releases || plan.to == plan.from) {
                    add(ConfigError("$path.plan.to", "\"${plan.to}\"", "another of ${service.releases}"))
                }
            }
            val earliestEnd = maxOf(plan.startAtMillis, nowMillis)
            if (plan.completeByMillis <= earliestEnd) {
                val expected = "a time after startAtMillis and after $nowMillis"
                add(ConfigError("$path.plan.completeByMillis", "${plan.completeByMillis}", expected))
            }
            if (plan.watchUntilMillis < plan.completeByMillis) {
                add(ConfigError("$path.plan.watchUntilMillis", "${plan.watchUntilMillis}", "completeByMillis or later"))
            }
        }

    private fun cancelMove(
        state: ConfigurationState,
        change: Change.CancelMove,
    ): ConfigurationState {
        val move = state.moves[change.move]
        if (move == null || move.phase.isFinal) {
            errors += ConfigError("$path.move", "\"${change.move}\"", "a move that has not finished")
            return state
        }
        val cancelled =
            move.copy(
                stage = move.stage + 1,
                phase = MovePhase.TAKEN_BACK,
                sharePermille = 0,
                reason = "cancelled by $operator",
                stageAtMillis = nowMillis,
            )
        return state.copy(moves = state.moves + (change.move to cancelled))
    }

    private fun checkExists(
        exists: Boolean,
        key: String,
        value: String,
    ) {
        if (!exists) errors += ConfigError("$path.$key", "\"$value\"", "a $key of the configuration")
    }
}

/** Returns the identifier of the unfinished move of [service], or null if there is none. */
fun ConfigurationState.runningMove(service: ServiceId) =
    moves.entries.firstOrNull { !it.value.phase.isFinal && it.value.plan.service == service }?.key

private fun releasesInUseErrors(state: ConfigurationState): List<ConfigError> =
    buildList {
        state.currentReleases.forEach { (id, release) ->
            val service = state.mesh.services[id] ?: return@forEach
            if (release !in service.releases) {
                add(ConfigError("$.services.$id.releases", "${service.releases}", "\"$release\", which has traffic"))
            }
        }
        state.moves.filterValues { !it.phase.isFinal }.forEach { (id, move) ->
            val releases =
                state.mesh.services[move.plan.service]
                    ?.releases
                    .orEmpty()
            if (!releases.containsAll(listOf(move.plan.from, move.plan.to))) {
                val needed = "${move.plan.from} and ${move.plan.to}, which the running move $id uses"
                add(ConfigError("$.services.${move.plan.service}.releases", "$releases", needed))
            }
        }
    }

private fun ConfigurationState.withTenants(tenants: Map<TenantId, TenantConfig>) =
    withMesh { copy(tenants = tenants, isTenantListEmpty = tenants.isEmpty()) }

private inline fun ConfigurationState.withMesh(change: MeshConfig.() -> MeshConfig) = copy(mesh = mesh.change())
