package dev.baobabhollow.configuration

import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.ServiceObjective
import dev.baobabhollow.model.WarmUpConfig

private val IDENTIFIER = Regex("[a-z0-9][a-z0-9._-]{0,63}")
private val TIMEOUT_MILLIS = 1L..600_000L

/** Returns all errors in [mesh], or an empty list if the configuration is valid. */
fun validate(mesh: MeshConfig): List<ConfigError> =
    memberErrors(mesh) +
        mesh.services.flatMap { (id, service) -> serviceErrors(mesh, id, service) } +
        mesh.routes.flatMap { (id, route) -> routeErrors(mesh, id, route) } +
        duplicatePrefixErrors(mesh) +
        tenantErrors(mesh)

internal fun identifierErrors(
    path: String,
    value: String,
): List<ConfigError> {
    if (IDENTIFIER.matches(value)) return emptyList()
    return listOf(ConfigError(path, "\"$value\"", "1 to 64 characters of a-z, 0-9, '.', '_', '-'"))
}

private fun memberErrors(mesh: MeshConfig): List<ConfigError> =
    mesh.members.keys.flatMap { identifierErrors("$.members.$it", it.value) }

private fun serviceErrors(
    mesh: MeshConfig,
    id: ServiceId,
    service: ServiceConfig,
): List<ConfigError> {
    val path = "$.services.$id"
    return buildList {
        addAll(identifierErrors(path, id.value))
        service.releases.forEach { addAll(identifierErrors("$path.releases", it.value)) }
        if (service.member !in mesh.members) {
            add(ConfigError("$path.member", "\"${service.member}\"", "a member of the configuration"))
        }
        if (service.initialRelease !in service.releases) {
            add(ConfigError("$path.initialRelease", "\"${service.initialRelease}\"", "one of ${service.releases}"))
        }
        addAll(objectiveErrors("$path.objective", service.objective))
        service.warmUp?.let { addAll(warmUpErrors("$path.warmUp", it)) }
    }
}

private fun warmUpErrors(
    path: String,
    warmUp: WarmUpConfig,
): List<ConfigError> =
    buildList {
        val rate = warmUp.requestsPerSecond
        if (!rate.isFinite() || rate <= 0) add(ConfigError("$path.requestsPerSecond", "$rate", "more than 0"))
        val duration = warmUp.durationMillis
        if (duration < 1) add(ConfigError("$path.durationMillis", "$duration", "at least 1"))
    }

private fun objectiveErrors(
    path: String,
    objective: ServiceObjective,
): List<ConfigError> =
    buildList {
        if (!isFraction(objective.availability)) {
            add(ConfigError("$path.availability", "${objective.availability}", "a number above 0 and below 1"))
        }
        if (!isFraction(objective.fastShare)) {
            add(ConfigError("$path.fastShare", "${objective.fastShare}", "a number above 0 and below 1"))
        }
        if (objective.fastMillis < 1) {
            add(ConfigError("$path.fastMillis", "${objective.fastMillis}", "at least 1"))
        }
    }

private fun isFraction(value: Double): Boolean = value > 0.0 && value < 1.0

private fun routeErrors(
    mesh: MeshConfig,
    id: RouteId,
    route: RouteConfig,
): List<ConfigError> {
    val path = "$.routes.$id"
    return buildList {
        addAll(identifierErrors(path, id.value))
        if (route.service !in mesh.services) {
            add(ConfigError("$path.service", "\"${route.service}\"", "a service of the configuration"))
        }
        if (!route.pathPrefix.startsWith("/") || route.pathPrefix.any { it.isWhitespace() || it == '?' }) {
            add(ConfigError("$path.pathPrefix", "\"${route.pathPrefix}\"", "a path that starts with '/'"))
        }
        if (route.timeoutMillis !in TIMEOUT_MILLIS) {
            add(ConfigError("$path.timeoutMillis", "${route.timeoutMillis}", "$TIMEOUT_MILLIS milliseconds"))
        }
    }
}

private fun duplicatePrefixErrors(mesh: MeshConfig): List<ConfigError> =
    mesh.routes.entries
        .groupBy { it.value.pathPrefix }
        .filterValues { it.size > 1 }
        .map { (prefix, routes) ->
            val ids = routes.map { it.key }.sorted()
            ConfigError(
                "$.routes.${ids.last()}.pathPrefix",
                "\"$prefix\"",
                "a prefix other than that of ${ids.first()}",
            )
        }
