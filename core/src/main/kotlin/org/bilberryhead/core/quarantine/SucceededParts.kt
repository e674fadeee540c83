package org.bilberryhead.core.quarantine

import org.bilberryhead.core.serving.PromptPartId
import kotlin.time.Duration
import kotlin.time.Instant

/**
 * Remembers the parts of prompts that were answered successfully; the least recent are forgotten first.
 *
 * @param maximumSize largest number of parts
 * @param retention time after which a success is forgotten
 */
internal class SucceededParts(private val maximumSize: Int, private val retention: Duration) {
    private val succeededAt = LinkedHashMap<PromptPartId, Instant>()

    /** Number of remembered parts. */
    val size: Int get() = succeededAt.size

    /** Records that a request with [part] was answered successfully. */
    fun add(part: PromptPartId, now: Instant) {
        succeededAt.remove(part)
        succeededAt[part] = now
        if (succeededAt.size > maximumSize) succeededAt.remove(succeededAt.keys.first())
    }

    /** Returns whether a request with [part] is known to have been answered successfully. */
    fun contains(part: PromptPartId, now: Instant): Boolean = succeededAt[part]?.let { now - it < retention } == true
}
