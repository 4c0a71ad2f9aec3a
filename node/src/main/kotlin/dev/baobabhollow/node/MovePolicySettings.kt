package dev.baobabhollow.node

import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.moves.MovePolicy
import kotlinx.serialization.Serializable

/**
 * Overrides values of the move policy that a member's priority selects. All nodes need the same values, because any
 * node may come to lead a move. See [MovePolicy] for the meaning of each value.
 */
@Serializable
data class MovePolicySettings(
    val falseAlarmRate: Double? = null,
    val rampPermille: List<Int>? = null,
    val provenCalls: Long? = null,
    val provenRouteCalls: Long? = null,
    val minProvenCalls: Long? = null,
    val provingShare: Double? = null,
    val stepCalls: Long? = null,
    val stepMillis: Long? = null,
    val marginShare: Double? = null,
    val windowMillis: Long? = null,
    val graceMillis: Long? = null,
    val warmUpCalls: Long? = null,
    val warmUpMillis: Long? = null,
)

/** Returns the preset for [priority] with these overrides. Throws [IllegalArgumentException] if they are inconsistent. */
internal fun MovePolicySettings.policy(priority: MovePriority): MovePolicy {
    val preset = MovePolicy.of(priority)
    return preset.copy(
        falseAlarmRate = falseAlarmRate ?: preset.falseAlarmRate,
        rampPermille = rampPermille ?: preset.rampPermille,
        provenCalls = provenCalls ?: preset.provenCalls,
        provenRouteCalls = provenRouteCalls ?: preset.provenRouteCalls,
        minProvenCalls = minProvenCalls ?: preset.minProvenCalls,
        provingShare = provingShare ?: preset.provingShare,
        stepCalls = stepCalls ?: preset.stepCalls,
        stepMillis = stepMillis ?: preset.stepMillis,
        marginShare = marginShare ?: preset.marginShare,
        windowMillis = windowMillis ?: preset.windowMillis,
        graceMillis = graceMillis ?: preset.graceMillis,
        warmUpCalls = warmUpCalls ?: preset.warmUpCalls,
        warmUpMillis = warmUpMillis ?: preset.warmUpMillis,
    )
}

internal fun policyErrors(settings: NodeSettings): List<ConfigError> =
    settings.members.flatMap { (member, policy) ->
        MovePriority.entries
            .mapNotNull { priority ->
                runCatching { policy.policy(priority) }.exceptionOrNull()?.let {
                    ConfigError("$.members.$member", it.message.orEmpty(), "consistent values")
                }
            }.distinct()
    }
