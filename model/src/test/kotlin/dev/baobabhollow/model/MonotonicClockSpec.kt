package dev.baobabhollow.model

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import java.io.File

class MonotonicClockSpec :
    DescribeSpec({
        describe("a clock whose time of day steps") {
            it("advances by the time that has passed") {
                var wall = 1_000_000L
                var nanos = 5_000_000_000L
                val clock = MonotonicClock({ wall }, { nanos })
                clock() shouldBe 1_000_000
                wall += 7_000
                nanos += 250_000_000
                clock() shouldBe 1_000_250
                wall -= 60_000
                nanos += 250_000_000
                clock() shouldBe 1_000_500
            }
        }

        describe("the modules of a node") {
            // Guards against deadlines and ages that change when the time of day steps.
            it("read the time of day only in MonotonicClock") {
                val root =
                    generateSequence(
                        File("").absoluteFile,
                    ) { it.parentFile }.first { File(it, "deploy").isDirectory }
                val modules =
                    root.listFiles().orEmpty().filter {
                        it.name !in TOOLS &&
                            File(
                                it,
                                "src/main",
                            ).isDirectory
                    }
                val sources = modules.flatMap { File(it, "src/main").walk().filter { file -> file.extension == "kt" } }
                sources.any { it.name == "MonotonicClock.kt" } shouldBe true
                sources
                    .filter { it.name != "MonotonicClock.kt" && TIME_OF_DAY.containsMatchIn(it.readText()) }
                    .map { it.name }
                    .shouldBeEmpty()
            }
        }
    })

/** Modules whose programs run for seconds, print times for people, or take the platform's place in tests. */
private val TOOLS = setOf("cli", "bench", "standins")
private val TIME_OF_DAY = Regex("currentTimeMillis|Instant\\.now|Clock\\.system|LocalDateTime\\.now")
