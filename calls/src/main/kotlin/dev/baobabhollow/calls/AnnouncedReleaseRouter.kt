package dev.baobabhollow.calls

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.UNKNOWN_RELEASE

/**
 * Routes a service whose targets say which releases there are. [move] is its newest ordered move; while [isHeld], its new
 * release gets no share.
 */
internal class AnnouncedReleaseRouter(
    private val move: MoveState?,
    private val isHeld: Boolean,
) {
    fun route(
        id: ServiceId,
        config: ServiceConfig,
        targets: List<TargetEndpoint>,
        selfDomain: FailureDomainId?,
    ): RoutedService {
        val to = move?.plan?.to
        // A target of unknown release may be of either one, so a service with an ordered move cannot use it.
        val (unnamed, named) = targets.partition { it.release == UNKNOWN_RELEASE }
        val (new, old) = named.partition { it.release == to }
        val current =
            when {
                move == null -> mostAnnounced(named) + unnamed
                move.phase == MovePhase.DONE -> new.ifEmpty { old }
                else -> old
            }
        val isRunning = move != null && !move.phase.isFinal
        return RoutedService(
            id = id,
            config = config,
            current = releaseTargets(current, selfDomain),
            next = if (isRunning) releaseTargets(new, selfDomain) else null,
            nextPermille = if (move == null || !isRunning || isHeld) 0 else move.sharePermille,
        )
    }

    /** Targets of a new release start before the order to move to it is known everywhere, and must not get calls by it. */
    private fun mostAnnounced(targets: List<TargetEndpoint>): List<TargetEndpoint> {
        val byRelease = targets.groupBy { it.release }
        val most = byRelease.values.maxOfOrNull { it.size } ?: return emptyList()
        val release = byRelease.filterValues { it.size == most }.keys.min()
        return byRelease.getValue(release)
    }

    private fun releaseTargets(
        targets: List<TargetEndpoint>,
        selfDomain: FailureDomainId?,
    ) = RoutingTable.releaseTargets(targets.firstOrNull()?.release ?: NO_RELEASE, targets, selfDomain)

    private companion object {
        val NO_RELEASE = ReleaseId("none")
    }
}
