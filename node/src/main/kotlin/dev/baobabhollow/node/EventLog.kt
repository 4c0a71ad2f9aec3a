package dev.baobabhollow.node

import org.apache.logging.log4j.Level
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.MapMessage

/** System property with the node's name for each log line. Must be set before the first line is written. */
const val LOG_NODE_PROPERTY = "baobabhollow.node"

/** Writes log events with stable names and fields. `docs/OPERATIONS.md` lists them. */
object EventLog {
    private val logger = LogManager.getLogger("dev.baobabhollow.node")

    /** Writes [event] with [fields] at [level]. */
    fun write(
        event: String,
        vararg fields: Pair<String, Any?>,
        level: Level = Level.INFO,
        cause: Throwable? = null,
    ) {
        if (logger.isEnabled(level)) logger.log(level, EventMessage(event, fields.toList()), cause)
    }
}

private class EventMessage(
    event: String,
    fields: List<Pair<String, Any?>>,
) : MapMessage<EventMessage, Any>() {
    init {
        put("event", event)
        fields.forEach { (key, value) -> put(key, value.toString()) }
    }

    override fun newInstance(data: Map<String, Any>): EventMessage =
        EventMessage(data["event"].toString(), data.minus("event").toList())

    override fun getFormattedMessage(): String = data.entries.joinToString(" ") { "${it.key}=${it.value}" }
}
