package dev.baobabhollow.peers

import org.jctools.queues.MpscArrayQueue
import java.util.concurrent.locks.LockSupport

/** Hands items from any thread to one consumer thread. A full ring refuses items and counts them. */
internal class ControlRing<T : Any>(
    private val name: String,
    capacity: Int,
    private val metrics: ControlMetrics,
) {
    private val queue = MpscArrayQueue<T>(capacity)

    @Volatile
    private var consumer: Thread? = null

    /** Names the thread that is woken by new items. */
    fun attach(thread: Thread) {
        consumer = thread
    }

    fun offer(item: T): Boolean {
        val isTaken = queue.offer(item)
        if (!isTaken) metrics.countFullRing(name)
        LockSupport.unpark(consumer)
        return isTaken
    }

    fun poll(): T? = queue.poll()

    fun isEmpty(): Boolean = queue.isEmpty
}
