package dev.baobabhollow.configuration.check

/**
 * Result of an exploration. [violation] is null if every invariant held in every visited state; [isComplete] is true if
 * all reachable states were visited.
 */
internal data class Exploration<S>(
    val states: Int,
    val transitions: Int,
    val isComplete: Boolean,
    val violation: Violation<S>?,
)

/** A broken invariant, and the shortest sequence of actions that leads to the [state] that breaks it. */
internal data class Violation<S>(
    val invariant: String,
    val trace: List<String>,
    val state: S,
)

/** An action called [name] and the [state] that it leads to. */
internal data class Transition<S>(
    val name: String,
    val state: S,
)

/** A model of a protocol: its initial state, its transitions and the invariants that each transition must keep. */
internal interface Protocol<S> {
    val initial: S

    fun next(state: S): List<Transition<S>>

    /** Returns the name of an invariant that the transition breaks, or null. */
    fun brokenInvariant(
        before: S,
        after: S,
    ): String?
}

/** Visits reachable states breadth first and stops at the first violation or after [stateLimit] states. */
internal fun <S> explore(
    protocol: Protocol<S>,
    stateLimit: Int = 2_000_000,
): Exploration<S> {
    val parents = HashMap<S, Pair<S, String>?>()
    val queue = ArrayDeque<S>()
    var transitions = 0
    parents[protocol.initial] = null
    queue.add(protocol.initial)
    while (queue.isNotEmpty() && parents.size < stateLimit) {
        val state = queue.removeFirst()
        for (step in protocol.next(state)) {
            transitions++
            val broken = protocol.brokenInvariant(state, step.state)
            if (broken != null) {
                val trace = traceTo(state, parents) + step.name
                return Exploration(parents.size, transitions, false, Violation(broken, trace, step.state))
            }
            if (step.state in parents) continue
            parents[step.state] = state to step.name
            queue.add(step.state)
        }
    }
    return Exploration(parents.size, transitions, queue.isEmpty(), null)
}

private fun <S> traceTo(
    state: S,
    parents: Map<S, Pair<S, String>?>,
): List<String> = generateSequence(parents[state]) { parents[it.first] }.map { it.second }.toList().reversed()
