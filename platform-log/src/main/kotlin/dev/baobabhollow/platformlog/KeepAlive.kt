package dev.baobabhollow.platformlog

import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioChannelOption
import jdk.net.ExtendedSocketOptions

/** Lets the system probe connections that were idle for [idleSeconds]; two lost probes a second apart close them. */
fun Bootstrap.keepAlive(idleSeconds: Int): Bootstrap =
    option(ChannelOption.SO_KEEPALIVE, true)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), idleSeconds)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), 1)
        .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), 2)
