package wardmux.drain

import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import wardmux.config.BudgetSettings
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.PriorityClass
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.sim.ClusterSimulation
import wardmux.sim.FakeWorker

/** A simulated cluster with a drain: services and arrays of three teams in three zones. */
class DrainScenario(
    seed: Long,
    val settings: DrainSettings = DrainSettings(budget = BudgetSettings(stepPauseS = 1.0)),
    capacity: Int = 4,
    /** Followers forward workers' heartbeats. */
    forwarding: Boolean = false,
) {
    // Only the drain evicts work: reclaiming a guaranteed share is not bound by budgets.
    val operators =
        OperatorSettings(
            drain = settings,
            reclaimAfterS = 3_600.0,
            heartbeatsPerCore = if (forwarding) 0.0 else 500.0,
        )
    val simulation = ClusterSimulation(seed, operators = operators, capacity = capacity)
    val clock = simulation.clock
    val disruptions = simulation.invariants.disruptions

    fun workers(): List<FakeWorker> = simulation.cloud.workers()

    fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

    /** A service whose replicas may run in any zone. */
    fun service(team: Int, replicas: Int, cpus: Double = 2.0): JobSpec =
        simulation
            .randomJob()
            .copy(
                team = "team-$team",
                kind = JobKind.SERVICE,
                priority = PriorityClass.NORMAL,
                tasks = replicas,
                cpus = cpus,
                zone = null,
                oneZone = false,
                spread = false,
                spot = false,
                estimateS = 0.0,
                checkpointS = 0.0,
                saveS = 0.0,
            )

    /** An array of tasks that run for about [inSeconds] and save checkpoints. */
    fun array(team: Int, tasks: Int, inSeconds: Double, cpus: Double = 2.0): JobSpec =
        service(team, tasks, cpus)
            .copy(
                kind = JobKind.ARRAY,
                spot = true,
                estimateS = inSeconds,
                checkpointS = 5.0,
                saveS = 2.0,
            )

    fun submit(spec: JobSpec): JobSpec = spec.also { simulation.submit(it) }

    /** Submits [specs], or three usual jobs, and runs until they have started. */
    fun startJobs(vararg specs: JobSpec): DrainScenario {
        val jobs = specs.ifEmpty { arrayOf(service(0, 4), service(1, 3), array(2, 3, 60.0)) }
        simulation.run(8.seconds)
        for (spec in jobs) simulation.submit(spec)
        simulation.run(40.seconds)
        return this
    }

    /** The machines that the last drain selected when it started. */
    var drainedMachines: List<FakeWorker> = emptyList()
        private set

    fun ordinary() = DrainSelector(spot = false)

    fun startDrain(
        request: DrainRequest = DrainRequest("d1", ordinary(), graceS = 10.0),
        expected: Int = 201,
    ): DrainScenario {
        drainedMachines =
            workers().filter { request.select.spot == null || it.spot == request.select.spot }
        val body = operatorJson.encodeToString(DrainRequest.serializer(), request)
        assertEquals(expected, sendRequest("POST", DrainPaths.DRAINS, body).first)
        return this
    }

    /** Repeats a request as the command line does, until there is a final answer. */
    fun sendRequest(
        method: String,
        path: String,
        body: String = "",
        by: String? = null,
    ): Pair<Int, String> {
        repeat(60) {
            val answer = sendRequestOnce(method, path, body, by)
            if (answer != null && answer.first != 503) return answer
            simulation.run(clock.now + 1.seconds)
        }
        error("no answer to $method $path")
    }

    fun sendRequestOnce(
        method: String,
        path: String,
        body: String = "",
        by: String? = null,
    ): Pair<Int, String>? {
        var answer: Pair<Int, String>? = null
        var isAnswered = false
        simulation.operate(method, path, body, by) { status, text ->
            answer = status?.let { it to text }
            isAnswered = true
        }
        while (!isAnswered) simulation.run(clock.now + 1.seconds)
        return answer
    }

    fun status(id: String = "d1", by: String? = null): DrainStatus {
        val (status, text) = sendRequest("GET", "${DrainPaths.DRAINS}/$id", by = by)
        assertEquals(200, status, text)
        return operatorJson.decodeFromString(DrainStatus.serializer(), text)
    }

    fun state(id: String = "d1"): DrainState = status(id).record.state

    fun control(verb: String, id: String = "d1"): Int =
        sendRequest("POST", "${DrainPaths.DRAINS}/$id/$verb").first

    /** The stored record of the drain, whichever controller leads. */
    fun stored(id: String = "d1"): DrainRecord? =
        simulation.state.value(DrainRecord.key(id))?.let {
            operatorJson.decodeFromJsonElement(DrainRecord.serializer(), it)
        }

    /** Runs until [isReached], for at most [timeout]. */
    fun runUntil(timeout: Micros, what: String, isReached: () -> Boolean) {
        val until = clock.now + timeout
        while (!isReached()) {
            assertTrue(clock.now < until, "not within $timeout: $what; ${stored()}")
            simulation.run(clock.now + 50.milliseconds)
        }
    }

    fun runUntilStep(phase: StepPhase, timeout: Micros = 300.seconds) =
        runUntil(timeout, "$phase") { stored()?.step?.phase == phase }

    fun runUntilDone(timeout: Micros = 900.seconds, id: String = "d1") =
        runUntil(timeout, "done") { stored(id)?.state == DrainState.DONE }

    /** All drained machines are deleted, every budget was kept, and no invariant is broken. */
    fun assertDrained(detectionDelay: Micros = 9.seconds) {
        assertNotNull(stored())
        assertEquals(emptyList(), drainedMachines.filter { it.alive }.map { it.id }, "${stored()}")
        assertBudgetsKept(detectionDelay)
    }

    fun assertBudgetsKept(detectionDelay: Micros = 9.seconds) {
        val limit = { team: String -> settings.budgetOf(team).maxDisrupted }
        assertEquals(emptyList(), disruptions.stopsOverLimit(limit, detectionDelay, drainPeriod()))
        assertEquals(emptyList(), simulation.problems())
    }

    /** From the first start to the end of the last drain, by the leaders' clocks. */
    private fun drainPeriod(): ClosedRange<Micros> {
        val records = listOfNotNull(stored("d1"), stored("d2"))
        val isOver = records.all { it.state.isFinal }
        val end = if (isOver) Micros(records.maxOf { it.changedAt }) else Micros.NEVER
        return Micros(records.minOf { it.startedAt })..end
    }

    /** True if all replicas run. */
    fun allReplicasRun(spec: JobSpec): Boolean =
        simulation.invariants.machinesOf(spec.id).size == spec.tasks
}
