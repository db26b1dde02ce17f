package wardmux.scheduling

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.milliseconds

/** Where a gang can go as a whole: with room for all of it, and pages that can be written. */
class GangPlacement(
    private val context: CoreContext,
    private val eligibility: Eligibility,
    private val types: () -> List<MachineType>,
) {
    /** The largest value that a page may be. */
    var maxBytes = Int.MAX_VALUE

    /** Machines that a gang could go to together. */
    private class GangPlaces(
        /** How long the last of the gang's tasks waits for its image there. */
        val imageWait: Micros,
        /** What the tasks' places score together. */
        val score: Double,
        val machines: List<Machine>,
    )

    /**
     * Machines with room for all that waits of the gang, in one zone if they have to be. A gang
     * begins when its last image is there, so the places are chosen by the slowest of them, and
     * then by what they cost. Null if there is not enough room together.
     */
    fun machinesFor(job: Job, candidates: List<Machine>): List<Machine>? {
        val spec = job.spec
        val zones = eligibility.zonesOf(job)
        val open = candidates.filter { eligibility.mayGoTo(it.zone, spec, zones) }
        val groups = if (spec.oneZone) open.groupBy { it.zone }.values else listOf(open)
        if (job.placements.isEmpty() && PageSizeEstimate.requiresDensePacking(job, maxBytes)) {
            return groups.firstOrNull { group -> pagesHold(job, group) { it.roomFor(spec) } }
        }
        return groups
            .mapNotNull { placesAmong(job, it) }
            .minWithOrNull(compareBy<GangPlaces> { it.imageWait }.thenBy { it.score })
            ?.machines
    }

    /** Of these machines, those where all of the gang starts soonest, or null if it doesn't fit. */
    private fun placesAmong(job: Job, machines: List<Machine>): GangPlaces? {
        val waits = machines.groupBy { imageWait(job.spec, it) }
        val near = ArrayList<Machine>()
        for (wait in waits.keys.sorted()) {
            near.addAll(waits.getValue(wait))
            if (near.sumOf { it.roomFor(job.spec) } < job.waiting) continue
            totalScore(job, near)?.let {
                return GangPlaces(wait, it, near)
            }
        }
        return null
    }

    /** Of estimates that differ by less than this, neither is known to be the sooner. */
    private fun imageWait(spec: JobSpec, machine: Machine): Micros {
        val wait = machine.imageWait(spec.image, spec.imageGb, context.now)
        val steps = (wait.value + IMAGE_WAIT_STEP.value - 1) / IMAGE_WAIT_STEP.value
        return Micros(steps * IMAGE_WAIT_STEP.value)
    }

    /**
     * True if its pages can be written with all its tasks on the roomiest of these machines. A gang
     * too large for that is as good as not there: it must not keep room, cap or hires from others.
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

    /** What its tasks' places score together, or null if they do not all fit. */
    private fun totalScore(job: Job, machines: List<Machine>): Double? {
        var left = job.waiting
        var total = 0.0
        val zones = HashMap(eligibility.zonesOf(job))
        for ((machine, score) in
            machines.map { it to eligibility.score(job.spec, it) }.sortedBy { it.second }) {
            val there = zones.getOrDefault(machine.zone, 0)
            val allowed = if (job.spec.spread) job.spec.zoneLimit - there else left
            val here = minOf(left, machine.roomFor(job.spec), allowed)
            zones[machine.zone] = there + here
            total += score * here
            left -= here
            if (left == 0) return total
        }
        return null
    }

    /** True of a gang whose pages can't be written even if it has the largest machines alone. */
    fun canNeverBeStored(job: Job): Boolean {
        if (!job.spec.isGang || !PageSizeEstimate.requiresDensePacking(job, maxBytes)) return false
        val most = types().filter { it.allowedFor(job.spec) }.maxOfOrNull { it.fitting(job.spec) }
        return !PageSizeEstimate.mayHold(job, most ?: 0, maxBytes)
    }

    /** These machines, were they empty, would take all of the gang. */
    fun holdsAll(job: Job, machines: List<Machine>) =
        machines.sumOf { it.type.fitting(job.spec) } >= job.spec.tasks &&
            (!PageSizeEstimate.requiresDensePacking(job, maxBytes) ||
                pagesHold(job, machines) { it.type.fitting(job.spec) })

    private companion object {
        val IMAGE_WAIT_STEP = 250.milliseconds
    }
}
