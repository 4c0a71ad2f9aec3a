package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

/** Guards against a response without a valid status that reaches the caller. */
class ResponseStatusSpec :
    DescribeSpec({
        describe("a status that is not a final one of three digits from 200 to 599") {
            listOf(
                "000",
                "099",
                "600",
                "999",
                "0200",
                "00200",
                "+200",
                "-200",
                "20",
                "2",
                "2 00",
                "20x",
                "\u0662\u0660\u0660",
            ).forEach { status ->
                it("is an error with unknown outcome: $status") {
                    val target =
                        ScriptedTarget { connection ->
                            connection.read()
                            connection.respond("odd", status = "$status Odd")
                        }
                    TestMesh(listOf(target.port)).use { mesh ->
                        // An owner node that sends such a status is rejected by the same decoder.
                        val response = call(mesh.port, "/orders", "POST")
                        response?.status shouldBe 502
                        response?.outcome shouldBe "unknown"
                    }
                    target.close()
                }
            }

            it("is skipped when it is informational, and the response after it is the one") {
                val target =
                    ScriptedTarget.responding {
                        send("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n")
                        respond("final")
                    }
                TestMesh(listOf(target.port)).use { mesh ->
                    val response = call(mesh.port, "/orders", "POST")
                    response?.status shouldBe 200
                    response?.body shouldBe "final"
                }
                target.close()
            }

            it("is an error when an informational one has a body or nothing follows it") {
                listOf(
                    "content-length: 5\r\n\r\nhello",
                    "\r\n",
                    "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                ).forEach { rest ->
                    for (status in listOf(100, 101, 150, 199)) {
                        val target =
                            ScriptedTarget { connection ->
                                connection.read()
                                connection.send("HTTP/1.1 $status Odd\r\n$rest")
                            }
                        TestMesh(
                            listOf(target.port),
                            settings = ProxySettings(LOOPBACK_ANY, protocol = CLOSE_DELIMITED),
                        ).use { mesh ->
                            val response = call(mesh.port, "/orders", "POST")
                            response?.status shouldBe 502
                            response?.outcome shouldBe "unknown"
                        }
                        target.close()
                    }
                }
            }
        }
    })
