package org.bilberryhead.forwarding

import ch.qos.logback.classic.AsyncAppender
import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.JsonEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Configures logging: one JSON object per line on standard output, written by a separate thread. Lines that do not fit
 * into its queue are dropped, so that a slow reader of the output never blocks requests. This is done in code because
 * reading a configuration file takes a fifth of the start time of an entry.
 */
class LogConfigurator :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        val output = ConsoleAppender<ILoggingEvent>()
        output.context = context
        output.name = "standard-output"
        output.encoder = encoder(context)
        output.start()
        val queue = AsyncAppender()
        queue.context = context
        queue.name = "queue"
        queue.queueSize = QUEUE_LINES
        queue.discardingThreshold = 0
        queue.isNeverBlock = true
        queue.addAppender(output)
        queue.start()
        val root = context.getLogger(Logger.ROOT_LOGGER_NAME)
        root.level = Level.INFO
        root.addAppender(queue)
        context.getLogger("io.netty").level = Level.ERROR
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private fun encoder(context: LoggerContext): JsonEncoder {
        val encoder = JsonEncoder()
        encoder.context = context
        encoder.setWithSequenceNumber(false)
        encoder.setWithNanoseconds(false)
        encoder.setWithThreadName(false)
        encoder.setWithContext(false)
        encoder.setWithMDC(false)
        encoder.start()
        return encoder
    }

    private companion object {
        const val QUEUE_LINES = 2_048
    }
}
