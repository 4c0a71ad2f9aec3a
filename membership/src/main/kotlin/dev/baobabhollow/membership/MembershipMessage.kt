package dev.baobabhollow.membership

import kotlinx.serialization.Serializable

/** Is sent between nodes to detect failures and to spread node records. */
@Serializable
sealed interface MembershipMessage
