package org.bilberryhead.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import org.bilberryhead.core.common.ClientAccount
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.SocketAddress
import org.bilberryhead.core.testing.TestClock

class TokenFileTest :
    DescribeSpec({
        val reader = TokenFileReader("account", ::ClientAccount)
        fun row(account: String, token: String) = "- {account: $account, tokenSha256: ${digest(token)}}\n"
        fun errorsOf(text: String) = reader.read(text.reader()).getError().shouldNotBeNull().map { it.toString() }

        describe("a file of hashed tokens") {
            it("maps each token to its owner, and an account may have several tokens") {
                val owners = reader.read((row("a", "one") + row("b", "two") + row("a", "three")).reader()).get()

                owners.shouldNotBeNull()
                owners[TokenDigest.ofToken("three")] shouldBe ClientAccount("a")
                owners[TokenDigest.ofToken("two")] shouldBe ClientAccount("b")
                owners[TokenDigest.ofToken("four")] shouldBe null
            }
            it("may hold a token for each of 24,000 client accounts") {
                val text = (0 until 24_000).joinToString("") { row("account-$it", "token-$it") }

                val owners = reader.read(text.reader()).get().shouldNotBeNull()

                owners.size shouldBe 24_000
                owners[TokenDigest.ofToken("token-23999")] shouldBe ClientAccount("account-23999")
            }
            it("is read or rejected without an exception wherever it is truncated or altered") {
                val text = row("a", "one") + row("\"b\"", "two") + "# comment\n" + row("&c c", "three")
                for (position in text.indices) {
                    reader.read(text.take(position).reader())
                    for (character in "{}[]:,-&*!|>'\"%@`#\n\t\u0000") {
                        reader.read(text.replaceRange(position, position + 1, "$character").reader())
                    }
                }
            }
            it("has every error reported with its path and without its content") {
                val text = row("a", "one") + "- {account: b, tokenSha256: secret}\n" + row("c", "one") +
                    "- {account: d, token: secret}\n- {tokenSha256: ${digest("two")}}\n"

                val errors = errorsOf(text)

                errors shouldContainExactly listOf(
                    "[1].tokenSha256: not 64 hexadecimal digits",
                    "[2].tokenSha256: is the same as in [0]",
                    "[3]: unknown key; known are account, tokenSha256",
                    "[3].tokenSha256: not 64 hexadecimal digits",
                    "[4].account: is missing",
                )
                errors.joinToString() shouldNotContain "secret"
            }
            for ((name, text) in listOf(
                "an empty file" to "",
                "a map" to "account: secret\n",
                "a list with a row that is not a map" to "- secret\n",
                "a list with a nested row" to "- {account: [secret], tokenSha256: secret}\n",
                "a truncated file" to "- {account: secret, tokenSha",
                "a file with two documents" to "[]\n---\n[]\n",
                "a file with a byte that is not a character" to "- {account: secret\u0000}\n",
            )) {
                it("is rejected when it is $name, without its content in the errors") {
                    errorsOf(text).joinToString() shouldNotContain "secret"
                }
            }
        }
        describe("the tokens of an entry") {
            val file = tempfile("accounts", ".yaml")
            val settings = EntrySettings(
                id = DaemonId("entry-0"),
                dataCentre = DataCentre("nashua"),
                listen = SocketAddress("127.0.0.1", 1),
                peerListen = SocketAddress("127.0.0.1", 2),
                platformUrl = "http://127.0.0.1:1",
                clientAccounts = listOf(AccountToken(ClientAccount("fixed"), digest("zero"))),
                clientAccountsFile = file.path,
            )

            it("follow the file, and stay unchanged while it has errors or is missing") {
                file.writeText(row("a", "one"))
                val files = EntryFiles.load(settings, TestClock()).get().shouldNotBeNull()
                fun account(token: String) = files.tokens.account("Bearer $token")?.value

                account("zero") shouldBe "fixed"
                account("one") shouldBe "a"

                file.writeText(row("a", "one") + row("b", "two"))
                files.watcher.reloadChanged()
                account("two") shouldBe "b"

                file.writeText("- nothing\n")
                files.watcher.reloadChanged()
                account("two") shouldBe "b"

                file.delete()
                files.watcher.reloadChanged()
                account("two") shouldBe "b"

                file.writeText(row("b", "two"))
                files.watcher.reloadChanged()
                account("one") shouldBe null
                account("two") shouldBe "b"
                files.tokens.operator("Bearer two") shouldBe null
            }
            it("are not loaded when a file is missing, and the error has its path") {
                val missing = settings.copy(
                    clientAccountsFile = "/none/accounts.yaml",
                    operatorsFile = "/none/operators.yaml",
                )

                val errors = EntryFiles.load(missing, TestClock()).getError().shouldNotBeNull()

                errors.map { it.path } shouldContainExactly listOf("/none/accounts.yaml", "/none/operators.yaml")
            }
        }
    })
