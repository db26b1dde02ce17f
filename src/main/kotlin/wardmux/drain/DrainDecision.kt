package wardmux.drain

/** What the leader does next for a drain. */
sealed interface DrainDecision {
    /**
     * Do nothing for now. [reason] names what the drain waits for; operators see it as `waits_for`,
     * and it is not stored.
     */
    data class Wait(val reason: String) : DrainDecision

    /** Write [record] to the store. The leader acts on it only once it is stored. */
    data class Write(val record: DrainRecord) : DrainDecision

    /** Pause the drain. [note] is stored with the drain and explains the pause to operators. */
    data class Pause(val reason: PauseReason, val note: String) : DrainDecision
}
