package dev.baobabhollow.example

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe

class EmbeddedMeshSpec :
    DescribeSpec({
        describe("an embedded mesh") {
            // Guards against public interfaces that only work inside a running node.
            it("routes a path to the target of the local node") {
                val table = EmbeddedMesh().compileTable()
                val route = table.match("/sheets/today").shouldNotBeNull()
                route.service.targets
                    .single()
                    .node.value shouldBe "node-1"
                table.match("/lots").shouldBeNull()
            }
        }
    })
