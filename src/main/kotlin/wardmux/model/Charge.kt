package wardmux.model

/**
 * The cost of a task in CPU-microseconds: the largest of its shares of a machine's CPUs, memory and
 * GPUs, expressed in CPUs of the reference machine type, multiplied by its run time.
 */
@JvmInline value class Cost(val value: Long)

/**
 * The cost that a team was charged for a placement and the team's weight at that time. It is kept
 * with the placement so that the charge can be corrected when the task has completed.
 */
data class Charge(val cost: Cost, val weight: Double)
