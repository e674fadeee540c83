package org.bilberryhead.daemon

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DurationTextSerializer
import org.bilberryhead.core.common.SocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

@Serializable
private data class TestSettings(
    val id: DaemonId,
    val listen: SocketAddress,
    val peers: List<SocketAddress> = emptyList(),
    @Serializable(with = DurationTextSerializer::class) val limit: Duration = 4.seconds,
    val count: Int = 1,
    val enabled: Boolean = true,
) : CheckedSettings {
    override fun check() = buildList {
        if (count < 1) add(SettingsError("count", "$count is less than 1"))
        if (!limit.isPositive()) add(SettingsError("limit", "$limit is not positive"))
    }
}

private fun errorsOf(text: String): List<SettingsError> =
    SettingsReader.parse(text, TestSettings.serializer()).getError().orEmpty()

class SettingsReaderTest :
    DescribeSpec({
        describe("settings") {
            it("use the defaults for omitted keys") {
                val text = "id: entry-1\nlisten: {host: 127.0.0.1, port: 8080}\nlimit: 250ms\n"

                SettingsReader.parse(text, TestSettings.serializer()) shouldBe Ok(
                    TestSettings(
                        DaemonId("entry-1"),
                        SocketAddress("127.0.0.1", 8080),
                        limit = Duration.parse("250ms"),
                    ),
                )
            }

            it("are rejected with all wrong types, unknown keys and missing keys at once") {
                val errors = errorsOf(
                    """
                    listen: {host: 127.0.0.1, port: eighty, prot: tcp}
                    peers: [{host: 10.0.0.1, port: 1}, {host: 10.0.0.2}]
                    limit: soon
                    count: many
                    enabled: perhaps
                    colour: blue
                    """.trimIndent(),
                )

                errors.map { it.path } shouldContainExactlyInAnyOrder listOf(
                    "id",
                    "listen.port",
                    "listen.prot",
                    "peers[1].port",
                    "limit",
                    "count",
                    "enabled",
                    "colour",
                )
                errors.first { it.path == "limit" }.problem shouldBe
                    "line 3: 'soon' is not a duration such as 250ms or 4s"
            }

            it("are rejected with all values out of range at once") {
                val errors = errorsOf("id: e\nlisten: {host: h, port: 1}\ncount: 0\nlimit: 0s\n")

                errors.map { it.path } shouldContainExactlyInAnyOrder listOf("count", "limit")
            }

            it("are rejected with one error when they are not YAML") {
                errorsOf("id: [unclosed") shouldHaveSize 1
            }

            it("are rejected when the text is empty") {
                errorsOf("") shouldHaveSize 1
            }
        }
    })
