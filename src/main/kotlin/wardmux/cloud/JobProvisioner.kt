package wardmux.cloud

import kotlin.math.ceil
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Maintenance
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility
import wardmux.scheduling.MachinePools

/**
 * Rents machines for single jobs that the demand of their pool does not cover: no machine there or
 * requested suits them by zone, kind or type, or they need their capacity all at once.
 */
class JobProvisioner(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val pools: MachinePools,
    private val rentals: MachineRentals,
) {
    /**
     * Requests what [job] lacks, which has been short of room for a while, of the [known] types.
     */
    fun rentFor(job: Job, known: List<MachineType>) {
        if (job.isFailing) return
        if (job.spec.isGang) return rentForGang(job)
        if (hasMachine(job) || isComing(job)) return
        rentOne(job, known)
    }

    /** Requests one machine that suits the job, of the cheapest kind that is available. */
    fun rentOne(job: Job, known: List<MachineType>) {
        for (spot in listOf(true, false)) {
            for (type in known.sortedBy { if (spot) it.spotPrice else it.price }) {
                val zone =
                    rentals.availableZones(type, spot).firstOrNull {
                        eligibility.couldRun(job, type, it, spot)
                    } ?: continue
                if (rentals.request(MachineKind(type, zone, spot), 1)) return
            }
        }
    }

    private fun hasMachine(job: Job) =
        cluster.machines.values.any {
            !it.isDecommissioned &&
                it.preemptionNoticeAt == null &&
                (it.maintenance == Maintenance.NONE || it.maintenance == Maintenance.PREPARING) &&
                eligibility.couldRun(job, it.type, it.zone, it.spot) &&
                mayBecomeFree(job, it)
        }

    /**
     * Tasks free their resources as they end; services of no lower priority never do, so that a
     * task would wait for ever.
     */
    private fun mayBecomeFree(job: Job, machine: Machine) =
        !machine.isUp ||
            machine.fits(job.spec) ||
            machine.placements.values.any {
                it.job.spec.kind != JobKind.SERVICE || it.job.spec.priority > job.spec.priority
            }

    /** True if a machine that suits the job is being requested. */
    fun isComing(job: Job) = rentals.any { eligibility.couldRun(job, it.type, it.zone, it.spot) }

    /**
     * Requests all that the gang lacks; for one zone if it must be in one: where it lacks least.
     */
    private fun rentForGang(job: Job) {
        val spec = job.spec
        val type = pools.smallestFor(spec) ?: return
        val fitting = type.taskCapacity(spec).coerceAtLeast(1)
        val rooms = type.zones.associateWith { roomFor(spec, it) + comingTo(spec, it) * fitting }
        val choices =
            listOf(true, false).flatMap { spot ->
                rentals
                    .availableZones(type, spot)
                    .filter { eligibility.couldRun(job, type, it, spot) }
                    .map { MachineKind(type, it, spot) }
            }
        val kind = choices.maxByOrNull { rooms[it.zone] ?: 0 } ?: return
        val room = if (spec.oneZone) rooms[kind.zone] ?: 0 else rooms.values.sum()
        val missing = ceil((spec.tasks - room).toDouble() / fitting).toInt()
        if (missing > 0) rentals.request(kind, missing)
    }

    private fun roomFor(spec: JobSpec, zone: String) =
        cluster.machines.values
            .filter {
                it.zone == zone &&
                    eligibility.isSchedulable(it) &&
                    eligibility.satisfiesConstraints(spec, it)
            }
            .sumOf { it.roomFor(spec) }

    /** Machines requested or booting in [zone] that a task like this may use. */
    private fun comingTo(spec: JobSpec, zone: String) =
        rentals.count { it.zone == zone && (spec.spot || !it.spot) } +
            cluster.machines.values.count {
                it.zone == zone &&
                    !it.isUp &&
                    !it.isDecommissioned &&
                    eligibility.satisfiesConstraints(spec, it)
            }
}
