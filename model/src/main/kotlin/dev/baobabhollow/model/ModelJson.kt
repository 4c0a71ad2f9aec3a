package dev.baobabhollow.model

import kotlinx.serialization.json.Json

/** Encodes the types of this module as JSON. Unknown keys are errors and defaults are left out. */
val ModelJson: Json =
    Json {
        classDiscriminator = "type"
        encodeDefaults = false
        ignoreUnknownKeys = false
    }
