package org.bilberryhead.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.mapError
import org.bilberryhead.daemon.FileStamp
import org.bilberryhead.daemon.ReloadSource
import org.bilberryhead.daemon.SettingsError
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.bufferedReader

/** A file of hashed tokens that is reloaded when it changes. */
internal class TokenFile<T : Any>(
    override val setting: String,
    private val file: Path,
    private val reader: TokenFileReader<T>,
) : ReloadSource<TokenOwners<T>> {
    override fun stamps(): List<FileStamp> = listOf(FileStamp.of(file))

    override fun load(): Result<TokenOwners<T>, List<SettingsError>> = try {
        file.bufferedReader().use { reader.read(it) }
            .mapError { errors -> errors.map { SettingsError("$file${it.path}", it.problem) } }
    } catch (failure: IOException) {
        Err(listOf(SettingsError(file.toString(), "can not be read: ${failure::class.simpleName}")))
    }
}
