package dev.baobabhollow.calls

private const val COLLECTIONS = 3

/** Bytes of the heap that are reachable. */
internal fun usedHeap(): Long {
    val runtime = Runtime.getRuntime()
    repeat(COLLECTIONS) { System.gc() }
    return runtime.totalMemory() - runtime.freeMemory()
}
