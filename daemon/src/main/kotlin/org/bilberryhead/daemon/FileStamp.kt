package org.bilberryhead.daemon

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.BasicFileAttributes
import kotlin.io.path.isReadable
import kotlin.time.Instant
import kotlin.time.toKotlinInstant

/** Tells one state of a file from another without reading it. */
sealed interface FileStamp {
    /** The file is not there, or can not be read. */
    data object Unreadable : FileStamp

    /**
     * The file can be read.
     *
     * @property fileKey changes when the file is replaced by another of the same name; null where the platform has none
     */
    data class Readable(val modifiedAt: Instant, val sizeBytes: Long, val fileKey: String?) : FileStamp

    companion object {
        /** Returns the stamp of [file] now. */
        fun of(file: Path): FileStamp = try {
            if (file.isReadable()) readable(file) else Unreadable
        } catch (_: IOException) {
            Unreadable
        }

        private fun readable(file: Path): FileStamp {
            val attributes = Files.readAttributes(file, BasicFileAttributes::class.java)
            return Readable(
                attributes.lastModifiedTime().toInstant().toKotlinInstant(),
                attributes.size(),
                attributes.fileKey()?.toString(),
            )
        }
    }
}
