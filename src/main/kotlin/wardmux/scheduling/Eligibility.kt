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

/** Which machines a task may go to, and which of them suits it best. */
class Eligibility(
    private val context: CoreContext,
    private val operators: OperatorSettings,
    private val workers: WorkerTiming,
    private val pools: MachinePools,
) {
    /** True if new tasks may go to the machine. */
    fun usable(machine: Machine): Boolean {
        val lastHeartbeatAt = machine.lastHeartbeatAt ?: return false
        val quiet = (workers.heartbeatPeriodS * operators.quietHeartbeats).seconds
        return machine.confirmed &&
            !machine.decommissioned &&
            !machine.isScalingIn &&
            machine.maintenance != Maintenance.CORDONED &&
            !machine.hasUnansweredStart &&
            !machine.isUnreachable &&
            machine.preemptionNoticeAt == null &&
            !(machine.isCommandInFlight && context.now - machine.commandSentAt > UNANSWERED) &&
            context.now - lastHeartbeatAt < quiet &&
            // One that only answers gets no lease: what it took would die with its session.
            context.now - machine.renewedAt < quiet &&
            context.now >= machine.pausedUntil
    }

    /** The machine types that a task like this fits exactly. */
    fun exactFor(spec: JobSpec): Set<String> = pools.exactFor(spec)

    /** True if the job allows this machine's kind, type and zone. */
    fun allowed(spec: JobSpec, machine: Machine): Boolean =
        (spec.spot || !machine.spot) &&
            (spec.types == null || machine.type.label in spec.types) &&
            (spec.zone == null || spec.zone == machine.zone) &&
            (machine.maintenance != Maintenance.YIELDING || spec.urgency <= PriorityClass.HIGH)

    /** True if a machine of this kind could take a task of the job, were it empty. */
    fun suits(job: Job, type: MachineType, zone: String, spot: Boolean): Boolean {
        val spec = job.spec
        if (!type.allowedFor(spec) || (spot && !spec.spot)) return false
        if (spec.zone != null && spec.zone != zone) return false
        return mayGoTo(zone, spec, zonesOf(job))
    }

    /** Whether one more task may be in a zone, with the job's others in [zones]. */
    fun mayGoTo(zone: String, spec: JobSpec, zones: Map<String, Int>): Boolean {
        if (spec.oneZone && zones.isNotEmpty() && zone !in zones) return false
        return !spec.spread || (zones[zone] ?: 0) < spec.zoneLimit
    }

    /** Where the tasks of a job that is bound to zones are or may be, with how many. */
    fun zonesOf(job: Job): Map<String, Int> {
        if (!job.isZoneBound) return emptyMap()
        val zones = HashMap<String, Int>()
        for (placement in job.placements.values) {
            zones.merge(placement.zone, 1, Int::plus)
        }
        return zones
    }

    /**
     * Seconds until the task could start, what the machine costs beyond the cheapest kind of its
     * pool, and how much room would be left over: so that dear machines come free first. What has
     * no end goes where most like it is, since only that keeps other machines from coming free.
     */
    fun score(spec: JobSpec, machine: Machine): Double {
        val fetch = machine.imageWait(spec.image, spec.imageGb, context.now)
        return fetch.inSeconds * FETCH_WEIGHT +
            (pools.dearness(machine.type, machine.spot) - 1) * DEAR_WEIGHT +
            leftOver(spec, machine) / machine.type.cpus
    }

    private fun leftOver(spec: JobSpec, machine: Machine): Double =
        if (spec.shape == JobKind.SERVICE) machine.type.cpus - machine.serviceCpus - spec.cpus
        else machine.freeCpus - spec.cpus

    private companion object {
        const val FETCH_WEIGHT = 0.5
        const val DEAR_WEIGHT = 0.5

        /** A direct command that is open for longer keeps new tasks from the machine. */
        val UNANSWERED = 1.seconds
    }
}
