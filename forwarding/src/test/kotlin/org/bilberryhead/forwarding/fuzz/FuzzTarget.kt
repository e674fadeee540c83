package org.bilberryhead.forwarding.fuzz

/**
 * A decoder under test.
 *
 * @property corpus valid inputs
 * @property decode decodes an input; throws when the decoder lets an exception through or its result breaks a rule
 */
internal class FuzzTarget(val name: String, val corpus: List<ByteArray>, val decode: (ByteArray) -> Unit)

/** Creates the target of a decoder of text. */
internal fun textTarget(name: String, vararg corpus: String, decode: (String) -> Unit) =
    FuzzTarget(name, corpus.map { it.encodeToByteArray() }) { decode(it.decodeToString()) }
