package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.milliseconds

/** Finds where a gang can go as a whole: with room for all of it, and pages that can be written. */
class GangPlacement(
    private val context: CoreContext,
    private val eligibility: Eligibility,
    private val pools: MachinePools,
) {
    /** The largest value of a key, in bytes. */
    var maxBytes = Int.MAX_VALUE
        internal set

    /** Machines that a gang could go to together. */
    private class GangCandidate(
        /** How long the last of the gang's tasks waits for its image there. */
        val imageWait: Micros,
        /** The sum of the scores of the tasks' machines; the smaller the better. */
        val score: Double,
        val machines: List<Machine>,
    )

    /**
     * Machines with room for all waiting tasks of a gang, in one zone if they have to be; null if
     * there is not enough room. A gang starts when its last image is there, so the machines are
     * chosen by the slowest of them, and then by their score.
     */
    fun machinesFor(job: Job, machines: List<Machine>): List<Machine>? {
        val spec = job.spec
        val zones = eligibility.taskCountByZone(job)
        val open = machines.filter { eligibility.isZoneAllowed(it.zone, spec, zones) }
        val groups = if (spec.oneZone) open.groupBy { it.zone }.values else listOf(open)
        if (job.placements.isEmpty() && PageSizeEstimate.requiresDensePacking(job, maxBytes)) {
            return groups.firstOrNull { group -> pagesHold(job, group) { it.roomFor(spec) } }
        }
        return groups
            .mapNotNull { candidateAmong(job, it) }
            .minWithOrNull(compareBy<GangCandidate> { it.imageWait }.thenBy { it.score })
            ?.machines
    }

    /** Of [machines] those where all of the gang starts soonest, or null if it doesn't fit. */
    private fun candidateAmong(job: Job, machines: List<Machine>): GangCandidate? {
        val byWait = machines.groupBy { imageWait(job.spec, it) }
        val soonest = ArrayList<Machine>()
        for (wait in byWait.keys.sorted()) {
            soonest.addAll(byWait.getValue(wait))
            if (soonest.sumOf { it.roomFor(job.spec) } < job.waiting) continue
            totalScore(job, soonest)?.let {
                return GangCandidate(wait, it, soonest)
            }
        }
        return null
    }

    /** Of estimates that differ by less than a step, neither is known to be the sooner. */
    private fun imageWait(spec: JobSpec, machine: Machine): Micros {
        val wait = machine.images.waitTime(spec.image, spec.imageGb, context.now)
        val steps = (wait.value + IMAGE_WAIT_STEP.value - 1) / IMAGE_WAIT_STEP.value
        return Micros(steps * IMAGE_WAIT_STEP.value)
    }

    /**
     * True if the gang's pages can be written with all its tasks on those of [machines] with the
     * most [room]. A gang too large for that must not keep machines, quota or new capacity from
     * others.
     */
    private fun pagesHold(job: Job, machines: List<Machine>, room: (Machine) -> Int): Boolean {
        var left = job.spec.tasks
        val zones = HashMap<String, Int>()
        val shares = ArrayList<GangShare>()
        for (machine in machines.sortedByDescending(room)) {
            val there = zones.getOrDefault(machine.zone, 0)
            val here = minOf(left, room(machine), job.spec.zoneLimit - there)
            if (here <= 0) continue
            zones[machine.zone] = there + here
            shares.add(GangShare(machine, here))
            left -= here
            if (left == 0) return PageSizeEstimate.holds(job, shares, maxBytes)
        }
        return false
    }

    /** The sum of the scores of the tasks' machines, or null if they do not all fit. */
    private fun totalScore(job: Job, machines: List<Machine>): Double? {
        var left = job.waiting
        var total = 0.0
        val zones = HashMap(eligibility.taskCountByZone(job))
        val scored = machines.map { ScoredMachine(it, eligibility.score(job.spec, it)) }
        for (candidate in scored.sortedBy { it.score }) {
            val machine = candidate.machine
            val there = zones.getOrDefault(machine.zone, 0)
            val allowed = if (job.spec.spread) job.spec.zoneLimit - there else left
            val here = minOf(left, machine.roomFor(job.spec), allowed)
            zones[machine.zone] = there + here
            total += candidate.score * here
            left -= here
            if (left == 0) return total
        }
        return null
    }

    private class ScoredMachine(val machine: Machine, val score: Double)

    /** True of a gang whose pages can't be written even if it has the largest machines alone. */
    fun canNeverBeStored(job: Job): Boolean {
        if (!job.spec.isGang || !PageSizeEstimate.requiresDensePacking(job, maxBytes)) return false
        val tasksPerMachine =
            pools.offeredTypes
                .filter { it.allowedFor(job.spec) }
                .maxOfOrNull { it.taskCapacity(job.spec) }
        return !PageSizeEstimate.mayHold(job, tasksPerMachine ?: 0, maxBytes)
    }

    /** True if [machines], were they empty, would take all of the gang. */
    fun wouldHoldAll(job: Job, machines: List<Machine>) =
        machines.sumOf { it.type.taskCapacity(job.spec) } >= job.spec.tasks &&
            (!PageSizeEstimate.requiresDensePacking(job, maxBytes) ||
                pagesHold(job, machines) { it.type.taskCapacity(job.spec) })

    private companion object {
        val IMAGE_WAIT_STEP = 250.milliseconds
    }
}
