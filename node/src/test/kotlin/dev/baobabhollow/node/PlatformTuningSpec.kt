package dev.baobabhollow.node

import com.github.michaelbull.result.unwrap
import dev.baobabhollow.model.Endpoint
import dev.baobabhollow.proxy.MeshProtocol
import dev.baobabhollow.proxy.ProxySettings
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import java.io.File

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

        describe("a node with a limit of open files") {
            fun maxConnections(openFiles: Int?): Int {
                val settings = parseSettings(RENDERED_SETTINGS).unwrap()
                return proxySettings(
                    settings.copy(limits = settings.limits.copy(openFiles = openFiles)),
                    MeshProtocol,
                ).maxConnections
            }

            // Guards against a node that cannot reach its target because callers' idle connections use up its files.
            it("leaves half of the files to what it opens itself") {
                maxConnections(4_100) shouldBe 2_050
            }

            it("follows the memory where there are more files") {
                maxConnections(Int.MAX_VALUE) shouldBe ProxySettings(Endpoint("127.0.0.1", 0)).maxConnections
            }

            it("reads the limit of the system, which may be unlimited or not known") {
                val limits = tempfile()
                val columns = listOf("Max cpu time unlimited unlimited seconds", "Max open files 1024 4096 files")
                limits.writeText(columns.joinToString("\n"))
                openFileLimit(limits) shouldBe 1_024
                limits.writeText("Max open files            unlimited            unlimited            files")
                openFileLimit(limits) shouldBe null
                openFileLimit(File(limits.path + ".missing")) shouldBe null
            }
        }
    })
