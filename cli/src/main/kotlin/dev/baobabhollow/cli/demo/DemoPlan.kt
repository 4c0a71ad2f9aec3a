package dev.baobabhollow.cli.demo

import dev.baobabhollow.model.Change
import dev.baobabhollow.model.MemberConfig
import dev.baobabhollow.model.MemberId
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MovePlan
import dev.baobabhollow.model.MovePriority
import dev.baobabhollow.model.Patch
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.RouteConfig
import dev.baobabhollow.model.RouteId
import dev.baobabhollow.model.ServiceConfig
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.node.MovePolicySettings

/** Nodes, configuration and load of the demo: the members of docs/design.md, section 2, at reduced size. */
internal object DemoPlan {
    private val ENREDADERA = MemberId("enredadera")
    private val PARGO = MemberId("pargo")
    private val OLD = ReleaseId("1")
    private val NEW = ReleaseId("2")
    val VITRINA = ServiceId("vitrina")
    val SHEETS = ServiceId("sheets")
    private val PEDIDOS = ServiceId("pedidos")
    private val LOTS = ServiceId("lots")
    val GOOD_MOVE = MoveId("sheets-to-2")
    val BAD_MOVE = MoveId("vitrina-to-2")

    /** Share of calls that fail at the bad release, whose health endpoint still reports "ok". */
    private const val BAD_ERROR_PERMILLE = 600
    const val COMPLETE_AFTER_MILLIS = 24_000L
    const val WATCH_AFTER_MILLIS = 25_000L

    val nodes: List<NodePlan> =
        listOf("antigua-1", "antigua-2").flatMap { domain ->
            listOf(
                NodePlan("$domain-vitrina-1", domain, "vitrina", "1"),
                NodePlan("$domain-vitrina-2", domain, "vitrina", "2", errorPermille = BAD_ERROR_PERMILLE),
                NodePlan("$domain-sheets-1", domain, "sheets", "1", slots = 6, connections = 130),
                NodePlan("$domain-sheets-2", domain, "sheets", "2", slots = 6, connections = 130),
            )
        } +
            listOf(
                NodePlan("antigua-1-pedidos-1", "antigua-1", "pedidos", "1"),
                NodePlan("antigua-2-lots-1", "antigua-2", "lots", "1", slots = 6, connections = 130),
            )

    /** Completes moves in seconds instead of hours; the first stage keeps its share of 1%. */
    private val fastPolicy =
        MovePolicySettings(
            rampPermille = listOf(10, 150, 500),
            provenCalls = 16,
            provenRouteCalls = 4,
            minProvenCalls = 8,
            stepCalls = 60,
            stepMillis = 1_500,
        )

    val policies: Map<MemberId, MovePolicySettings> = mapOf(ENREDADERA to fastPolicy, PARGO to fastPolicy)

    val firstConfiguration =
        Patch(
            listOf(
                Change.PutMember(ENREDADERA, MemberConfig("Enredadera Alambres S.A.", MovePriority.TAKE_BACK)),
                Change.PutMember(PARGO, MemberConfig("Pargo Datos S.R.L.", MovePriority.COMPLETION)),
                Change.PutService(VITRINA, ServiceConfig(ENREDADERA, setOf(OLD, NEW), OLD)),
                Change.PutService(PEDIDOS, ServiceConfig(ENREDADERA, setOf(OLD), OLD)),
                Change.PutService(SHEETS, ServiceConfig(PARGO, setOf(OLD, NEW), OLD)),
                Change.PutService(LOTS, ServiceConfig(PARGO, setOf(OLD), OLD)),
                Change.PutRoute(RouteId("vitrina"), RouteConfig(VITRINA, "/vitrina")),
                Change.PutRoute(RouteId("orders"), RouteConfig(PEDIDOS, "/pedidos/orders", idempotent = false)),
                Change.PutRoute(RouteId("sheets"), RouteConfig(SHEETS, "/sheets")),
                Change.PutRoute(RouteId("locks"), RouteConfig(LOTS, "/lots/locks", idempotent = false)),
            ),
        )

    val patch =
        Patch(listOf(Change.PutRoute(RouteId("stock"), RouteConfig(VITRINA, "/vitrina/stock", timeoutMillis = 1_000))))

    /** Names a service that does not exist, so the whole patch must be rejected. */
    val invalidPatch =
        Patch(
            listOf(
                Change.PutRoute(RouteId("prices"), RouteConfig(SHEETS, "/sheets/prices")),
                Change.PutRoute(RouteId("uploads"), RouteConfig(ServiceId("intake"), "/intake")),
            ),
        )

    /** Returns a patch that starts both moves at [nowMillis]. */
    fun moves(nowMillis: Long) =
        Patch(
            listOf(
                Change.StartMove(GOOD_MOVE, movePlan(SHEETS, nowMillis)),
                Change.StartMove(BAD_MOVE, movePlan(VITRINA, nowMillis)),
            ),
        )

    private fun movePlan(
        service: ServiceId,
        nowMillis: Long,
    ) = MovePlan(service, OLD, NEW, nowMillis, nowMillis + COMPLETE_AFTER_MILLIS, nowMillis + WATCH_AFTER_MILLIS)

    /** Routes called by the load generator. Calls on the last two must run at most once. */
    val load =
        listOf(
            LoadRoute("/vitrina/catalogue", "vitrina", 40),
            LoadRoute("/sheets/morning", "sheets", 50),
            LoadRoute("/pedidos/orders", "pedidos", 5, isAtMostOnce = true, hasKey = true),
            LoadRoute("/lots/locks", "lots", 5, isAtMostOnce = true),
        )
}

/**
 * A path that the load generator calls, the service that must respond, and its [percent] of all calls. Calls that must
 * run at most once ([isAtMostOnce]) carry an idempotency key if [hasKey] is set.
 */
internal data class LoadRoute(
    val path: String,
    val service: String,
    val percent: Int,
    val isAtMostOnce: Boolean = false,
    val hasKey: Boolean = false,
)
