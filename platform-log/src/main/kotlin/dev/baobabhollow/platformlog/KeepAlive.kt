package dev.baobabhollow.platformlog

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Enables TCP keep-alive: after [idleSeconds], two unanswered probes a second apart close the connection. */
fun Bootstrap.keepAlive(idleSeconds: Int): Bootstrap =
    option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2)
