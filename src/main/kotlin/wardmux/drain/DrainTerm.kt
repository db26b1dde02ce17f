package wardmux.drain

import wardmux.model.Machine

/** The leader's term, as far as its drains need it. */
interface DrainTerm {
    /** The leader's lease is valid, and what is stored has been read. */
    val mayDecide: Boolean

    /** Returns [machine] to the cloud; nothing is placed there any more. */
    fun decommission(machine: Machine, reason: String)

    /** Ends the term: another controller leads. */
    fun fenced()
}
