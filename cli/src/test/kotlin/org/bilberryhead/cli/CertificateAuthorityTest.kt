package org.bilberryhead.cli

import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.engine.spec.tempfile
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.string.shouldContain
import org.bilberryhead.cli.client.CertificateAuthority
import kotlin.io.path.Path

class CertificateAuthorityTest :
    DescribeSpec({
        describe("a file of certificate authorities") {
            it("is rejected with its name when it is missing, empty or contains something else") {
                val file = tempfile("authority", ".pem")
                for (text in listOf(
                    "",
                    "no certificate",
                    "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n",
                )) {
                    file.writeText(text)
                    CertificateAuthority.read(file.toPath()).getError().shouldNotBeNull() shouldContain file.path
                }
                CertificateAuthority.read(Path("/none/authority.pem")).getError().shouldNotBeNull() shouldContain
                    "/none/authority.pem"
            }
        }
    })
