package dev.baobabhollow.node

import dev.baobabhollow.model.ConfigError

/** Longer times than any call takes would keep all calls in their domain. */
private const val MAX_LEAVING_MILLIS = 60_000.0
private const val MIN_LEAVING_SHARE = 0.01
private val IDENTIFIER = Regex("[a-z0-9][a-z0-9._-]{0,63}")

/** Returns every error in the values of [settings]. Missing keys and wrong types are found earlier, by [checkShape]. */
fun validate(settings: NodeSettings): List<ConfigError> =
    buildList {
        addAll(identifier("$.node", settings.node.value))
        addAll(identifier("$.failureDomain", settings.failureDomain.value))
        addAll(addressErrors(settings.addresses))
        settings.target?.let { addAll(targetErrors(it)) }
        addAll(policyErrors(settings))
        addAll(limitErrors(settings.limits))
        addAll(announcedErrors(settings))
        settings.retries?.let { addAll(retryErrors(it)) }
        settings.quotas?.let { addAll(quotaErrors(it)) }
        settings.coldTargets?.let { addAll(coldErrors(it)) }
        settings.leaving?.let { addAll(leavingErrors(it)) }
    }

private fun announcedErrors(settings: NodeSettings): List<ConfigError> =
    buildList {
        val announced = settings.announcedTarget
        if (announced == null && settings.platform == PlatformKind.CONSORTIUM) {
            add(ConfigError("$.announcedTarget", "nothing", "the target on the VM of the node"))
        }
        if (announced == null) return@buildList
        addAll(identifier("$.announcedTarget.service", announced.service.value))
        if (settings.target != null) add(ConfigError("$.target", "a target", "no target if announcedTarget is set"))
        if (announced.heartbeatSeconds <= 0) {
            val found = "${announced.heartbeatSeconds}"
            add(ConfigError("$.announcedTarget.heartbeatSeconds", found, "more than 0"))
        }
    }

private fun retryErrors(retries: RetrySettings): List<ConfigError> =
    buildList {
        if (retries.share < 0) add(ConfigError("$.retries.share", "${retries.share}", "0 or more"))
        retries.slack?.let { if (it < 0) add(ConfigError("$.retries.slack", "$it", "0 or more")) }
    }

private fun quotaErrors(quotas: QuotaLimitSettings): List<ConfigError> =
    buildList {
        val window = quotas.windowSeconds
        if (window <= 0) add(ConfigError("$.quotas.windowSeconds", "$window", "more than 0"))
        if (quotas.overShare < 0) add(ConfigError("$.quotas.overShare", "${quotas.overShare}", "0 or more"))
        if (quotas.slack < 0) add(ConfigError("$.quotas.slack", "${quotas.slack}", "0 or more"))
        addAll(atLeastOne("$.quotas.failureDomains", quotas.failureDomains.toLong()))
    }

private fun coldErrors(limits: ColdTargetLimits): List<ConfigError> =
    buildList {
        if (limits.overShare <= 0) add(ConfigError("$.coldTargets.overShare", "${limits.overShare}", "more than 0"))
        if (limits.slack < 0) add(ConfigError("$.coldTargets.slack", "${limits.slack}", "0 or more"))
    }

private fun leavingErrors(weights: LeavingWeights): List<ConfigError> =
    buildList {
        addAll(atLeastOne("$.leaving.intervalMillis", weights.intervalMillis))
        val ranges =
            listOf(
                Triple("transitMillis", weights.transitMillis, 0.0..MAX_LEAVING_MILLIS),
                // The required saving is a divisor.
                Triple("minSavedMillis", weights.minSavedMillis, 1.0..MAX_LEAVING_MILLIS),
                Triple("minSavedObjectiveShare", weights.minSavedObjectiveShare, 0.0..1.0),
                Triple("millisPerKilobyte", weights.millisPerKilobyte, 0.0..MAX_LEAVING_MILLIS),
                Triple("roomShare", weights.roomShare, MIN_LEAVING_SHARE..1.0),
                Triple("maxStepShare", weights.maxStepShare, MIN_LEAVING_SHARE..1.0),
                Triple("hysteresisShare", weights.hysteresisShare, 0.0..1.0),
            )
        ranges.forEach { (name, value, range) ->
            if (value !in range) {
                add(ConfigError("$.leaving.$name", "$value", "${range.start} to ${range.endInclusive}"))
            }
        }
    }

private fun identifier(
    path: String,
    value: String,
): List<ConfigError> {
    if (IDENTIFIER.matches(value)) return emptyList()
    return listOf(ConfigError(path, "\"$value\"", "1 to 64 characters of a-z, 0-9, '.', '_', '-'"))
}

private fun addressErrors(addresses: AddressSettings): List<ConfigError> {
    val named =
        listOf(
            "callers" to addresses.callers,
            "peerCalls" to addresses.peerCalls,
            "control" to addresses.control,
            "operator" to addresses.operator,
        )
    return named.flatMapIndexed { index, (name, endpoint) ->
        val other = named.take(index).firstOrNull { it.second == endpoint } ?: return@flatMapIndexed emptyList()
        listOf(ConfigError("$.addresses.$name", "\"$endpoint\"", "an endpoint other than that of ${other.first}"))
    }
}

private fun targetErrors(target: TargetSettings): List<ConfigError> =
    buildList {
        addAll(identifier("$.target.service", target.service.value))
        addAll(identifier("$.target.release", target.release.value))
        addAll(atLeastOne("$.target.slots", target.slots.toLong()))
        addAll(atLeastOne("$.target.connections", target.connections.toLong()))
        addAll(atLeastOne("$.target.healthIntervalMillis", target.healthIntervalMillis))
        addAll(atLeastOne("$.target.healthTimeoutMillis", target.healthTimeoutMillis))
        val path = target.healthPath
        if (path != null && !path.startsWith("/")) {
            add(ConfigError("$.target.healthPath", "\"$path\"", "a path that starts with '/'"))
        }
    }

private fun limitErrors(limits: LimitSettings): List<ConfigError> =
    listOfNotNull(
        "eventLoopThreads" to limits.eventLoopThreads.toLong(),
        "drainMillis" to limits.drainMillis,
        "verdictWaitMillis" to limits.verdictWaitMillis,
        "operatorBodyBytes" to limits.operatorBodyBytes.toLong(),
        limits.openFiles?.let { "openFiles" to it.toLong() },
    ).flatMap { (name, value) -> atLeastOne("$.limits.$name", value) }

private fun atLeastOne(
    path: String,
    value: Long,
): List<ConfigError> = if (value >= 1) emptyList() else listOf(ConfigError(path, "$value", "at least 1"))
