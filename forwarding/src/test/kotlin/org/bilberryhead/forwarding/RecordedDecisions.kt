package org.bilberryhead.forwarding

import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.AppenderBase
import org.slf4j.LoggerFactory
import java.util.concurrent.CopyOnWriteArrayList

/** Records the lines of the decision log. Lines of other tests at the same time are among them. */
internal class RecordedDecisions : AutoCloseable {
    private val logger = LoggerFactory.getLogger("decisions") as Logger
    private val lines = CopyOnWriteArrayList<Pair<String, Map<String, String>>>()
    private val appender = object : AppenderBase<ILoggingEvent>() {
        override fun append(event: ILoggingEvent) {
            lines += event.message to event.keyValuePairs.orEmpty().associate { it.key to it.value.toString() }
        }
    }

    init {
        appender.start()
        logger.addAppender(appender)
    }

    /** Fields of the lines of [kind]. */
    fun of(kind: String): List<Map<String, String>> = lines.filter { it.first == kind }.map { it.second }

    override fun close() {
        logger.detachAppender(appender)
    }
}
