package org.bilberryhead.daemon

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.attribute.BasicFileAttributes
import kotlin.io.path.isReadable
import kotlin.time.Instant
import kotlin.time.toKotlinInstant

/** Metadata of a file from which a change of its content is detected without reading it. */
sealed interface FileStamp {
    /** The file does not exist or cannot be read. */
    data object Unreadable : FileStamp

    /**
     * The file is readable.
     *
     * @property fileKey changes when the file is replaced by another of the same name; null if the platform has no keys
     */
    data class Readable(val modifiedAt: Instant, val sizeBytes: Long, val fileKey: String?) : FileStamp

    companion object {
        /** Returns the current stamp of [file]. */
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
