package dev.baobabhollow.calls

/** Decisions made under the lock of [Admission], whose callbacks are called after its release. */
internal class Decisions {
    private var tickets: ArrayList<Pair<Ticket, Refusal?>>? = null
    private var single: Ticket? = null
    private var singleRefusal: Refusal? = null

    fun add(
        ticket: Ticket,
        refusal: Refusal?,
    ) {
        if (single == null) {
            single = ticket
            singleRefusal = refusal
            return
        }
        val list = tickets ?: ArrayList<Pair<Ticket, Refusal?>>().also { tickets = it }
        list += ticket to refusal
    }

    fun announce() {
        single?.onDecision?.invoke(singleRefusal)
        tickets?.forEach { (ticket, refusal) -> ticket.onDecision(refusal) }
    }
}
