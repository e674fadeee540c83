package org.bilberryhead.cli.file

import kotlinx.serialization.Serializable

/**
 * One fault of a tables file.
 *
 * @property line line in the file, from 1; 0 for the file as a whole
 * @property path where it is, such as `routes.plan-route.stages.1.pool`
 */
@Serializable
data class FileProblem(val line: Int, val path: String, val problem: String) {
    override fun toString(): String = if (path.isEmpty()) "line $line: $problem" else "line $line: $path: $problem"
}
