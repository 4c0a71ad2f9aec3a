package dev.baobabhollow.proxy

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class RoutingPathSpec :
    DescribeSpec({
        describe("the path by which a request is routed") {
            // Guards against an escaped slash that is taken for the end of a segment, and so selects a longer prefix (review/7).
            it("keeps escaped slashes") {
                routingPath("/sheets/draft%2Ftuna0?a=%2F") shouldBe "/sheets/draft%2Ftuna0"
                routingPath("/sheets/draft%2ftuna0") shouldBe "/sheets/draft%2Ftuna0"
            }

            it("is null for dot segments, also behind escaped slashes") {
                listOf("/a/%2e%2e/b", "/a%2F..%2Fb", "/a%2f%2E%2E%2fb").forEach { routingPath(it) shouldBe null }
            }
        }
    })
