package wardmux.scheduling

import wardmux.config.OperatorSettings
import wardmux.config.TeamQuota
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.model.Charge
import wardmux.model.Cost
import wardmux.model.Job
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.model.TaskStatus
import wardmux.model.seconds
import wardmux.sim.plainJob

/** A planner with its collaborators, for tests that set up the cluster state directly. */
class PlannerHarness(teams: List<TeamQuota>, types: List<MachineType>, now: Micros) {
    val context = CoreContext().also { it.setTime(now, now) }
    val cluster =
        ClusterState(
            context,
            teams,
            FairQueue(teams.associate { it.name to it.cpus }, 600.seconds, 600.0),
        )
    private val workers = WorkerTiming(heartbeatPeriodS = 6.0, leaseS = 36.0, cancelS = 66.0)
    val evictor = TaskEvictor(cluster, workers)
    val pools = MachinePools(context) { types }
    val planner = Planner(context, cluster, OperatorSettings(), workers, emptyList(), pools)

    /** Adds a machine that is up and schedulable. */
    fun addMachine(
        number: Int,
        type: MachineType,
        zone: String = "a",
        spot: Boolean = true,
    ): Machine {
        val machine = Machine(MachineId("i-%06d".format(number)), type, zone, spot)
        machine.hasAdoptedToken = true
        machine.lastHeartbeatAt = context.now
        machine.renewedAt = context.now
        cluster.add(machine)
        return machine
    }

    /** Adds an open job, which is planned. */
    fun addJob(spec: JobSpec, acceptedAt: Micros = Micros.ZERO): Job =
        untrackedJob(spec, acceptedAt).also { cluster.jobs[it.id] = it }

    /** Creates a job that is not in the cluster state, for tasks that only take room. */
    fun untrackedJob(spec: JobSpec, acceptedAt: Micros = Micros.ZERO) =
        Job(spec, KeyVersion(1), acceptedAt, 128)

    /** Creates a placement that is added neither to the machine nor to the job. */
    fun placement(job: Job, task: Int, machine: Machine) =
        Placement(job, TaskId(job.id, task), 1, machine.id, 1, machine.zone, Charge(Cost(1), 1.0))

    /** Adds a committed placement of [task] on [machine], with status running. */
    fun addRunningTask(job: Job, task: Int, machine: Machine) {
        val placement = placement(job, task, machine)
        placement.isCommitted = true
        placement.status = TaskStatus.RUNNING
        job.place(placement, context.wallTime)
        cluster.addPlacement(placement, machine)
    }

    /** Creates a preemption with the default operator settings. */
    fun preemption() = Preemption(context, cluster, planner, evictor, OperatorSettings())

    /** Takes [cpus] CPUs of [machine] by a task of a job that is not planned. */
    fun occupy(machine: Machine, cpus: Double) {
        val other = untrackedJob(plainJob(1, "job-999999").copy(cpus = cpus))
        machine.add(placement(other, 0, machine))
    }

    companion object {
        /** A machine type that is offered in two zones. */
        val MID_SIZE_TYPE =
            MachineType("mid", 16.0, memoryGb = 64.0, cacheGb = 100.0, zones = listOf("a", "b"))

        /** Creates a harness with one team and one machine type, [MID_SIZE_TYPE]. */
        fun withOneTeam() =
            PlannerHarness(
                listOf(TeamQuota("team-0", 700.0, 700.0)),
                listOf(MID_SIZE_TYPE),
                now = 100.seconds,
            )

        /** The specification of a gang whose tasks share one image. */
        fun gangSpec(tasks: Int): JobSpec =
            plainJob(tasks, "job-000001").copy(kind = JobKind.GANG, image = "gang-image")
    }
}
