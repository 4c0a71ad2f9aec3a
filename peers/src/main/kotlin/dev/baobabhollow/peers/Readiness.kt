package dev.baobabhollow.peers

/** States whether a node may take calls and, if not, what it still needs. */
data class Readiness(
    val lacking: List<String>,
) {
    /** True if nothing is lacking. */
    val isReady: Boolean get() = lacking.isEmpty()
}
