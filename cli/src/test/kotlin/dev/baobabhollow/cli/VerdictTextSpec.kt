package dev.baobabhollow.cli

import dev.baobabhollow.model.ConfigError
import dev.baobabhollow.model.PatchResult
import dev.baobabhollow.model.PatchVerdict
import dev.baobabhollow.model.WriterId
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun verdict(result: PatchResult) = PatchVerdict(WriterId("w"), 1, 8, "ana", 4, 0, result)

class VerdictTextSpec :
    DescribeSpec({
        describe("the text of a verdict") {
            it("names the accepted version") {
                render(verdict(PatchResult.Accepted(5))) shouldBe "accepted: version 5 (offset 8, base 4, operator ana)"
            }

            it("names the winner and the current version of a conflict, so that the operator knows what to rebase on") {
                render(verdict(PatchResult.Conflict(6, "bruno"))) shouldBe
                    "conflict: operator bruno published against version 4 first; the current version is 6"
            }

            it("distinguishes a base version that never existed from a conflict with another patch") {
                render(verdict(PatchResult.Conflict(6, null))) shouldBe
                    "conflict: version 4 is not the base of any accepted patch; the current version is 6"
            }

            it("lists every validation error, not only the first") {
                val errors = listOf(ConfigError("$.a", "1", "2"), ConfigError("$.b", "x", "y"))
                render(verdict(PatchResult.Invalid(errors))) shouldBe
                    "invalid: nothing has changed; 2 errors\n" +
                    "  $.a: found 1, expected 2\n" +
                    "  $.b: found x, expected y"
            }

            it("does not claim that nothing happened when the outcome is unknown") {
                val text = render(PublishOutcome.NoVerdict(WriterId("cli-1"), "timeout"))
                text shouldContain "outcome unknown"
                text shouldContain "cli-1"
            }
        }
    })
