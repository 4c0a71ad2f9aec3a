package dev.baobabhollow.peers

/** Source of a configuration state, as [text] in the log. */
internal enum class StateOrigin(
    val text: String,
) {
    LOG("log"),
    PEER("peer"),
}
