package dev.baobabhollow.configuration

import com.dynatrace.hash4j.hashing.Hashing
import dev.baobabhollow.model.ConfigurationState
import dev.baobabhollow.model.ModelJson

/** Returns a hash of the whole [state] as 32 hexadecimal digits. Equal folds have equal hashes. */
fun contentHash(state: ConfigurationState): String {
    val bytes = ModelJson.encodeToString(state).encodeToByteArray()
    return Hashing
        .xxh3_128()
        .hashBytesTo128Bits(bytes)
        .toString()
        .removePrefix("0x")
}
