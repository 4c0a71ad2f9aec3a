package dev.baobabhollow.node

import dev.baobabhollow.model.NodeRecord
import dev.baobabhollow.model.TargetRecord
import dev.baobabhollow.peers.ControlPlane
import dev.baobabhollow.proxy.ProxyServer
import org.apache.logging.log4j.Level
import java.util.concurrent.CompletableFuture

/** Publishes changes of the target on the VM of the node [self]. */
internal class TargetPublisher(
    private val self: NodeRecord,
    private val control: ControlPlane,
    private val proxy: () -> ProxyServer?,
) {
    /**
     * Updates the [target] at this node's proxy at once, and then announces [announced] to the other nodes. Returns a
     * future that completes when it was sent.
     */
    fun publish(
        target: TargetRecord?,
        announced: TargetRecord?,
    ): CompletableFuture<Unit> {
        val server = proxy()
        server?.update(self.copy(target = target))
        val record = if (target == null) announced else target.copy(coldPerSecond = server?.coldPerSecond)
        val sent = CompletableFuture<Unit>()
        if (!control.announceTarget(record) { sent.complete(Unit) }) {
            EventLog.write("target_announcement_lost", level = Level.WARN)
            sent.complete(Unit)
        }
        return sent
    }
}
