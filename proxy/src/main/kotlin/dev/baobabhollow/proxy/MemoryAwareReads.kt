package dev.baobabhollow.proxy

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/**
 * Sizes the read buffers of connections. While [memory] is scarce, each connection reads a few bytes at a time, so that
 * many connections together receive little beyond the limit before they stop reading.
 */
internal class MemoryAwareReads(
    private val memory: HeldMemory,
) : AdaptiveRecvByteBufAllocator() {
    init {
        maxMessagesPerRead(READS)
    }

    @Deprecated("Deprecated by Netty without a replacement")
    override fun newHandle(): RecvByteBufAllocator.Handle = Reads(super.newHandle())

    private inner class Reads(
        adaptive: RecvByteBufAllocator.Handle,
    ) : RecvByteBufAllocator.DelegatingHandle(adaptive) {
        override fun allocate(allocator: ByteBufAllocator): ByteBuf =
            when {
                memory.isFull -> allocator.ioBuffer(FULL_BYTES)
                memory.isScarce -> allocator.ioBuffer(SCARCE_BYTES)
                else -> super.allocate(allocator)
            }

        override fun continueReading(): Boolean = !memory.isScarce && super.continueReading()
    }

    private companion object {
        /** Buffers that one connection may fill before the next one is read, as Netty's default. */
        const val READS = 16
        const val SCARCE_BYTES = 2_048

        /** All connections may read once more before the first of them is closed, so this counts for each. */
        const val FULL_BYTES = 256
    }
}
