package wardmux.drain

import wardmux.model.Machine

/** What the drains need from the leader's term. */
interface DrainTerm {
    /** True if the leader's lease is valid and the stored state has been read. */
    val mayDecide: Boolean

    /** Returns [machine] to the cloud for [reason]; no task is placed on it from now on. */
    fun decommission(machine: Machine, reason: String)

    /** Ends the term, because another controller has become the leader. */
    fun fenced()
}
