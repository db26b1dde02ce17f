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
            rented = rented,
            capacity = capacity,
        )
    val clock = simulation.clock
    val invariants = simulation.invariants

    fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

    /** The first time that the condition holds, looked at often. */
    fun runWhen(condition: () -> Boolean, action: () -> Unit) {
        if (condition()) action() else clock.after(20.milliseconds) { runWhen(condition, action) }
    }

    fun gangSpec(tasks: Int, cpus: Double, team: Int = 0, runTime: Micros = 400.seconds): JobSpec =
        simulation.unconstrainedGang("team-$team", tasks, cpus, runTime.inSeconds).also {
            simulation.gangs.runTimes[it.id] = runTime
        }

    fun smallArraySpec(
        team: Int,
        tasks: Int,
        cpus: Double = 1.0,
        estimateS: Double = 4.0,
    ): JobSpec =
        gangSpec(tasks, cpus, team)
            .copy(
                jobClass = "small",
                kind = JobKind.ARRAY,
                priority = PriorityClass.HIGH,
                estimateS = estimateS,
                checkpointS = 0.0,
                saveS = 0.0,
            )

    fun workers() = simulation.cloud.workers()

    fun workersHolding(job: JobSpec) = workers().filter { it.statesOf(job.id).isNotEmpty() }

    /** How the tasks of [job] are that are on machines, or on their way there. */
    fun taskStates(job: JobSpec) = workers().flatMap { it.statesOf(job.id).values }

    fun isFullyRunning(job: JobSpec) = taskStates(job) == List(job.tasks) { "running" }

    fun storedValue(prefix: String, job: JobSpec) = simulation.state.value("$prefix/${job.id}")

    fun storedJobState(job: JobSpec) = JobRecord.decode(storedValue("j", job)!!)!!.state

    /** The controller that leads ends, and is back soon. */
    fun crashLeader(maxDelay: Micros) {
        clock.after(clock.between(Micros.ZERO, maxDelay)) {
            simulation.leader()?.let { simulation.crash(it, 2.seconds) }
        }
    }

    fun assertNoViolations() = assertEquals(emptyList(), simulation.problems().distinct().take(4))

    fun assertAllDone(jobs: List<JobSpec>) {
        assertNoViolations()
        val open = jobs.map { it.id }.filter { invariants.finalStateOf(it) != "done" }
        assertEquals(emptyList(), open, "ends of gangs: ${simulation.gangs.endCounts}")
    }
}
