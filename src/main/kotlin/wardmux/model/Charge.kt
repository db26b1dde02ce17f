package wardmux.model

/** The cost of a task in CPU-microseconds: its largest share of a machine in CPUs, by its time. */
@JvmInline value class Cost(val value: Long)

/**
 * The cost that a team was charged for a placement, and its weight then; kept with the placement,
 * so that it can be corrected when the task has completed.
 */
data class Charge(val cost: Cost, val weight: Double)
