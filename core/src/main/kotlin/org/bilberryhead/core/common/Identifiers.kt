package org.bilberryhead.core.common

import kotlinx.serialization.Serializable

/** Id of a request from a caller; unique across all entries. */
@Serializable
@JvmInline
value class RequestId(val value: String) {
    override fun toString(): String = value
}

/** Id of one attempt to run one stage of a request; never reused. */
@Serializable
@JvmInline
value class AttemptId(val value: String) {
    override fun toString(): String = value
}

/** Id of an endpoint; an endpoint belongs to one pool. */
@Serializable
@JvmInline
value class EndpointId(val value: String) : Comparable<EndpointId> {
    override fun compareTo(other: EndpointId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Id of one run of a sidecar process; a restarted sidecar has a new one. */
@Serializable
@JvmInline
value class Incarnation(val value: String) {
    override fun toString(): String = value
}

/** Name of a pool, by which the stages of routes refer to it. */
@Serializable
@JvmInline
value class PoolName(val value: String) : Comparable<PoolName> {
    override fun compareTo(other: PoolName): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Name of a stage; unique within its pipeline. */
@Serializable
@JvmInline
value class StageName(val value: String) {
    override fun toString(): String = value
}

/** Kind of a request; the routes table maps each kind to a pipeline. */
@Serializable
@JvmInline
value class RequestKind(val value: String) : Comparable<RequestKind> {
    override fun compareTo(other: RequestKind): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Id of the client account on whose behalf a caller sends requests. */
@Serializable
@JvmInline
value class ClientAccount(val value: String) {
    override fun toString(): String = value
}

/** Name of a data centre. */
@Serializable
@JvmInline
value class DataCentre(val value: String) {
    override fun toString(): String = value
}

/** Id of a daemon (an entry or sidecar); unique across the system. */
@Serializable
@JvmInline
value class DaemonId(val value: String) : Comparable<DaemonId> {
    override fun compareTo(other: DaemonId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Id of a VM in the platform's VM list. */
@Serializable
@JvmInline
value class VmId(val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Id of a change of the tables; chosen by the operator's client before it sends the change. */
@Serializable
@JvmInline
value class ChangeId(val value: String) {
    override fun toString(): String = value
}

/** Version of the routes and pools tables; increases by one with each change. */
@Serializable
@JvmInline
value class TableVersion(val value: Long) : Comparable<TableVersion> {
    override fun compareTo(other: TableVersion): Int = value.compareTo(other.value)

    /** Returns the version that follows this one. */
    fun next(): TableVersion = TableVersion(value + 1)

    override fun toString(): String = value.toString()

    companion object {
        /** Version of the empty tables, before the first change. */
        val NONE = TableVersion(0)
    }
}

/** Fencing token that orders the holders of a lease; a newer holder has a higher number. */
@Serializable
@JvmInline
value class FencingNumber(val value: Long) : Comparable<FencingNumber> {
    override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Key that a caller sends so that a repeated submission of the same request does not run again. */
@Serializable
@JvmInline
value class IdempotencyKey(val value: String) {
    override fun toString(): String = value
}
