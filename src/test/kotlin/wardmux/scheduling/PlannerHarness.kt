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

/** A planner with its collaborators, for cluster states set up by hand. */
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

    /** Adds a job to the cluster state. */
    fun addJob(spec: JobSpec, acceptedAt: Micros = Micros.ZERO): Job =
        untrackedJob(spec, acceptedAt).also { cluster.jobs[it.id] = it }

    /** A job that is not planned, for tasks that only take room. */
    fun untrackedJob(spec: JobSpec, acceptedAt: Micros = Micros.ZERO) =
        Job(spec, KeyVersion(1), acceptedAt, 128)

    /** A placement that is neither on the machine nor in the job yet. */
    fun placement(job: Job, task: Int, machine: Machine) =
        Placement(job, TaskId(job.id, task), 1, machine.id, 1, machine.zone, Charge(Cost(1), 1.0))

    /** Lets [task] run on [machine], committed. */
    fun addRunningTask(job: Job, task: Int, machine: Machine) {
        val placement = placement(job, task, machine)
        placement.isCommitted = true
        placement.status = TaskStatus.RUNNING
        job.place(placement, context.wallTime)
        cluster.addPlacement(placement, machine)
    }

    /** Preemption with the default settings. */
    fun preemption() = Preemption(context, cluster, planner, evictor, OperatorSettings())

    /** Takes [cpus] of [machine] by a job that is not planned. */
    fun occupy(machine: Machine, cpus: Double) {
        val other = untrackedJob(plainJob(1, "job-999999").copy(cpus = cpus))
        machine.add(placement(other, 0, machine))
    }

    companion object {
        /** A machine type that is offered in two zones. */
        val MID_SIZE_TYPE =
            MachineType("mid", 16.0, memoryGb = 64.0, cacheGb = 100.0, zones = listOf("a", "b"))

        /** One team, and machines of one type. */
        fun withOneTeam() =
            PlannerHarness(
                listOf(TeamQuota("team-0", 700.0, 700.0)),
                listOf(MID_SIZE_TYPE),
                now = 100.seconds,
            )

        /** A gang whose tasks share an image. */
        fun gangSpec(tasks: Int): JobSpec =
            plainJob(tasks, "job-000001").copy(kind = JobKind.GANG, image = "gang-image")
    }
}
