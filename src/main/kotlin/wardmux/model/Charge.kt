package wardmux.model

/** CPU-microseconds: the largest booked share in CPUs, times the run time. */
@JvmInline value class Cost(val value: Long)

/** What a dispatch was charged; kept with the placement, so that a finish can correct it. */
data class Charge(val cost: Cost, val weight: Double)
