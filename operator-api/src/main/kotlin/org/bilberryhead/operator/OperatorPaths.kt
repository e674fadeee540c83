package org.bilberryhead.operator

/** Paths of the operators' interface of an entry. Every call requires an operator's bearer token. */
object OperatorPaths {
    /** GET: the current tables, as `Tables`. */
    const val TABLES = "/v1/operator/tables"

    /** GET with query parameter `limit`: the newest changes, newest first, as a list of `TableChange`. */
    const val HISTORY = "/v1/operator/history"

    /**
     * POST a `TableChange`: proposes it; the response is a [ChangeResponse]. Query parameter [FIRST] states that the id
     * of the change was never sent before, so an outage of the table service proves that it was not committed.
     */
    const val CHANGES = "/v1/operator/changes"

    /** Query parameter of [CHANGES]: `true` when the change is sent for the first time. */
    const val FIRST = "first"

    /** GET: the outcome of the change with the given id, as [ChangeResponse]. */
    const val CHANGE = "/v1/operator/changes/{id}"

    /** GET: the status of this entry, its peers and endpoints, as [EntryStatus]. */
    const val STATUS = "/v1/operator/status"

    /** GET: where a request of the given kind would be routed now, as [Explanation]. */
    const val EXPLAIN = "/v1/operator/explain/{kind}"
}
