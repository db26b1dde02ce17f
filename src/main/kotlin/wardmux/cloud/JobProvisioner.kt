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
 * Rents machines for single jobs that the demand of their pool does not cover: either no existing
 * or requested machine has a zone, type and spot mode that they may use, or they are gangs and need
 * all their capacity at once.
 */
class JobProvisioner(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val pools: MachinePools,
    private val rentals: MachineRentals,
) {
    /**
     * Requests the machines that [job] lacks. The job has been short of room for a while. A job
     * that is no gang gets one machine of the [offeredTypes]; a failing job gets none.
     */
    fun rentFor(job: Job, offeredTypes: List<MachineType>) {
        if (job.isFailing) return
        if (job.spec.isGang) return rentForGang(job)
        if (hasSuitableMachine(job) || isBeingRented(job)) return
        rentOneMachine(job, offeredTypes)
    }

    /** Requests one machine that [job] may use: spot before ordinary, the cheapest type first. */
    fun rentOneMachine(job: Job, offeredTypes: List<MachineType>) {
        for (spot in listOf(true, false)) {
            for (type in offeredTypes.sortedBy { if (spot) it.spotPrice else it.price }) {
                val zone =
                    rentals.availableZones(type, spot).firstOrNull {
                        eligibility.couldRun(job, type, it, spot)
                    } ?: continue
                if (rentals.request(MachineKind(type, zone, spot), 1)) return
            }
        }
    }

    /** True if a machine that [job] may use stays in service and has room now or later. */
    private fun hasSuitableMachine(job: Job) =
        cluster.machines.values.any {
            it.isExpectedToServe &&
                (it.maintenance == Maintenance.NONE || it.maintenance == Maintenance.PREPARING) &&
                eligibility.couldRun(job, it.type, it.zone, it.spot) &&
                mayHaveRoomLater(job, it)
        }

    /**
     * True if [machine] has room for a task of [job] or may have it later. Tasks of other kinds
     * free their resources when they end, and services of a lower priority can be preempted.
     * Services of the same or a higher priority keep theirs, so a task that waits for them would
     * never start. A machine that is still booting counts as having room.
     */
    private fun mayHaveRoomLater(job: Job, machine: Machine) =
        !machine.isUp ||
            machine.fits(job.spec) ||
            machine.placements.values.any {
                it.job.spec.kind != JobKind.SERVICE || it.job.spec.priority > job.spec.priority
            }

    /** True if a rental request is pending for a machine that [job] may use. */
    fun isBeingRented(job: Job) =
        rentals.any { eligibility.couldRun(job, it.type, it.zone, it.spot) }

    /**
     * Requests all machines that the gang lacks, in the zone that has the most room for it. Room in
     * other zones counts too unless the gang must be in one zone.
     */
    private fun rentForGang(job: Job) {
        val spec = job.spec
        val type = pools.smallestFor(spec) ?: return
        val fitting = type.taskCapacity(spec).coerceAtLeast(1)
        val roomByZone =
            type.zones.associateWith {
                roomInZone(spec, it) + pendingMachinesIn(spec, it) * fitting
            }
        val choices =
            listOf(true, false).flatMap { spot ->
                rentals
                    .availableZones(type, spot)
                    .filter { eligibility.couldRun(job, type, it, spot) }
                    .map { MachineKind(type, it, spot) }
            }
        val kind = choices.maxByOrNull { roomByZone[it.zone] ?: 0 } ?: return
        val room = if (spec.oneZone) roomByZone[kind.zone] ?: 0 else roomByZone.values.sum()
        val missing = ceil((spec.tasks - room).toDouble() / fitting).toInt()
        if (missing > 0) rentals.request(kind, missing)
    }

    /** How many tasks like this the schedulable machines in [zone] have room for. */
    private fun roomInZone(spec: JobSpec, zone: String) =
        cluster.machines.values
            .filter {
                it.zone == zone &&
                    eligibility.isSchedulable(it) &&
                    eligibility.satisfiesConstraints(spec, it)
            }
            .sumOf { it.roomFor(spec) }

    /** The machines requested or booting in [zone] that a task like this may use. */
    private fun pendingMachinesIn(spec: JobSpec, zone: String) =
        rentals.count { it.zone == zone && (spec.spot || !it.spot) } +
            cluster.machines.values.count {
                it.zone == zone &&
                    !it.isUp &&
                    it.isExpectedToServe &&
                    eligibility.satisfiesConstraints(spec, it)
            }
}
