package org.bilberryhead.forwarding.http

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpRequestEncoder
import java.nio.charset.StandardCharsets

/**
 * Encodes requests. Each character of the target becomes one byte, as the decoder makes each byte one character, so
 * that the target reaches the other process as it came.
 */
internal class RequestEncoder : HttpRequestEncoder() {
    override fun encodeInitialLine(buffer: ByteBuf, request: HttpRequest) {
        val line = "${request.method()} ${request.uri()} ${request.protocolVersion().text()}\r\n"
        buffer.writeCharSequence(line, StandardCharsets.ISO_8859_1)
    }
}
