package dev.baobabhollow.node

import com.github.michaelbull.result.unwrap
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan

private const val IN_FORCE_MILLIS = 2_000L

class PlatformTuningSpec :
    DescribeSpec({
        describe("a node whose peers have all lost power") {
            // Guards against a survivor that waits for readers which are gone while a new version must come into force.
            it("turns to the log early enough for a version to be in force in time") {
                val settings = controlSettings(parseSettings(RENDERED_SETTINGS).unwrap())
                val worstMillis = settings.peerSilenceMillis + settings.membership.probePeriodMillis / 2
                worstMillis shouldBeLessThan IN_FORCE_MILLIS
            }
        }
    })
