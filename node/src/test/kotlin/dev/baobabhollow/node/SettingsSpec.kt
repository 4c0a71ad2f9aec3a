package dev.baobabhollow.node

import com.github.michaelbull.result.unwrap
import com.github.michaelbull.result.unwrapError
import dev.baobabhollow.calls.LeavingSettings
import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.Endpoint
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe

private val GOOD =
    """
    {"node":"v1","failureDomain":"a","platformLog":"127.0.0.1:7000","seeds":["127.0.0.1:7103"],
     "addresses":{"callers":"127.0.0.1:7101","peerCalls":"127.0.0.1:7102","control":"127.0.0.1:7103",
                  "operator":"127.0.0.1:7104"},
     "target":{"endpoint":"127.0.0.1:7200","service":"vitrina","release":"7","slots":12,"connections":100}}
    """.trimIndent()

internal val RENDERED_SETTINGS =
    """
    {"node":"sidecar-antigua-a-1","failureDomain":"antigua-a","platform":"consortium","platformLog":"10.200.1.7:8309",
     "addresses":{"callers":"10.1.0.8:8304","peerCalls":"10.1.0.8:8300","control":"10.1.0.8:7620",
                  "operator":"10.1.0.8:7635"},
     "readiness":"10.1.0.8:8302",
     "announcedTarget":{"endpoint":"10.1.0.8:8301","service":"huvo11a","announcements":"10.1.0.8:8306",
                        "heartbeatSeconds":1.5},
     "retries":{"share":0.2,"slack":56},"limits":{"stopWithinSeconds":6}}
    """.trimIndent()

class SettingsSpec :
    DescribeSpec({
        describe("node settings") {
            it("accepts complete settings, so that validation never rejects a valid file") {
                val settings = parseSettings(GOOD).unwrap()
                settings.addresses.callers shouldBe Endpoint("127.0.0.1", 7101)
                settings.faultInjection shouldBe false
            }

            it("reports every error at once with its path, not only the first") {
                val bad =
                    """
                    {"node":"v1","platformLog":"log.example:7000","seeds":["127.0.0.1:99999"],
                     "addresses":{"callers":"127.0.0.1:7101","peerCalls":7102,"control":"127.0.0.1:7103",
                                  "operator":"127.0.0.1:7104"},
                     "target":{"endpoint":"127.0.0.1:7200","service":"vitrina","release":"7","slots":"12",
                               "conections":100}}
                    """.trimIndent()
                parseSettings(bad).unwrapError().map { it.path } shouldContainExactlyInAnyOrder
                    listOf(
                        "$.failureDomain",
                        "$.platformLog",
                        "$.seeds[0]",
                        "$.addresses.peerCalls",
                        "$.target.slots",
                        "$.target.conections",
                        "$.target.connections",
                    )
            }

            it("accepts settings rendered from the deployment template") {
                val settings = parseSettings(RENDERED_SETTINGS).unwrap()
                settings.platform shouldBe PlatformKind.CONSORTIUM
                settings.announcedTarget?.heartbeatSeconds shouldBe 1.5
                settings.limits.stopWithinSeconds shouldBe 6.0
            }

            it("reads quotas, and states every error in them with its path") {
                val quotas = """"quotas":{"overShare":0.1,"slack":20,"windowSeconds":5},"limits":"""
                val settings = parseSettings(RENDERED_SETTINGS.replace("\"limits\":", quotas)).unwrap()
                settings.quotas shouldBe QuotaLimitSettings(windowSeconds = 5.0, overShare = 0.1, slack = 20.0)
                parseSettings(RENDERED_SETTINGS).unwrap().quotas shouldBe null
                val bad = """"quotas":{"overShare":-1,"slack":-2,"windowSeconds":0,"failureDomains":0},"limits":"""
                val errors = parseSettings(RENDERED_SETTINGS.replace("\"limits\":", bad)).unwrapError()
                errors.map { it.path } shouldContainExactlyInAnyOrder
                    listOf("windowSeconds", "overShare", "slack", "failureDomains").map { "$.quotas.$it" }
            }

            // Guards against nodes that fail to start because the platform renders a limit as a fraction.
            it("accepts fractional limits of the platform") {
                val text = RENDERED_SETTINGS.replace("\"slack\":56", "\"slack\":35.18518518518518")
                parseSettings(text).unwrap().retries?.slack shouldBe 35.18518518518518
            }

            it("requires announcedTarget on the consortium's platform and validates its values") {
                val without = RENDERED_SETTINGS.replace(Regex("\"announcedTarget\":\\{[^}]*},"), "")
                parseSettings(without).unwrapError().map { it.path } shouldBe listOf("$.announcedTarget")
                val negative =
                    RENDERED_SETTINGS
                        .replace("\"share\":0.2", "\"share\":-1")
                        .replace("\"slack\":56", "\"slack\":-2")
                        .replace("1.5", "0")
                parseSettings(negative).unwrapError().map { it.path } shouldContainExactlyInAnyOrder
                    listOf("$.announcedTarget.heartbeatSeconds", "$.retries.share", "$.retries.slack")
            }

            // Guards against a limit in deployments that state none, and against an invalid one that admits nothing.
            it("accepts the bound for cold targets, has none by default and validates its values") {
                parseSettings(RENDERED_SETTINGS).unwrap().coldTargets shouldBe null
                val bound = "\"coldTargets\":{\"overShare\":1.5,\"slack\":8},\"limits\""
                val text = RENDERED_SETTINGS.replace("\"limits\"", bound)
                parseSettings(text).unwrap().coldTargets shouldBe ColdTargetLimits(1.5, 8.0)
                val bad = text.replace(":1.5,\"slack\":8", ":0,\"slack\":-1")
                parseSettings(bad).unwrapError().map { it.path } shouldContainExactlyInAnyOrder
                    listOf("$.coldTargets.overShare", "$.coldTargets.slack")
                parseSettings(text.replace(",\"slack\":8", "")).unwrapError().map { it.path } shouldBe
                    listOf("$.coldTargets.slack")
            }

            // Guards against a changed selection in deployments that do not ask for it, and against weights with which the
            // share of calls that leave never moves, swings or divides by zero.
            it("accepts the weights for leaving the failure domain, has none by default and validates each") {
                parseSettings(RENDERED_SETTINGS).unwrap().leaving shouldBe null
                val some = RENDERED_SETTINGS.replace("\"limits\"", "\"leaving\":{\"transitMillis\":2.5},\"limits\"")
                val weights = parseSettings(some).unwrap().leaving!!
                weights shouldBe LeavingWeights(transitMillis = 2.5)
                leavingSettings(LeavingWeights()) shouldBe LeavingSettings()
                leavingSettings(weights).transitMicros shouldBe 2_500
                val bad =
                    "\"intervalMillis\":0,\"transitMillis\":-1,\"minSavedMillis\":0,\"minSavedObjectiveShare\":2," +
                        "\"millisPerKilobyte\":-1,\"roomShare\":0,\"maxStepShare\":0,\"hysteresisShare\":-1"
                val names = Regex("\"(\\w+)\"").findAll(bad).map { "$.leaving.${it.groupValues[1]}" }
                val errors = parseSettings(some.replace("\"transitMillis\":2.5", bad)).unwrapError()
                errors.map { it.path } shouldContainExactlyInAnyOrder names.toList()
            }

            it("suggests the nearest known key for a misspelt one") {
                val errors = parseSettings(GOOD.replace("\"seeds\"", "\"seds\"")).unwrapError()
                errors shouldBe listOf(ConfigError("$.seds", "unknown key \"seds\"", "\"seeds\" or no such key"))
            }

            it("rejects values of the right type that are invalid") {
                val bad = GOOD.replace("\"slots\":12", "\"slots\":0").replace("127.0.0.1:7102", "127.0.0.1:7101")
                parseSettings(bad).unwrapError().map { it.toString() } shouldContainExactlyInAnyOrder
                    listOf(
                        "$.target.slots: found 0, expected at least 1",
                        "$.addresses.peerCalls: found \"127.0.0.1:7101\", " +
                            "expected an endpoint other than that of callers",
                    )
            }

            it("reports text that is not JSON instead of throwing") {
                parseSettings("{").unwrapError().single().expected shouldBe "JSON"
            }
        }

        describe("detection of the document kind") {
            it("validates a patch as a patch and suggests the nearest change type") {
                val (kind, errors) = checkDocument("""{"changes":[{"type":"putRoutes","route":"r"}]}""")
                kind shouldBe DocumentKind.PATCH
                errors.single().path shouldBe "$.changes[0].type"
                errors.single().expected.endsWith("the nearest is \"putRoute\"") shouldBe true
            }

            it("validates a mesh configuration by its own rules") {
                val text =
                    """{"members":{},"services":{"s":{"member":"m","releases":["1"],"initialRelease":"1"}},"routes":{}}"""
                val (kind, errors) = checkDocument(text)
                kind shouldBe DocumentKind.MESH
                errors.map { it.path } shouldBe listOf("$.services.s.member")
            }

            it("recognises settings") {
                val (kind, errors) = checkDocument(GOOD)
                kind shouldBe DocumentKind.SETTINGS
                errors.shouldBeEmpty()
            }
        }
    })
