package dev.baobabhollow.node

import com.github.michaelbull.result.unwrap
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeLessThan

private const val IN_FORCE_MILLIS = 2_000L

class PlatformTuningSpec :
    DescribeSpec({
        describe("a node whose peers have all failed at once") {
            // Guards against a surviving node that waits for failed log readers past the deadline of a new version.
            it("reads the log itself early enough to put a version in force in time") {
                val settings = controlSettings(parseSettings(RENDERED_SETTINGS).unwrap())
                val worstMillis = settings.peerSilenceMillis + settings.membership.probePeriodMillis / 2
                worstMillis shouldBeLessThan IN_FORCE_MILLIS
            }
        }
    })
