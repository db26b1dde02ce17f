package wardmux.drain

/** What to do next for a drain. */
sealed interface DrainDecision {
    /** Nothing, until what [reason] names has changed. */
    data class Wait(val reason: String) : DrainDecision

    /** Write the record; only then is it acted on. */
    data class Write(val record: DrainRecord) : DrainDecision

    /** Pause the drain; [note] is for the operators. */
    data class Pause(val reason: PauseReason, val note: String) : DrainDecision
}
