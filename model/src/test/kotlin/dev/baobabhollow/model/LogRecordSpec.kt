package dev.baobabhollow.model

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class LogRecordSpec :
    DescribeSpec({
        describe("a log record") {
            // Guards against a field that is written to the log but lost when it is read back.
            it("survives encoding to JSON and back") {
                val plan = MovePlan(ServiceId("vitrina"), ReleaseId("7"), ReleaseId("8"), 1, 2, 3)
                val patch =
                    Patch(
                        listOf(
                            Change.PutMember(MemberId("enredadera"), MemberConfig("Enredadera")),
                            Change.StartMove(MoveId("m-1"), plan),
                        ),
                    )
                val record = LogRecord(WriterId("w"), 1, PatchRecord(0, "ana", patch))
                ModelJson.decodeFromString<LogRecord>(ModelJson.encodeToString(record)) shouldBe record
            }

            it("carries a snapshot of the whole state") {
                val state =
                    ConfigurationState(
                        offset = 3,
                        version = 2,
                        currentReleases = mapOf(ServiceId("a") to ReleaseId("1")),
                    )
                val record = LogRecord(WriterId("w"), 2, SnapshotRecord(3, "hash", state))
                ModelJson.decodeFromString<LogRecord>(ModelJson.encodeToString(record)) shouldBe record
            }
        }
    })
