package dev.baobabhollow.peers

import dev.baobabhollow.configuration.RecordBatch
import dev.baobabhollow.configuration.StateTransfer
import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.FailureDomainId
import dev.baobabhollow.model.LogEntry
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.MoveId
import dev.baobabhollow.model.MoveOrder
import dev.baobabhollow.model.NodeId
import dev.baobabhollow.model.ReleaseId
import dev.baobabhollow.model.ServiceId
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import java.util.HexFormat

private val STATE =
    ConfigurationState(
        offset = 4,
        version = 2,
        orders = mapOf(ServiceId("s") to MoveOrder(MoveId("s/4"), ReleaseId("v2"), 100)),
    )
private val ENTRY = LogEntry(4, 0, LogRecord(WriterId("w"), 5, ConfigurationRecord(2, MeshConfig.EMPTY)))

private const val PULL_BYTES =
    "a3616e61616164617a6162826470756c6ca36b61667465724f6666736574076c74616b65734368616e676573" +
        "f56d74616b65734465666c61746564f5"
private const val NOTHING_BYTES =
    "a3616e61616164617a616282676e6f7468696e67a168706f736974696f6ea3616f0461760261686168"
private const val PUSH_BYTES =
    "a3616e61616164617a6162826470757368a1656261746368a26b61667465724f66667365740367656e747269" +
        "657381a3666f66667365740470617070656e64656441744d696c6c697300667265636f7264a3667772697465" +
        "7261776873657175656e63650564626f6479826d636f6e66696775726174696f6ea26776657273696f6e0264" +
        "6d657368a0"
private const val STATE_BYTES =
    "a3616e61616164617a616282657374617465a1687472616e73666572a2657374617465a3666f666673657404" +
        "6776657273696f6e02666f7264657273a16173a3646d6f766563732f346772656c656173656276326e647572" +
        "6174696f6e4d696c6c697318646b636f6e74656e74486173686168"

private fun hexOf(body: FrameBody): String =
    HexFormat.of().formatHex(PeerCodec.encode(PeerFrame(NodeId("a"), FailureDomainId("z"), body)))

class PeerEraCodecSpec :
    DescribeSpec({
        describe("a message of a log without eras") {
            // Guards against a change of the bytes between nodes where the log never returns from a copy. The expected
            // bytes are those of the version before eras.
            it("has the same bytes as before eras") {
                hexOf(Pull(7, takesChanges = true, takesDeflated = true)) shouldBe PULL_BYTES
                hexOf(NothingNew(Position(4, 2, "h"))) shouldBe NOTHING_BYTES
                hexOf(Push(RecordBatch(3, listOf(ENTRY)))) shouldBe PUSH_BYTES
                hexOf(WholeState(StateTransfer(STATE, "h"))) shouldBe STATE_BYTES
            }
        }
    })
