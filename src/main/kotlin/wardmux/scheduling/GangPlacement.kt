package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.milliseconds

/**
 * Finds machines for a gang as a whole: they need room for all its tasks, and the gang's task pages
 * have to fit the size limit of a value.
 */
class GangPlacement(
    private val context: CoreContext,
    private val eligibility: Eligibility,
    private val pools: MachinePools,
) {
    /** The size limit of a value in the key-value store, in bytes. */
    var maxBytes = Int.MAX_VALUE
        internal set

    /** A group of machines that the gang could be placed on. */
    private class GangCandidate(
        /** The longest wait of a task of the gang for its image on these machines. */
        val imageWait: Micros,
        /** The sum of the scores of the tasks' machines; lower is better. */
        val score: Double,
        val machines: List<Machine>,
    )

    /**
     * Returns machines with room for all waiting tasks of a gang, in one zone if the gang requires
     * it, or null if there is not enough room. A gang starts only when its last task has its image.
     * Machines are therefore chosen by the longest wait for the image first, and by their score
     * second.
     */
    fun machinesFor(job: Job, machines: List<Machine>): List<Machine>? {
        val spec = job.spec
        val zones = eligibility.taskCountByZone(job)
        val allowed = machines.filter { eligibility.isZoneAllowed(it.zone, spec, zones) }
        val groups = if (spec.oneZone) allowed.groupBy { it.zone }.values else listOf(allowed)
        if (job.placements.isEmpty() && PageSizeEstimate.requiresDensePacking(job, maxBytes)) {
            return groups.firstOrNull { group -> fitsOnPages(job, group) { it.roomFor(spec) } }
        }
        return groups
            .mapNotNull { bestCandidateAmong(job, it) }
            .minWithOrNull(compareBy<GangCandidate> { it.imageWait }.thenBy { it.score })
            ?.machines
    }

    /**
     * Returns those of [machines] on which the whole gang can start soonest, or null if it does not
     * fit.
     */
    private fun bestCandidateAmong(job: Job, machines: List<Machine>): GangCandidate? {
        val byWait = machines.groupBy { imageWait(job.spec, it) }
        val selected = ArrayList<Machine>()
        for (wait in byWait.keys.sorted()) {
            selected.addAll(byWait.getValue(wait))
            if (selected.sumOf { it.roomFor(job.spec) } < job.waiting) continue
            totalScore(job, selected)?.let {
                return GangCandidate(wait, it, selected)
            }
        }
        return null
    }

    /**
     * The estimated wait for the image, rounded up to a multiple of [IMAGE_WAIT_STEP]. Estimates
     * that differ by less than this step are not precise enough to order machines by them.
     */
    private fun imageWait(spec: JobSpec, machine: Machine): Micros {
        val wait = machine.images.waitTime(spec.image, spec.imageGb, context.now)
        val steps = (wait.value + IMAGE_WAIT_STEP.value - 1) / IMAGE_WAIT_STEP.value
        return Micros(steps * IMAGE_WAIT_STEP.value)
    }

    /**
     * True if the gang's task pages fit the size limit when all its tasks are placed on the
     * machines with the most [room]. A gang for which this is false must not take machines, quota
     * or new capacity from other jobs.
     */
    private fun fitsOnPages(job: Job, machines: List<Machine>, room: (Machine) -> Int): Boolean {
        var remaining = job.spec.tasks
        val zones = HashMap<String, Int>()
        val allocations = ArrayList<GangAllocation>()
        for (machine in machines.sortedByDescending(room)) {
            val placedInZone = zones.getOrDefault(machine.zone, 0)
            val placedHere = minOf(remaining, room(machine), job.spec.zoneLimit - placedInZone)
            if (placedHere <= 0) continue
            zones[machine.zone] = placedInZone + placedHere
            allocations.add(GangAllocation(machine, placedHere))
            remaining -= placedHere
            if (remaining == 0) return PageSizeEstimate.fitsAllTasks(job, allocations, maxBytes)
        }
        return false
    }

    /** Returns the sum of the scores of the tasks' machines, or null if not all tasks fit. */
    private fun totalScore(job: Job, machines: List<Machine>): Double? {
        var remaining = job.waiting
        var total = 0.0
        val zones = HashMap(eligibility.taskCountByZone(job))
        val scored = machines.map { ScoredMachine(it, eligibility.score(job.spec, it)) }
        for (candidate in scored.sortedBy { it.score }) {
            val machine = candidate.machine
            val placedInZone = zones.getOrDefault(machine.zone, 0)
            val allowed = if (job.spec.spread) job.spec.zoneLimit - placedInZone else remaining
            val placedHere = minOf(remaining, machine.roomFor(job.spec), allowed)
            zones[machine.zone] = placedInZone + placedHere
            total += candidate.score * placedHere
            remaining -= placedHere
            if (remaining == 0) return total
        }
        return null
    }

    private class ScoredMachine(val machine: Machine, val score: Double)

    /**
     * True if [job] is a gang whose task pages exceed the size limit even on the largest machines
     * with nothing else on them.
     */
    fun canNeverBeStored(job: Job): Boolean {
        if (!job.spec.isGang || !PageSizeEstimate.requiresDensePacking(job, maxBytes)) return false
        val tasksPerMachine =
            pools.offeredTypes
                .filter { it.allowedFor(job.spec) }
                .maxOfOrNull { it.taskCapacity(job.spec) }
        return !PageSizeEstimate.mayFitAllTasks(job, tasksPerMachine ?: 0, maxBytes)
    }

    /** True if all tasks of the gang would fit on [machines] if these were empty. */
    fun wouldFitWhenEmpty(job: Job, machines: List<Machine>) =
        machines.sumOf { it.type.taskCapacity(job.spec) } >= job.spec.tasks &&
            (!PageSizeEstimate.requiresDensePacking(job, maxBytes) ||
                fitsOnPages(job, machines) { it.type.taskCapacity(job.spec) })

    private companion object {
        val IMAGE_WAIT_STEP = 250.milliseconds
    }
}
