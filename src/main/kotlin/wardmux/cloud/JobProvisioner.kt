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

/**
 * Rents for single jobs that no count of loads would ever rent for: nothing that is there or on
 * order can take them, by zone, kind or type, or they need their room all at once.
 */
class JobProvisioner(
    private val cluster: ClusterState,
    private val eligibility: Eligibility,
    private val orders: RentalOrders,
) {
    /** Asks for what the job lacks; it has been short of room for a while. */
    fun rentFor(job: Job, known: List<MachineType>) {
        if (job.isFailing) return
        if (job.spec.isGang) return rentForGang(job, known)
        if (isThere(job) || isComing(job)) return
        rentOne(job, known)
    }

    /**
     * Asks for one machine that suits the job, of the cheapest kind that was not refused lately.
     */
    fun rentOne(job: Job, known: List<MachineType>) {
        for (spot in listOf(true, false)) {
            for (type in known.sortedBy { if (spot) it.spotPrice else it.price }) {
                val zone =
                    orders.openZones(type, spot).firstOrNull {
                        eligibility.suits(job, type, it, spot)
                    } ?: continue
                if (orders.place(MachineKind(type, zone, spot), 1)) return
            }
        }
    }

    private fun isThere(job: Job) =
        cluster.machines.values.any {
            !it.isDecommissioned &&
                it.preemptionNoticeAt == null &&
                (it.maintenance == Maintenance.NONE || it.maintenance == Maintenance.LEAVING) &&
                eligibility.suits(job, it.type, it.zone, it.spot) &&
                mayBecomeFree(job, it)
        }

    /**
     * Room on a machine comes free as its tasks end, but not that of services: on one that holds
     * nothing else, a task waits for ever.
     */
    private fun mayBecomeFree(job: Job, machine: Machine) =
        !machine.isUp ||
            machine.fits(job.spec) ||
            machine.placements.values.any {
                it.job.spec.kind != JobKind.SERVICE || it.job.spec.priority > job.spec.priority
            }

    /** A machine that suits the job is asked for. */
    fun isComing(job: Job) = orders.any { eligibility.suits(job, it.type, it.zone, it.spot) }

    /**
     * As much as the gang lacks of machines that it may use, in one zone if it asks for that: then
     * in the one where it lacks least, since what is spread is of no use.
     */
    private fun rentForGang(job: Job, known: List<MachineType>) {
        val spec = job.spec
        val type = known.filter { it.allowedFor(spec) }.minByOrNull { it.cpus } ?: return
        val fitting = type.fitting(spec).coerceAtLeast(1)
        val rooms = type.zones.associateWith { roomFor(spec, it) + comingTo(spec, it) * fitting }
        val choices =
            listOf(true, false).flatMap { spot ->
                orders
                    .openZones(type, spot)
                    .filter { eligibility.suits(job, type, it, spot) }
                    .map { MachineKind(type, it, spot) }
            }
        val kind = choices.maxByOrNull { rooms[it.zone] ?: 0 } ?: return
        val room = if (spec.oneZone) rooms[kind.zone] ?: 0 else rooms.values.sum()
        val missing = ceil((spec.tasks - room).toDouble() / fitting).toInt()
        if (missing > 0) orders.place(kind, missing)
    }

    private fun roomFor(spec: JobSpec, zone: String) =
        cluster.machines.values
            .filter { it.zone == zone && eligibility.usable(it) && eligibility.allowed(spec, it) }
            .sumOf { it.roomFor(spec) }

    /** Machines ordered or booting there that a task like this may use. */
    private fun comingTo(spec: JobSpec, zone: String) =
        orders.count { it.zone == zone && (spec.spot || !it.spot) } +
            cluster.machines.values.count {
                it.zone == zone && !it.isUp && !it.isDecommissioned && eligibility.allowed(spec, it)
            }
}
