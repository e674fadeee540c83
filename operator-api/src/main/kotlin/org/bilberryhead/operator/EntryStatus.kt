package org.bilberryhead.operator

import kotlinx.serialization.Serializable
import org.bilberryhead.core.common.DaemonId
import org.bilberryhead.core.common.DataCentre
import org.bilberryhead.core.common.EndpointId
import org.bilberryhead.core.common.PoolName
import org.bilberryhead.core.common.TableVersion
import org.bilberryhead.core.message.LoadReport

/**
 * Status of an entry, with the peers and endpoints as it sees them.
 *
 * @property tableAgeMillis time since the entry last confirmed that its tables were the newest, in milliseconds
 */
@Serializable
data class EntryStatus(
    val entry: DaemonId,
    val dataCentre: DataCentre,
    val tableVersion: TableVersion,
    val tableAgeMillis: Long,
    val storeReachable: Boolean,
    val draining: Boolean,
    val requestsInFlight: Int,
    val peers: List<PeerStatus>,
    val endpoints: List<EndpointStatus>,
)

/** Status of another entry, as an entry sees it. */
@Serializable
data class PeerStatus(
    val address: String,
    val daemon: DaemonId?,
    val connected: Boolean,
    val tableVersion: TableVersion?,
)

/** State of an endpoint, as an entry sees it. */
@Serializable
enum class EndpointState { SERVING, LEAVING, DISCONNECTED, EJECTED }

/** Status of an endpoint, as an entry sees it. */
@Serializable
data class EndpointStatus(
    val endpoint: EndpointId,
    val pool: PoolName,
    val dataCentre: DataCentre,
    val state: EndpointState,
    val tableVersion: TableVersion?,
    val load: LoadReport?,
)
