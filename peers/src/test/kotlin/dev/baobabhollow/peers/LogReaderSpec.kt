package dev.baobabhollow.peers

import dev.baobabhollow.model.ConfigurationRecord
import dev.baobabhollow.model.LogRecord
import dev.baobabhollow.model.MeshConfig
import dev.baobabhollow.model.NO_OFFSET
import dev.baobabhollow.model.WriterId
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import java.util.SplittableRandom
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun FakePlatformLog.write(version: Long) =
    append(LogRecord(WriterId("operator"), version, ConfigurationRecord(version, MeshConfig.EMPTY)))

/** Runs a reader on [log] from [start] on, which is told of the positions that its batches lead to. */
private suspend fun withReader(
    log: FakePlatformLog,
    start: ReadInstruction,
    test: suspend (ConcurrentLinkedQueue<ControlEvent>) -> Unit,
) {
    val events = ConcurrentLinkedQueue<ControlEvent>()
    lateinit var reader: LogReader
    val post = { event: ControlEvent ->
        events += event
        if (event is ControlEvent.LogRead) {
            val offset =
                event.batch.entries
                    .lastOrNull()
                    ?.offset ?: event.afterOffset
            reader.follow(ReadInstruction(200, offset, event.batch.era))
            event.done.complete(Unit)
        }
        true
    }
    val metrics = ControlMetrics(PrometheusRegistry())
    val clock = System::currentTimeMillis
    reader = LogReader(log.viewFrom { false }, clock, TestFleet.SETTINGS, metrics, SplittableRandom(1), post)
    reader.follow(start)
    reader.start()
    try {
        test(events)
    } finally {
        reader.shutdown()
    }
}

class LogReaderSpec :
    DescribeSpec({
        describe("a reader whose log returns from an older copy") {
            // Guards against a reader that polls for ever at an offset that the log no longer has, or that passes on
            // records of the new era as if they followed those that the log has lost.
            listOf(1, 3, 5).forEach { count ->
                it("reads the log from its start when $count records are there again, and the stages too") {
                    val log = FakePlatformLog().apply { (1L..3L).forEach(::write) }
                    withReader(log, ReadInstruction(200, NO_OFFSET)) { events ->
                        val reads = { events.filterIsInstance<ControlEvent.LogRead>() }
                        eventually(5.seconds) { reads().sumOf { it.batch.entries.size } shouldBe 3 }
                        log.comeBackWith(1)
                        (2L..count).forEach { log.write(it + 10) }
                        eventually(5.seconds) {
                            val first = reads().first { it.batch.era == 1L }
                            first.afterOffset shouldBe NO_OFFSET
                            val later = reads().filter { it.batch.era == 1L }.flatMap { it.batch.entries }
                            later.map { it.offset } shouldBe (0L until count).toList()
                            events.count { it is ControlEvent.StagesRead } shouldBe 2
                        }
                    }
                }
            }

            // Guards against a delayed response of the old era that is applied after peers have sent the new one.
            it("drops responses of an earlier era") {
                val log = FakePlatformLog().apply { (1L..3L).forEach(::write) }
                withReader(log, ReadInstruction(200, 0, era = 1)) { events ->
                    delay(500.milliseconds)
                    events.filterIsInstance<ControlEvent.LogRead>().shouldBeEmpty()
                }
            }
        }
    })
