package org.bilberryhead.forwarding.store

import org.bilberryhead.core.serving.RouteMatcher
import org.bilberryhead.core.serving.ServingConfiguration
import org.bilberryhead.forwarding.DecisionLog
import org.bilberryhead.platform.wire.ConfigurationDecoder
import org.bilberryhead.platform.wire.StoreRow
import org.bilberryhead.platform.wire.WireTables

/** Activates each newer configuration; an older one never replaces a newer one. */
internal class ConfigurationListener(private val decisions: DecisionLog, private val activate: (RouteMatcher) -> Unit) :
    TableListener {
    private var current: ServingConfiguration? = null

    /** Text of the newest configuration, for entries that cannot read the store. */
    var newestText: String? = null
        private set

    override fun onTableRead(rows: List<StoreRow>, reading: TableReading) = onRowsChanged(rows)

    override fun onRowsChanged(rows: List<StoreRow>) = rows
        .filter { it.key == WireTables.CONFIGURATION_KEY }
        .forEach { row -> row.value?.let(::activateIfNewer) }

    /** Activates the configuration in [text] if it is newer than the active one. */
    fun activateIfNewer(text: String) {
        val configuration = ConfigurationDecoder.decode(text)
        if (configuration == null) {
            decisions.write("configuration unreadable") { mapOf("kept_version" to current?.version) }
            return
        }
        val previous = current?.version
        if (previous != null && configuration.version <= previous) return
        activate(RouteMatcher(configuration))
        // Only now: a version that could not be put in force is tried again.
        current = configuration
        newestText = text
        decisions.write("configuration in force") {
            mapOf("version" to configuration.version, "before" to previous, "routes" to configuration.routes.size)
        }
        configuration.accounts?.values.orEmpty().filterNot { it.isNameSendable }.distinct().forEach { entry ->
            decisions.write("client account refused") {
                mapOf("account" to entry.account, "reason" to "no header can carry its name")
            }
        }
    }
}
