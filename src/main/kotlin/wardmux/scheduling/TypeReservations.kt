package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.MachineType
import wardmux.model.Micros

/**
 * Reserves machine types for jobs that have waited too long and fit no smaller type. Smaller tasks
 * would go on taking what room comes free there, and never leave enough of it at once.
 */
class TypeReservations(
    private val context: CoreContext,
    private val eligibility: Eligibility,
    /** How long a job may wait for its first start before types are reserved for it. */
    private val maxWait: Micros,
) {
    private var reservedLabels: Set<String> = emptySet()

    /** Decides anew, before each plan, for the jobs that are [ready] to start. */
    internal fun update(ready: List<Job>) {
        reservedLabels =
            ready
                .filter { isOverdue(it) }
                .flatMapTo(HashSet()) { eligibility.exactTypesFor(it.spec) }
    }

    private fun isOverdue(job: Job) =
        !job.hasStarted && !job.isFailing && context.wallTime - job.acceptedAt > maxWait

    /** True if the type with this label is reserved for the jobs that fit it exactly. */
    internal fun isReserved(label: String) = label in reservedLabels

    /** True if machines of this type are reserved for other work than this. */
    fun isReservedFromTask(spec: JobSpec, type: MachineType) =
        type.label in reservedLabels && type.label !in eligibility.exactTypesFor(spec)
}
