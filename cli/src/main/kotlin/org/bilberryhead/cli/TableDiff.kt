package org.bilberryhead.cli

import kotlinx.serialization.KSerializer
import org.bilberryhead.cli.file.PoolRow
import org.bilberryhead.cli.file.RouteRow
import org.bilberryhead.cli.file.TablesFile
import org.bilberryhead.cli.file.TablesFileFormat

/** Computes the difference between two sets of tables, by row and by line. */
internal object TableDiff {
    /** Returns the difference from [from] to [to] as lines; empty when they are equal. */
    fun lines(from: TablesFile, to: TablesFile): List<String> =
        tableLines("route", from.routes, to.routes, RouteRow.serializer()) +
            tableLines("pool", from.pools, to.pools, PoolRow.serializer())

    private fun <T> tableLines(
        table: String,
        from: Map<String, T>,
        to: Map<String, T>,
        serializer: KSerializer<T>,
    ): List<String> = (from.keys + to.keys).sorted().flatMap { name ->
        val old = from[name]
        val new = to[name]
        when {
            old == new -> emptyList()
            old == null -> listOf("+ $table $name") + rowLines(new, serializer).map { "    + $it" }
            new == null -> listOf("- $table $name")
            else -> listOf("~ $table $name") + changedLines(rowLines(old, serializer), rowLines(new, serializer))
        }
    }

    private fun <T> rowLines(row: T?, serializer: KSerializer<T>): List<String> =
        row?.let { TablesFileFormat.writeRow(serializer, it).lines() }.orEmpty()

    private fun changedLines(old: List<String>, new: List<String>): List<String> {
        val common = commonLengths(old, new)
        val result = mutableListOf<String>()
        var oldIndex = 0
        var newIndex = 0
        while (oldIndex < old.size || newIndex < new.size) {
            val hasOld = oldIndex < old.size
            val hasNew = newIndex < new.size
            if (hasOld && hasNew && old[oldIndex] == new[newIndex]) {
                oldIndex++
                newIndex++
            } else if (hasOld &&
                (!hasNew || common[oldIndex + 1][newIndex] >= common[oldIndex][newIndex + 1])
            ) {
                result += "    - ${old[oldIndex++]}"
            } else {
                result += "    + ${new[newIndex++]}"
            }
        }
        return result
    }

    /** Returns the length of the longest common subsequence of the lines that start at each pair of indices. */
    private fun commonLengths(old: List<String>, new: List<String>): Array<IntArray> {
        val lengths = Array(old.size + 1) { IntArray(new.size + 1) }
        for (oldIndex in old.indices.reversed()) {
            for (newIndex in new.indices.reversed()) {
                lengths[oldIndex][newIndex] = if (old[oldIndex] == new[newIndex]) {
                    lengths[oldIndex + 1][newIndex + 1] + 1
                } else {
                    maxOf(lengths[oldIndex + 1][newIndex], lengths[oldIndex][newIndex + 1])
                }
            }
        }
        return lengths
    }
}
