package wardmux.scheduling

import wardmux.model.JobSpec
import wardmux.model.Micros

/**
 * Expected run times of tasks. Owners' estimates are often too high or too low for a whole job
 * class, so they are corrected by the observed run times of the tasks of that class.
 */
class RuntimeEstimates {
    private class Correction {
        var factor = 1.0
        var samples = 0
    }

    private val corrections = HashMap<String, Correction>()

    /** How long a task like [spec] is expected to run. */
    fun runTime(spec: JobSpec): Micros = spec.estimate * (corrections[spec.jobClass]?.factor ?: 1.0)

    /** Records that a task like [spec] ran for [runTime]. */
    fun record(spec: JobSpec, runTime: Micros) {
        if (spec.estimate <= Micros.ZERO) return
        val correction = corrections.getOrPut(spec.jobClass) { Correction() }
        correction.samples++
        val weight = maxOf(1.0 / (correction.samples + 1), MIN_SAMPLE_WEIGHT)
        val ratio = runTime.value.toDouble() / spec.estimate.value
        correction.factor +=
            (ratio.coerceIn(MIN_RUN_TIME_RATIO, MAX_RUN_TIME_RATIO) - correction.factor) * weight
    }

    private companion object {
        const val MIN_SAMPLE_WEIGHT = 0.02
        const val MIN_RUN_TIME_RATIO = 0.2
        const val MAX_RUN_TIME_RATIO = 5.0
    }
}
