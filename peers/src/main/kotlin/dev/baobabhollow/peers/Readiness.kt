package dev.baobabhollow.peers

/** Says whether a node may take calls and, if not, what it lacks. */
data class Readiness(
    val lacking: List<String>,
) {
    /** Tells whether nothing is lacking. */
    val isReady: Boolean get() = lacking.isEmpty()
}
