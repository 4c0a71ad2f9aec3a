package dev.baobabhollow.calls

import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.MovePhase
import dev.baobabhollow.model.MoveState
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.UNKNOWN_RELEASE

/**
 * Routes calls to a service whose releases are known only from what its targets announce. [move] is the service's
 * newest ordered move. Its new release gets no share if [isHeld]. Targets in [evacuated] domains get no calls, but count
 * for the choice of the release, so that an evacuation does not route calls to a release that no order names.
 */
internal class AnnouncedReleaseRouter(
    private val move: MoveState?,
    private val isHeld: Boolean,
    private val evacuated: Set<FailureDomainId> = emptySet(),
) {
    fun route(
        id: ServiceId,
        config: ServiceConfig,
        targets: List<TargetEndpoint>,
        selfDomain: FailureDomainId?,
    ): RoutedService {
        val to = move?.plan?.to
        // A target of unknown release may have the old or the new one, so it cannot be used once a move is ordered.
        val (unknown, known) = targets.partition { it.release == UNKNOWN_RELEASE }
        val (new, old) = usable(known).partition { it.release == to }
        val current =
            when {
                move == null -> usable(mostAnnounced(known) + unknown)
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

    private fun usable(targets: List<TargetEndpoint>) = targets.filter { it.failureDomain !in evacuated }

    /**
     * Returns the targets of the release that most targets announce. Targets of a new release start before all nodes
     * know the order to move to it, and must not get calls until then.
     */
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
