package dev.baobabhollow.peers

import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.locks.LockSupport

/** Bounded multi-producer, single-consumer queue. Rejects items while it is full, and counts them. */
internal class ControlRing<T : Any>(
    private val name: String,
    capacity: Int,
    private val metrics: ControlMetrics,
) {
    private val queue = MpscArrayQueue<T>(capacity)

    @Volatile
    private var consumer: Thread? = null

    /** Sets the consumer thread, which is unparked when an item is offered. */
    fun attach(thread: Thread) {
        consumer = thread
    }

    fun offer(item: T): Boolean {
        val isAccepted = queue.offer(item)
        if (!isAccepted) metrics.countFullRing(name)
        LockSupport.unpark(consumer)
        return isAccepted
    }

    fun poll(): T? = queue.poll()

    fun isEmpty(): Boolean = queue.isEmpty
}
