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

/** Decides which machines a task may be placed on, and scores these machines. */
class Eligibility(
    private val context: CoreContext,
    private val operators: OperatorSettings,
    private val workers: WorkerTiming,
    private val pools: MachinePools,
) {
    /**
     * True if new tasks may be placed on [machine]: it sends heartbeats, has adopted this leader's
     * fencing token, answers direct commands, and is neither paused, cordoned nor about to be
     * removed.
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
                context.now - machine.commandSentAt > MAX_COMMAND_RESPONSE_TIME) &&
            context.now - lastHeartbeatAt < maxSilence &&
            // A machine that only responds to probes gets no lease renewals, so its tasks would
            // stop when its lease expires.
            context.now - machine.renewedAt < maxSilence &&
            context.now >= machine.pausedUntil
    }

    /** The labels of the machine types that a task like [spec] fits exactly. */
    fun exactTypesFor(spec: JobSpec): Set<String> = pools.exactTypesFor(spec)

    /**
     * True if a task like [spec] may run on [machine] by the type, zone and maintenance state of
     * the machine.
     */
    fun satisfiesConstraints(spec: JobSpec, machine: Machine): Boolean =
        (spec.spot || !machine.spot) &&
            (spec.types == null || machine.type.label in spec.types) &&
            (spec.zone == null || spec.zone == machine.zone) &&
            (machine.maintenance != Maintenance.URGENT_ONLY || spec.priority <= PriorityClass.HIGH)

    /** True if an empty machine of [type] in [zone] could take a task of [job]. */
    fun couldRun(job: Job, type: MachineType, zone: String, spot: Boolean): Boolean {
        val spec = job.spec
        if (!type.allowedFor(spec) || (spot && !spec.spot)) return false
        if (spec.zone != null && spec.zone != zone) return false
        return isZoneAllowed(zone, spec, taskCountByZone(job))
    }

    /**
     * True if one more task like [spec] may be placed in [zone]. [taskCounts] is the number of the
     * job's tasks that are or may be in each zone.
     */
    fun isZoneAllowed(zone: String, spec: JobSpec, taskCounts: Map<String, Int>): Boolean {
        if (spec.oneZone && taskCounts.isNotEmpty() && zone !in taskCounts) return false
        return !spec.spread || (taskCounts[zone] ?: 0) < spec.zoneLimit
    }

    /**
     * The number of tasks of [job] that are or may be in each zone. Empty for jobs that may place
     * each task in any zone regardless of the others.
     */
    fun taskCountByZone(job: Job): Map<String, Int> {
        if (!job.isZoneBound) return emptyMap()
        val taskCounts = HashMap<String, Int>()
        for (placement in job.placements.values) {
            taskCounts.merge(placement.zone, 1, Int::plus)
        }
        return taskCounts
    }

    /**
     * The score of [machine] for a task like [spec]; lower is better. It adds up the wait for the
     * task's image, the price above the cheapest machine of the pool, and the CPUs that would stay
     * free. Because of the price, expensive machines become empty first. Services prefer machines
     * with many services: a service task never ends, so it keeps its machine from becoming empty.
     */
    fun score(spec: JobSpec, machine: Machine): Double {
        val imageWait = machine.images.waitTime(spec.image, spec.imageGb, context.now)
        return imageWait.inSeconds * IMAGE_WAIT_WEIGHT +
            (pools.relativeCost(machine.type, machine.spot) - 1) * PRICE_WEIGHT +
            remainingCpus(spec, machine) / machine.type.cpus
    }

    private fun remainingCpus(spec: JobSpec, machine: Machine): Double =
        if (spec.kind == JobKind.SERVICE) machine.type.cpus - machine.serviceCpus - spec.cpus
        else machine.freeCpus - spec.cpus

    private companion object {
        const val IMAGE_WAIT_WEIGHT = 0.5
        const val PRICE_WEIGHT = 0.5

        /**
         * If a direct command has had no response for longer than this, no new tasks are placed on
         * the machine.
         */
        val MAX_COMMAND_RESPONSE_TIME = 1.seconds
    }
}
