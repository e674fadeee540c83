package org.bilberryhead.platform.testing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.bilberryhead.platform.ObjectStore
import org.bilberryhead.platform.StoreError
import java.util.concurrent.ConcurrentHashMap

/** An object store in memory. Thread-safe. */
class FakeObjectStore : ObjectStore {
    private val objects = ConcurrentHashMap<String, ByteArray>()

    /** Whether all calls are refused. */
    @Volatile
    var isDown = false

    /** Number of stored objects. */
    val size: Int get() = objects.size

    override suspend fun get(name: String): Result<ByteArray?, StoreError> =
        if (isDown) Err(StoreError.Refused("the object store is down")) else Ok(objects[name])

    override suspend fun put(name: String, content: ByteArray): Result<Unit, StoreError> {
        if (isDown) return Err(StoreError.Refused("the object store is down"))
        objects[name] = content
        return Ok(Unit)
    }
}
