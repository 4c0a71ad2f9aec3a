package dev.baobabhollow.node

import dev.baobabhollow.calls.AdmissionSettings
import dev.baobabhollow.calls.ColdTargetSettings
import dev.baobabhollow.calls.LeavingSettings
import dev.baobabhollow.calls.OutlierSettings
import dev.baobabhollow.calls.PickerSettings
import dev.baobabhollow.calls.QuotaSettings
import dev.baobabhollow.calls.RetryBudgetSettings
import dev.baobabhollow.calls.SelectionPolicy
import dev.baobabhollow.membership.MembershipSettings
import dev.baobabhollow.peers.ControlPlaneSettings
import dev.baobabhollow.proxy.CallProtocol
import dev.baobabhollow.proxy.ProxySettings
import kotlin.math.roundToInt
import kotlin.math.roundToLong

private const val FULL_PERMILLE = 1_000
private const val MICROS_PER_MILLI = 1_000

/**
 * Part of the shared retry budget that the nodes use for one service. Nested calls of a retried call count as retries
 * too, so two levels together use nine tenths. The rest covers the one retry that each node may always accumulate.
 */
private const val USED_RETRY_SHARE = 0.45

/** Retries that one node may accumulate if the settings state no slack. */
private const val SAVED_RETRIES = 2

/** Callers and entry nodes may use half of the open files, so that calls can still be forwarded. */
private const val CONNECTION_FILES_DIVISOR = 2

internal fun proxySettings(
    settings: NodeSettings,
    protocol: CallProtocol,
): ProxySettings {
    val base =
        ProxySettings(
            settings.addresses.callers,
            eventLoops = settings.limits.eventLoopThreads,
        ).withinFiles(settings)
    if (settings.platform == PlatformKind.OWN) return base
    val coldTargets = settings.coldTargets?.let { ColdTargetSettings(it.overShare, it.slack) }
    val retries = settings.retries ?: RetrySettings()
    return base.copy(
        protocol = protocol,
        callerService = settings.announcedTarget?.service,
        coldTargets = coldTargets,
        retriesServerErrors = true,
        sendsRemainingTime = true,
        infersCallAge = true,
        // A third of a target's heartbeat period, and longer than a node takes to read its configuration.
        notReadyRetryAfterMillis = 500,
        // Half of the time within which disconnected callers must be detected.
        maxLoopLagMillis = 250,
        chargesRefusals = false,
        keepAliveSeconds = 1,
        maxAttempts = 4,
        // Uploads of a few hundred kilobytes can be retried at another owner after a refusal.
        maxReplayBytes = 524_288,
        connectTimeoutMillis = 400,
        // Targets close idle connections after a few seconds, sometimes without notice.
        upstreamIdleMillis = 2_500,
        picker =
            PickerSettings(
                selectionPolicy = SelectionPolicy.SHORTEST_WAIT,
                slowStartMillis = 3_000,
                slowStartPermille = 400,
                leaving = settings.leaving?.let { leavingSettings(it) },
            ),
        outliers =
            OutlierSettings(
                windowMillis = 2_000,
                windowMinCalls = 10,
                windowErrorPermille = 300,
                baseEjectionMillis = 1_000,
                maxEjectionMillis = 4_000,
                probeMillis = 1_000,
            ),
        retries =
            RetryBudgetSettings(
                ratioPermille = (retries.share * USED_RETRY_SHARE * FULL_PERMILLE).toInt(),
                minimumPerSecond = 0,
                maxSavedRetries = SAVED_RETRIES,
                sharedSavedRetries = retries.slack?.let { it * USED_RETRY_SHARE },
            ),
        admission = AdmissionSettings(uploadSlotsPermille = FULL_PERMILLE, initialServiceMicros = 60_000),
    )
}

private fun ProxySettings.withinFiles(settings: NodeSettings): ProxySettings {
    val files = settings.limits.openFiles ?: openFileLimit() ?: return this
    return copy(maxConnections = minOf(maxConnections, files / CONNECTION_FILES_DIVISOR))
}

internal fun quotaSettings(quotas: QuotaLimitSettings) =
    QuotaSettings(quotas.windowSeconds, quotas.overShare, quotas.slack, quotas.failureDomains)

internal fun leavingSettings(weights: LeavingWeights) =
    LeavingSettings(
        intervalMillis = weights.intervalMillis,
        transitMicros = (weights.transitMillis * MICROS_PER_MILLI).roundToLong(),
        minSavedMicros = (weights.minSavedMillis * MICROS_PER_MILLI).roundToLong(),
        minSavedObjectivePermille = (weights.minSavedObjectiveShare * FULL_PERMILLE).roundToLong(),
        microsPerKilobyte = (weights.millisPerKilobyte * MICROS_PER_MILLI).roundToLong(),
        roomPermille = (weights.roomShare * FULL_PERMILLE).roundToInt(),
        maxStepPermille = (weights.maxStepShare * FULL_PERMILLE).roundToInt(),
        hysteresisPermille = (weights.hysteresisShare * FULL_PERMILLE).roundToInt(),
    )

internal fun controlSettings(settings: NodeSettings): ControlPlaneSettings {
    val base = ControlPlaneSettings(seeds = settings.seeds)
    if (settings.platform == PlatformKind.OWN) return base
    return base.copy(
        membership = MembershipSettings(urgentPeriodMillis = 100),
        // A configuration must be in force within two seconds of its acknowledgement, also in a failure domain of 12
        // nodes.
        pushFanOut = 8,
        pullJitterMillis = 60,
        announcesRecords = true,
        requestTimeoutMillis = 1_500,
        // The log readers of a failure domain may have crashed while membership still lists them as alive.
        peerSilenceMillis = 1_000,
        startGraceMillis = 0,
        longPollMillis = 15_000,
        // Together with the response time of 1.5 s it ends within the 3 s after a fault during which no bound applies.
        shortPollMillis = 750,
        appendTimeoutMillis = 2_000,
        maxBackoffMillis = 1_000,
        moveDecisionMillis = 200,
        summaryPeriodMillis = 200,
        leadDelayMillis = 1_500,
        leadSilenceMillis = 1_500,
        writesSnapshots = false,
    )
}
