package wardmux.scheduling

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Maintenance
import wardmux.model.PriorityClass
import wardmux.model.seconds

/** Decides which machines a task may be placed on, and scores them. */
class Eligibility(
    private val context: CoreContext,
    private val operators: OperatorSettings,
    private val workers: WorkerTiming,
    private val pools: MachinePools,
) {
    /**
     * True if new tasks may be placed on [machine]: it is up, confirmed, not cordoned or leaving.
     */
    fun isSchedulable(machine: Machine): Boolean {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return false
        val maxSilence = (workers.heartbeatPeriodS * operators.unresponsiveAfterHeartbeats).seconds
        return machine.hasAdoptedToken &&
            !machine.isDecommissioned &&
            !machine.isScalingIn &&
            machine.maintenance != Maintenance.CORDONED &&
            !machine.hasUnansweredStart &&
            !machine.isUnreachable &&
            machine.preemptionNoticeAt == null &&
            !(machine.isCommandInFlight &&
                context.now - machine.commandSentAt > MAX_COMMAND_WAIT) &&
            context.now - lastHeartbeatAt < maxSilence &&
            // A machine that only responds to probes gets no lease: its tasks would die with it.
            context.now - machine.renewedAt < maxSilence &&
            context.now >= machine.pausedUntil
    }

    /** The labels of the machine types that a task like this fits exactly. */
    fun exactTypesFor(spec: JobSpec): Set<String> = pools.exactTypesFor(spec)

    /** True if a task like this may run on [machine] by its type, zone and maintenance state. */
    fun satisfiesConstraints(spec: JobSpec, machine: Machine): Boolean =
        (spec.spot || !machine.spot) &&
            (spec.types == null || machine.type.label in spec.types) &&
            (spec.zone == null || spec.zone == machine.zone) &&
            (machine.maintenance != Maintenance.YIELDING || spec.priority <= PriorityClass.HIGH)

    /** True if an empty machine of [type], in [zone], could take a task of [job]. */
    fun couldRun(job: Job, type: MachineType, zone: String, spot: Boolean): Boolean {
        val spec = job.spec
        if (!type.allowedFor(spec) || (spot && !spec.spot)) return false
        if (spec.zone != null && spec.zone != zone) return false
        return isZoneAllowed(zone, spec, taskCountByZone(job))
    }

    /** True if one more task may be in [zone], with the job's others in [zones]. */
    fun isZoneAllowed(zone: String, spec: JobSpec, zones: Map<String, Int>): Boolean {
        if (spec.oneZone && zones.isNotEmpty() && zone !in zones) return false
        return !spec.spread || (zones[zone] ?: 0) < spec.zoneLimit
    }

    /** How many tasks of a zone-bound [job] are or may be in each zone; empty for other jobs. */
    fun taskCountByZone(job: Job): Map<String, Int> {
        if (!job.isZoneBound) return emptyMap()
        val zones = HashMap<String, Int>()
        for (placement in job.placements.values) {
            zones.merge(placement.zone, 1, Int::plus)
        }
        return zones
    }

    /**
     * The score of [machine] for a task like this, the smaller the better: the wait for its image,
     * the price beyond the cheapest of its pool, and the room left over, so that expensive machines
     * come free first. Services go where most services are, since only they keep machines from
     * coming free.
     */
    fun score(spec: JobSpec, machine: Machine): Double {
        val imageWait = machine.images.waitTime(spec.image, spec.imageGb, context.now)
        return imageWait.inSeconds * IMAGE_WAIT_WEIGHT +
            (pools.relativeCost(machine.type, machine.spot) - 1) * PRICE_WEIGHT +
            leftOver(spec, machine) / machine.type.cpus
    }

    private fun leftOver(spec: JobSpec, machine: Machine): Double =
        if (spec.kind == JobKind.SERVICE) machine.type.cpus - machine.serviceCpus - spec.cpus
        else machine.freeCpus - spec.cpus

    private companion object {
        const val IMAGE_WAIT_WEIGHT = 0.5
        const val PRICE_WEIGHT = 0.5

        /** A direct command without a response for longer keeps new tasks from the machine. */
        val MAX_COMMAND_WAIT = 1.seconds
    }
}
