package dev.baobabhollow.calls

/**
 * Returns [path] in the form in which paths and prefixes are compared (RFC 3986, 6.2.2): escapes of unreserved characters
 * are decoded, all others are kept with upper-case digits. An escaped slash is a character of a segment, not its end.
 */
fun normalizedPath(path: String): String {
    if ('%' !in path) return path
    val result = StringBuilder(path.length)
    var index = 0
    while (index < path.length) {
        val value = escapedByte(path, index)
        when {
            value == null -> result.append(path[index])
            isUnreserved(value) -> result.append(value.toChar())
            else -> result.append(path.substring(index, index + ESCAPE_LENGTH).uppercase())
        }
        index += if (value == null) 1 else ESCAPE_LENGTH
    }
    return result.toString()
}

/** Returns the byte of the escape that begins at [index], or null if there is none. */
private fun escapedByte(
    path: String,
    index: Int,
): Int? {
    if (path[index] != '%' || index + ESCAPE_LENGTH > path.length) return null
    val high = Character.digit(path[index + 1], HEX)
    val low = Character.digit(path[index + 2], HEX)
    return if (high < 0 || low < 0) null else high * HEX + low
}

private fun isUnreserved(byte: Int): Boolean =
    byte.toChar() in 'a'..'z' || byte.toChar() in 'A'..'Z' || byte.toChar() in '0'..'9' || byte.toChar() in "-._~"

private const val ESCAPE_LENGTH = 3
private const val HEX = 16
