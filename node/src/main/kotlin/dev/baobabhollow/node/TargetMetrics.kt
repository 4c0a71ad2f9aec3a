package dev.baobabhollow.node

import dev.baobabhollow.proxy.ProxyServer

/** Registers the gauges of the own target. [proxy] returns null until the proxy has started. */
internal fun NodeMetrics.target(proxy: () -> ProxyServer?) {
    gauge("target_load_permille", "Load of the own target in permille of its slots") { proxy()?.loadPermille ?: 0 }
    gauge("target_cold", "1 while the own target is believed to be cold") {
        if (proxy()?.coldPerSecond == null) 0 else 1
    }
    gauge(
        "target_work_duration_percent",
        "Percentage of its usual time that work takes at the own target; 0 if unknown",
    ) {
        proxy()?.workDurationPercent ?: 0
    }
}
