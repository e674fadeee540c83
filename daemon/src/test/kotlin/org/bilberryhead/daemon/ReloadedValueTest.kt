package org.bilberryhead.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.bilberryhead.core.testing.TestClock
import kotlin.time.Duration.Companion.seconds

private class FakeReloadSource : ReloadSource<String> {
    override val setting = "fakeFile"
    var content: Result<String, List<SettingsError>> = Ok("first")
    var version = 0L
    var loads = 0

    override fun stamps() = listOf(FileStamp.Readable(TestClock.START, version, null))

    override fun load() = content.also { loads++ }

    fun change(content: Result<String, List<SettingsError>>) {
        this.content = content
        version++
    }
}

class ReloadedValueTest :
    DescribeSpec({
        val error = SettingsError("fake.yaml[3]", "is wrong")

        describe("a reloaded value") {
            it("is reloaded only when its files have changed") {
                val source = FakeReloadSource()
                val value = checkNotNull(ReloadedValue.load(source, TestClock()).get())

                value.reloadIfChanged()
                source.loads shouldBe 1

                source.change(Ok("second"))
                value.reloadIfChanged()
                value.current shouldBe "second"
                source.loads shouldBe 2
            }
            it("keeps the last valid content while its files are invalid, and reports this in the gauges") {
                val clock = TestClock()
                val registry = SimpleMeterRegistry()
                val source = FakeReloadSource()
                val value = checkNotNull(ReloadedValue.load(source, clock).get())
                registry.registerReloadGauges(value, clock)
                fun gauge(name: String) = registry.get(name).tag("setting", "fakeFile").gauge().value()

                clock.advance(60.seconds)
                source.change(Err(listOf(error)))
                value.reloadIfChanged()
                value.current shouldBe "first"
                gauge("bilberry.files.valid") shouldBe 0.0
                gauge("bilberry.files.age.seconds") shouldBe 60.0

                source.change(Ok("third"))
                value.reloadIfChanged()
                value.current shouldBe "third"
                gauge("bilberry.files.valid") shouldBe 1.0
                gauge("bilberry.files.age.seconds") shouldBe 0.0
            }
            it("fails to load when its files are invalid at the start") {
                val source = FakeReloadSource().apply { change(Err(listOf(error))) }

                ReloadedValue.load(source, TestClock()).getError() shouldBe listOf(error)
            }
        }
    })
