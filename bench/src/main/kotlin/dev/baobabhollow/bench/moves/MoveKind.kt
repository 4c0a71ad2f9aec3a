package dev.baobabhollow.bench.moves

/** Kind of simulated move. [isBadFromStart] is true if the fault of a bad release is present from its first call. */
enum class MoveKind(
    val label: String,
    val isBad: Boolean,
    val isBadFromStart: Boolean = false,
) {
    BAD_AT_ONCE("bad at once", true, true),
    BAD_LATER("bad later", true),
    BAD_UNDER_LOAD("bad only under load", true),
    BAD_ON_RARE_ROUTE("bad on one rare route", true, true),
    SLOW("slow and not failing", true, true),
    WORSENING("gradual worsening", true),
    BAD_REPORTED_HEALTHY("bad, health and load endpoints say good", true, true),
    BAD_WITH_LITTLE_TRAFFIC("bad, too little traffic", true, true),
    GOOD("good", false),
    GOOD_COLD("good on cold targets", false),
    GOOD_IN_ILL_DOMAIN("good while a domain is ill", false),
    GOOD_WHILE_SHEDDING("good while a target sheds load", false),
    GOOD_REPORTED_ILL("good, health and load endpoints say bad", false),
    GOOD_WITH_LITTLE_TRAFFIC("good, too little traffic", false),
    TWO_MOVES_GOOD("two moves at once: the good one", false),
    TWO_MOVES_BAD("two moves at once: the bad one", true, true),
    ;

    /** Kind of a simultaneous move of another service, or null. */
    internal val companionKind: MoveKind?
        get() =
            when (this) {
                TWO_MOVES_GOOD -> TWO_MOVES_BAD
                TWO_MOVES_BAD -> TWO_MOVES_GOOD
                else -> null
            }

    /** Factor on the call rate of the service. */
    internal val trafficFactor: Double
        get() = if (this == BAD_WITH_LITTLE_TRAFFIC || this == GOOD_WITH_LITTLE_TRAFFIC) LITTLE_TRAFFIC else 1.0

    private companion object {
        const val LITTLE_TRAFFIC = 0.01
    }
}
