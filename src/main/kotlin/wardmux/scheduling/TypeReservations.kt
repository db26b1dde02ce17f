package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.MachineType
import wardmux.model.Micros

/**
 * Reserves machine types for jobs that have waited too long and that fit no smaller type. Otherwise
 * smaller tasks would keep taking the room that comes free on these machines, and enough of it
 * would never be free at the same time.
 */
class TypeReservations(
    private val context: CoreContext,
    private val eligibility: Eligibility,
    /** How long a job may wait for its first start before machine types are reserved for it. */
    private val maxWait: Micros,
) {
    private var reservedLabels: Set<String> = emptySet()

    /**
     * Recomputes the reservations for the jobs that are [ready] to start. Called before each plan.
     */
    internal fun update(ready: List<Job>) {
        reservedLabels =
            ready
                .filter { isOverdue(it) }
                .flatMapTo(HashSet()) { eligibility.exactTypesFor(it.spec) }
    }

    private fun isOverdue(job: Job) =
        !job.hasStarted && !job.isFailing && context.wallTime - job.acceptedAt > maxWait

    /** True if the machine type with this label is reserved for the jobs that fit it exactly. */
    internal fun isReserved(label: String) = label in reservedLabels

    /** True if machines of [type] are reserved for jobs other than those like [spec]. */
    fun isReservedFromTask(spec: JobSpec, type: MachineType) =
        type.label in reservedLabels && type.label !in eligibility.exactTypesFor(spec)
}
