package wardmux.sim

import kotlin.test.assertEquals
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.JobRecord

/**
 * A simulated cluster with helpers to bring gangs into a certain phase and then inject a fault.
 *
 * @param rented whether some machines are up at the start
 * @param capacity machines that the cloud has in each zone, of spot and of ordinary ones
 */
class GangScenario(seed: Long, rented: Boolean = true, capacity: Int = 3) {
    // With odd seeds followers take heartbeats too and forward them to the leader.
    val simulation =
        ClusterSimulation(
            seed,
            operators = forwardingSettings(seed % 2 != 0L),
            startWithMachines = rented,
            capacityPerZone = capacity,
        )
    val clock = simulation.clock
    val invariants = simulation.invariants

    /** Runs [action] at the simulated [time]. */
    fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

    /** Runs [action] once [condition] holds, which is checked every 20 ms. */
    fun runWhen(condition: () -> Boolean, action: () -> Unit) {
        if (condition()) action() else clock.after(20.milliseconds) { runWhen(condition, action) }
    }

    /** A gang that may run in any zone and takes [runTime] in all. It is not submitted yet. */
    fun gangSpec(tasks: Int, cpus: Double, team: Int = 0, runTime: Micros = 400.seconds): JobSpec =
        simulation.unconstrainedGang("team-$team", tasks, cpus, runTime.inSeconds).also {
            simulation.gangs.runTimes[it.id] = runTime
        }

    /** An urgent array of short tasks without checkpoints. It is not submitted yet. */
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

    /** The workers that hold a task of [job], including those that still fetch its image. */
    fun workersHolding(job: JobSpec) = workers().filter { it.taskStatusesOf(job.id).isNotEmpty() }

    /** The states of all tasks of [job] that workers hold and that have not ended. */
    fun taskStates(job: JobSpec) = workers().flatMap { it.taskStatusesOf(job.id).values }

    /** Whether all tasks of [job] run. */
    fun isFullyRunning(job: JobSpec) = taskStates(job) == List(job.tasks) { "running" }

    /** The value stored for [job] under the key [prefix], or null. */
    fun storedValue(prefix: String, job: JobSpec) = simulation.store.value("$prefix/${job.id}")

    /** The state in the stored record of [job]. */
    fun storedJobState(job: JobSpec) = JobRecord.decode(storedValue("j", job)!!)!!.state

    /** Crashes the leader within [maxDelay]; it restarts 2 s later. */
    fun crashLeader(maxDelay: Micros) {
        clock.after(clock.randomBetween(Micros.ZERO, maxDelay)) {
            simulation.leader()?.let { simulation.crash(it, 2.seconds) }
        }
    }

    /** Asserts that neither an invariant nor a rule of the fakes was violated. */
    fun assertNoViolations() = assertEquals(emptyList(), simulation.violations().distinct().take(4))

    /** Asserts that no rule was violated and that users were told that all [jobs] are done. */
    fun assertAllDone(jobs: List<JobSpec>) {
        assertNoViolations()
        val open = jobs.map { it.id }.filter { invariants.finalStateOf(it) != "done" }
        assertEquals(
            emptyList(),
            open,
            "jobs that are not done; gang tasks ended by ${simulation.gangs.endCounts}",
        )
    }
}
