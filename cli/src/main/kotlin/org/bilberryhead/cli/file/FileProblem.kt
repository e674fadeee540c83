package org.bilberryhead.cli.file

import kotlinx.serialization.Serializable

/**
 * An error in a tables file.
 *
 * @property line line number in the file, from 1; 0 when the error has no line
 * @property path path of the value, such as `routes.plan-route.stages.1.pool`
 */
@Serializable
data class FileProblem(val line: Int, val path: String, val problem: String) {
    override fun toString(): String = if (path.isEmpty()) "line $line: $problem" else "line $line: $path: $problem"
}
