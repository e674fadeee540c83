package org.bilberryhead.soak

/** The bodies that sound endpoints of a planned run send. They follow from the request's ID, so callers know them. */
internal object SoundBody {
    private const val LARGE_BODY_ODDS = 12
    private const val LARGE_PADDING_BYTES = 40_000

    /** Returns the whole body of a response that is not a stream. */
    fun plain(id: String): String = "answer to $id${padding(id)}"

    /** Returns the events of a stream after number [after]. */
    fun events(id: String, after: Int = 0): List<String> =
        (after + 1..StandInEndpoint.LAST_EVENT).map { "id: $it\ndata: $id\npad: ${padding(id)}\n\n" }

    /** Some bodies are larger than the buffers of a connection, so that a slow caller holds up its entry. */
    private fun padding(id: String): String =
        if (id.hashCode().mod(LARGE_BODY_ODDS) == 0) ".".repeat(LARGE_PADDING_BYTES) else ""
}
