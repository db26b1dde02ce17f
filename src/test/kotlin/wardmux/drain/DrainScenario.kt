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

/**
 * A simulated cluster with drains: services and arrays of three teams in three zones.
 *
 * @param capacity machines that the cloud has in each zone, of spot and of ordinary ones
 * @param forwarding whether followers take workers' heartbeats and forward them to the leader
 */
class DrainScenario(
    seed: Long,
    val settings: DrainSettings = DrainSettings(budget = BudgetSettings(stepPauseS = 1.0)),
    capacity: Int = 4,
    forwarding: Boolean = false,
) {
    // Reclaiming a guaranteed share is not bound by budgets, so it is put off for an hour: only
    // the drain evicts tasks.
    val operators =
        OperatorSettings(
            drain = settings,
            reclaimAfterS = 3_600.0,
            heartbeatsPerCore = if (forwarding) 0.0 else 500.0,
        )
    val simulation = ClusterSimulation(seed, operators = operators, capacityPerZone = capacity)
    val clock = simulation.clock
    val disruptions = simulation.invariants.disruptions

    fun workers(): List<FakeWorker> = simulation.cloud.workers()

    /** Runs [action] at the simulated [time]. */
    fun at(time: Micros, action: () -> Unit) = clock.after(time - clock.now, action)

    /** A service whose replicas may run in any zone, on ordinary machines. It is not submitted. */
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

    /**
     * An array of tasks that run for about [inSeconds] and save checkpoints. It is not submitted.
     */
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

    /**
     * Submits [specs], or three default jobs if there are none, after the first machines came up,
     * and runs until 40 s, when they have started.
     */
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

    /** Selects all machines that are not spot machines. */
    fun ordinary() = DrainSelector(spot = false)

    /** Requests a drain and asserts that the status of the response is [expected]. */
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

    /**
     * Sends an operator's request, and repeats it while it gets no answer or 503, as the command
     * line does.
     *
     * @param by the controller to which it is sent, or null for any
     * @return the status and the body of the answer
     */
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
        error("no final answer to $method $path after 60 requests")
    }

    /** Sends an operator's request once; null if it gets no answer. */
    fun sendRequestOnce(
        method: String,
        path: String,
        body: String = "",
        by: String? = null,
    ): Pair<Int, String>? {
        var answer: Pair<Int, String>? = null
        var isAnswered = false
        simulation.sendOperatorRequest(method, path, body, by) { status, text ->
            answer = status?.let { it to text }
            isAnswered = true
        }
        while (!isAnswered) simulation.run(clock.now + 1.seconds)
        return answer
    }

    /** The status of the drain [id], requested from the controller [by] or any. */
    fun status(id: String = "d1", by: String? = null): DrainStatus {
        val (status, text) = sendRequest("GET", "${DrainPaths.DRAINS}/$id", by = by)
        assertEquals(200, status, text)
        return operatorJson.decodeFromString(DrainStatus.serializer(), text)
    }

    fun state(id: String = "d1"): DrainState = status(id).record.state

    /** Pauses, resumes or cancels the drain [id]; returns the status of the response. */
    fun control(verb: String, id: String = "d1"): Int =
        sendRequest("POST", "${DrainPaths.DRAINS}/$id/$verb").first

    /** The stored record of the drain [id], or null if there is none. */
    fun stored(id: String = "d1"): DrainRecord? =
        simulation.store.value(DrainRecord.key(id))?.let {
            operatorJson.decodeFromJsonElement(DrainRecord.serializer(), it)
        }

    /** Runs until [isReached]; fails after [timeout] with a message that names [what]. */
    fun runUntil(timeout: Micros, what: String, isReached: () -> Boolean) {
        val until = clock.now + timeout
        while (!isReached()) {
            assertTrue(
                clock.now < until,
                "expected within $timeout: $what; the drain is ${stored()}",
            )
            simulation.run(clock.now + 50.milliseconds)
        }
    }

    fun runUntilStep(phase: StepPhase, timeout: Micros = 300.seconds) =
        runUntil(timeout, "$phase") { stored()?.step?.phase == phase }

    fun runUntilDone(timeout: Micros = 900.seconds, id: String = "d1") =
        runUntil(timeout, "done") { stored(id)?.state == DrainState.DONE }

    /** Asserts that all drained machines are deleted and that every budget was kept. */
    fun assertDrained(detectionDelay: Micros = 9.seconds) {
        assertNotNull(stored())
        assertEquals(
            emptyList(),
            drainedMachines.filter { it.alive }.map { it.id },
            "machines that are still up; the drain is ${stored()}",
        )
        assertBudgetsKept(detectionDelay)
    }

    /**
     * Asserts that no stop during a drain exceeded a budget and that no invariant was violated.
     *
     * @param detectionDelay see [wardmux.sim.DisruptionCounter.stopsOverLimit]
     */
    fun assertBudgetsKept(detectionDelay: Micros = 9.seconds) {
        val limit = { team: String -> settings.budgetOf(team).maxDisrupted }
        assertEquals(emptyList(), disruptions.stopsOverLimit(limit, detectionDelay, drainPeriod()))
        assertEquals(emptyList(), simulation.violations())
    }

    /**
     * The time from the start of the first drain to the end of the last, by the leaders' clocks.
     */
    private fun drainPeriod(): ClosedRange<Micros> {
        val records = listOfNotNull(stored("d1"), stored("d2"))
        val isOver = records.all { it.state.isFinal }
        val end = if (isOver) Micros(records.maxOf { it.changedAt }) else Micros.NEVER
        return Micros(records.minOf { it.startedAt })..end
    }

    /** Whether all replicas of [spec] are on machines. */
    fun allReplicasRun(spec: JobSpec): Boolean =
        simulation.invariants.machinesOf(spec.id).size == spec.tasks
}
