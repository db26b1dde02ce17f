package wardmux.sim

import kotlin.test.assertEquals
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.JobRecord

/** A simulated scenario on which gangs are brought into trouble on purpose. */
class GangScenario(seed: Long, rented: Boolean = true, capacity: Int = 3) {
    // In every other scenario all controllers take reports.
    val simulation =
        ClusterSimulation(
            seed,
            operators = forwardingSettings(seed % 2 != 0L),
            startWithMachines = rented,
            capacityPerZone = capacity,
        )
    val clock = simulation.clock
    val invariants = simulation.invariants

    fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

    /** The first time that the condition holds, looked at often. */
    fun once(condition: () -> Boolean, action: () -> Unit) {
        if (condition()) action() else clock.after(20.milliseconds) { once(condition, action) }
    }

    fun gang(tasks: Int, cpus: Double, team: Int = 0, length: Micros = 400.seconds): JobSpec =
        simulation.unconstrainedGang("team-$team", tasks, cpus, length.inSeconds).also {
            simulation.gangs.lengths[it.id] = length
        }

    fun small(team: Int, tasks: Int, cpus: Double = 1.0, estimate: Double = 4.0): JobSpec =
        gang(tasks, cpus, team)
            .copy(
                jobClass = "small",
                kind = JobKind.ARRAY,
                priority = PriorityClass.HIGH,
                estimateS = estimate,
                checkpointS = 0.0,
                saveS = 0.0,
            )

    fun workers() = simulation.cloud.workers()

    fun holding(job: JobSpec) = workers().filter { it.taskStatusesOf(job.id).isNotEmpty() }

    /** How the tasks of [job] are that are on machines, or on their way there. */
    fun states(job: JobSpec) = workers().flatMap { it.taskStatusesOf(job.id).values }

    fun allRun(job: JobSpec) = states(job) == List(job.tasks) { "running" }

    fun stored(prefix: String, job: JobSpec) = simulation.store.value("$prefix/${job.id}")

    fun recordOf(job: JobSpec) = JobRecord.decode(stored("j", job)!!)!!.state

    /** The controller that leads ends, and is back soon. */
    fun changeLeader(latest: Micros) {
        clock.after(clock.randomBetween(Micros.ZERO, latest)) {
            simulation.leader()?.let { simulation.crash(it, 2.seconds) }
        }
    }

    fun holds() = assertEquals(emptyList(), simulation.violations().distinct().take(4))

    fun done(jobs: List<JobSpec>) {
        holds()
        val open = jobs.map { it.id }.filter { invariants.finalOf(it) != "done" }
        assertEquals(emptyList(), open, "ends of gangs: ${simulation.gangs.causes}")
    }
}
