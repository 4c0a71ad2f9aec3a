package dev.baobabhollow.node

import dev.baobabhollow.membership.FleetView
import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.ModelJson
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/**
 * Simulated network partitions: control messages from and to the failure domains in [dropControl] are dropped, and
 * calls are not sent to targets in the failure domains in [dropCalls].
 */
@Serializable
data class InjectedFaults(
    val dropControl: Set<FailureDomainId> = emptySet(),
    val dropCalls: Set<FailureDomainId> = emptySet(),
)

/** Holds the active faults. `POST /faults` replaces all of them, and an empty object clears them. */
internal class FaultInjection(
    private val onChange: (InjectedFaults) -> Unit,
) {
    @Volatile
    var faults = InjectedFaults()
        private set

    /** Replaces the faults by those in [body] and returns them as the response. */
    fun apply(body: String): OperatorResponse {
        val shapeErrors = runCatching { checkShape(ModelJson.parseToJsonElement(body), descriptor) }
        val errors = shapeErrors.getOrElse { listOf(ConfigError("$", "text", "JSON")) }
        if (errors.isNotEmpty()) return OperatorResponse(BAD_REQUEST, errorBody(errors.joinToString("; ")))
        return try {
            faults = ModelJson.decodeFromString(InjectedFaults.serializer(), body)
            onChange(faults)
            OperatorResponse(OK, OperatorJson.encodeToString(InjectedFaults.serializer(), faults))
        } catch (e: SerializationException) {
            OperatorResponse(BAD_REQUEST, errorBody(e.message.orEmpty()))
        }
    }

    /** Returns [view] without the nodes that the faults make unreachable for calls. */
    fun reachable(view: FleetView): FleetView {
        val dropped = faults.dropCalls
        if (dropped.isEmpty()) return view
        return view.copy(nodes = view.nodes.filterValues { it.failureDomain !in dropped || it.node == view.self })
    }

    private companion object {
        const val OK = 200
        const val BAD_REQUEST = 400
        val descriptor = InjectedFaults.serializer().descriptor
    }
}
