package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import wardmux.model.JobKind
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Faults around the start, halt and restart of one gang, each injected on purpose. They guard
 * against a gang that starts before all its placements are stored, that has tasks of two attempts
 * on machines at once, or that never runs again after a fault.
 */
class GangFaultsTest {
    // A gang whose placements take several task pages in the key-value store.

    /**
     * The placements take three task pages, and a transaction holds at most two. Depending on the
     * seed, the leader crashes after the first write is carried out but before the response, with
     * the second write in flight, which is carried out before or after the next leader is elected,
     * or shortly after the first write.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9])
    fun `a gang runs although the leader crashed between the writes of its placements`(seed: Long) {
        val scenario = SingleGangScenario(seed, txnOps = 3)
        scenario.submit(THREE_PAGE_TASK_COUNT, cpus = 0.1, estimateS = 10.0)
        var pageWrites = 0
        var isPartlyWritten = false
        scenario.simulation.store.isDelayed = { from, transaction ->
            val pageCount = scenario.pagesWrittenBy(transaction)
            if (pageCount > 0) pageWrites++
            val crashLeader = {
                isPartlyWritten =
                    scenario.recordedPlacements().size in 1 until THREE_PAGE_TASK_COUNT
                scenario.simulation.crash(from, scenario.clock.randomBetween(1.seconds, 8.seconds))
            }
            val crashesNow = pageCount > 0 && pageWrites == if (seed % 3 == 1L) 2 else 1
            if (crashesNow && seed % 3 == 1L) crashLeader()
            // The write is carried out by then. Its response is in flight and the next write is not
            // sent.
            if (crashesNow && seed % 3 == 0L) scenario.clock.after(Micros(1)) { crashLeader() }
            if (crashesNow && seed % 3 == 2L)
                scenario.clock.after(
                    scenario.clock.randomBetween(9.milliseconds, 200.milliseconds),
                    crashLeader,
                )
            crashesNow && seed % 3 == 1L
        }
        scenario.assertDoneBy(160.seconds)
        assertTrue(
            isPartlyWritten,
            "expected the leader to crash when only some of the task pages were written",
        )
    }

    /**
     * All task pages fit into one transaction, after which the leader crashes. With even seeds the
     * transaction is carried out late; with odd seeds only its response is lost.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a gang runs although the leader crashed during the only write of its placements`(
        seed: Long
    ) {
        val scenario = SingleGangScenario(seed)
        scenario.submit(THREE_PAGE_TASK_COUNT, cpus = 0.1, estimateS = 10.0)
        var pageWrites = 0
        scenario.simulation.store.isDelayed = { from, transaction ->
            val crashesNow = scenario.pagesWrittenBy(transaction) == 3 && ++pageWrites == 1
            if (crashesNow) {
                scenario.clock.after(Micros(1)) {
                    scenario.simulation.crash(
                        from,
                        scenario.clock.randomBetween(1.seconds, 8.seconds),
                    )
                }
            }
            crashesNow && seed % 2 == 0L
        }
        scenario.assertDoneBy(160.seconds)
        assertTrue(pageWrites > 0, "expected one transaction with all three task pages, saw none")
    }

    // A lost task is replaced within the same attempt, while its start command is still in flight.

    /**
     * Runs a gang of two tasks until it is done. The first start command arrives [startDelay] late.
     * Its machine is decommissioned, because for 60 s it gets no messages (even seeds) or its
     * heartbeats are lost (odd seeds).
     *
     * @param deletionsRefused whether the cloud refuses to delete machines until 4 s after the
     *   start command arrives
     * @param gangWaitS how long a task waits for the rest of its gang, in seconds
     */
    private fun runWithDelayedStart(
        seed: Long,
        startDelay: Micros,
        oneZone: Boolean = false,
        deletionsRefused: Boolean = false,
        gangWaitS: Double = 90.0,
    ): SingleGangScenario {
        val scenario = SingleGangScenario(seed, gangWaitS = gangWaitS)
        scenario.submit(tasks = 2, cpus = 9.0, estimateS = 20.0, oneZone)
        val simulation = scenario.simulation
        var delayedMachine: String? = null
        scenario.onDirectStart = { _, machine ->
            if (delayedMachine == null) {
                delayedMachine = machine
                // Delays all later commands too, so that none of them overtakes the start command.
                simulation.commandDelays[machine] = startDelay
                scenario.clock.after(12.milliseconds) {
                    if (seed % 2 == 0L) scenario.dropMessagesTo(machine, 60.seconds)
                    else scenario.dropHeartbeatsFrom(machine, 60.seconds)
                }
                scenario.clock.after(3.seconds) { scenario.addMachinesOutside("") }
                if (deletionsRefused) scenario.refuseDeletions(startDelay + 4.seconds)
            }
        }
        scenario.assertDoneBy(240.seconds)
        return scenario
    }

    private fun assertTaskReplaced(scenario: SingleGangScenario) =
        assertTrue(
            scenario.recordedMachines.values.any { it.size > 1 },
            "expected a task to be placed on a second machine in the same attempt",
        )

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a lost task is replaced although its start command arrives late`(seed: Long) {
        val startDelay = (2.0 * seed + 4.0).seconds
        val scenario = runWithDelayedStart(seed, startDelay)
        if (startDelay >= LOST_TASK_TIMEOUT) assertTaskReplaced(scenario)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a gang completes although a late start reaches a machine that can not be deleted yet`(
        seed: Long
    ) {
        runWithDelayedStart(seed, startDelay = (2.0 * seed + 4.0).seconds, deletionsRefused = true)
    }

    /**
     * The other task has ended after the gather timeout of 4 s when the late start command arrives,
     * so the next attempt is due.
     */
    @ParameterizedTest
    @ValueSource(longs = [2, 4, 6, 8, 10, 12, 14, 16])
    fun `the next attempt waits for a task of the previous one that starts late`(seed: Long) {
        runWithDelayedStart(
            seed,
            startDelay = (9.0 + seed / 4.0).seconds,
            deletionsRefused = true,
            gangWaitS = 4.0,
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `the replacement of a lost task is placed in the zone of the others`(seed: Long) {
        assertTaskReplaced(
            runWithDelayedStart(seed, startDelay = LOST_TASK_TIMEOUT + 6.seconds, oneZone = true)
        )
    }

    // Halts that reach some tasks of the gang late.

    /**
     * Runs a gang of three tasks for 120 s, in which a second attempt has to run. The cloud
     * preempts one of its machines with a notice of 25 s, so all tasks are halted to save. The halt
     * reaches another task [haltDelay] late: with even seeds its machine is unresponsive, with odd
     * seeds its commands are delayed and its heartbeats are lost.
     */
    private fun runWithDelayedHalt(seed: Long, haltDelay: Micros): SingleGangScenario {
        val scenario = SingleGangScenario(seed)
        scenario.submit(tasks = 3, cpus = 9.0, estimateS = LONG_ESTIMATE_S)
        scenario.runAfterGangStart(after = scenario.clock.randomBetween(6.seconds, 14.seconds)) {
            val (preempted, delayed) = scenario.gangMachines()
            preempted.recallS = 25.0
            scenario.clock.after(25.seconds) { scenario.simulation.cloud.reclaimSpot(preempted) }
            if (seed % 2 == 0L) scenario.makeUnresponsive(delayed, haltDelay)
            else {
                scenario.simulation.commandDelays[delayed.id] = haltDelay
                scenario.dropHeartbeatsFrom(delayed.id, haltDelay)
                scenario.clock.after(haltDelay) {
                    scenario.simulation.commandDelays.remove(delayed.id)
                }
            }
        }
        scenario.assertRestartedBy(120.seconds)
        return scenario
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `the progress is not saved if a halt is delayed beyond the peer timeout`(seed: Long) {
        val scenario = runWithDelayedHalt(seed, haltDelay = (8.0 + seed).seconds)
        assertEquals(null, scenario.simulation.gangs.endCounts["kept"])
        assertTrue(
            (scenario.simulation.gangs.endCounts["peers"] ?: 0) > 0,
            "expected tasks ended by peers; causes: ${scenario.simulation.gangs.endCounts}",
        )
        val saved = scenario.simulation.gangs.savedProgressOf(scenario.gang.id)
        val checkpointPeriod = SingleGangScenario.CHECKPOINT_PERIOD_S.seconds
        assertTrue(
            saved >= checkpointPeriod,
            "expected at least one checkpoint of progress, got $saved",
        )
        assertEquals(
            0,
            saved.value % checkpointPeriod.value,
            "expected progress at a checkpoint, got $saved",
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `the progress is saved if a halt is delayed by less than the peer timeout`(seed: Long) {
        val scenario = runWithDelayedHalt(seed, haltDelay = 2.seconds)
        // Once one task has saved, the remaining tasks are stopped at once.
        val causes = scenario.simulation.gangs.endCounts
        assertTrue(
            (causes["kept"] ?: 0) > 0 && "peers" !in causes,
            "expected a saved end and none by peers, got $causes",
        )
    }

    // A zone that is partitioned.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a gang whose zone is partitioned runs again without overlapping attempts`(seed: Long) {
        val scenario = SingleGangScenario(seed)
        scenario.submit(tasks = 2, cpus = 9.0, estimateS = LONG_ESTIMATE_S, oneZone = true)
        scenario.runAfterGangStart(after = scenario.clock.randomBetween(3.seconds, 9.seconds)) {
            val zone = scenario.gangMachines().first().zone
            val partitionDuration = scenario.clock.randomBetween(20.seconds, 60.seconds)
            if (seed % 2 == 0L) scenario.refuseDeletions(40.seconds)
            scenario.clock.after(6.seconds) { scenario.addMachinesOutside(zone) }
            for (worker in scenario.simulation.cloud.workers()) {
                if (worker.zone == zone) scenario.partition(worker.id, partitionDuration)
            }
            if (seed % 4 < 2) {
                scenario.clock.after(scenario.clock.randomBetween(6.seconds, 12.seconds)) {
                    scenario.gangMachines().firstOrNull()?.let(scenario.simulation.cloud::crash)
                }
            }
        }
        scenario.assertRestartedBy(200.seconds)
    }

    // Tasks of the previous attempt that remain in another zone.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `the next attempt waits for old tasks in one zone despite capacity in the others`(
        seed: Long
    ) {
        val scenario = SingleGangScenario(seed)
        scenario.submit(tasks = 2, cpus = 9.0, estimateS = LONG_ESTIMATE_S, oneZone = true)
        scenario.runAfterGangStart(after = scenario.clock.randomBetween(3.seconds, 9.seconds)) {
            val (crashed, unresponsive) = scenario.gangMachines()
            val zone = crashed.zone
            scenario.makeUnresponsive(
                unresponsive,
                scenario.clock.randomBetween(11.seconds, 13.seconds),
            )
            if (seed % 2 == 0L) scenario.refuseDeletions(30.seconds)
            scenario.simulation.cloud.crash(crashed)
            for (worker in scenario.simulation.cloud.workers()) {
                if (worker !== unresponsive && worker.zone == zone)
                    scenario.simulation.cloud.crash(worker)
            }
            scenario.clock.after(5.seconds) { scenario.addMachinesOutside(zone) }
        }
        scenario.assertRestartedBy(120.seconds)
    }

    // Tasks on machines that the key-value store has no record of.

    /**
     * A worker reports a task as if its record had been lost. No other way in which this could
     * happen is known.
     */
    @Test
    fun `a gang does not start while a worker reports a task of it without a record`() {
        val harness = ControllerHarness()
        harness.writeAcceptedJob(plainJob(tasks = 2, oneZone = true).copy(kind = JobKind.GANG))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
        val machines =
            listOf("a", "b").mapIndexed { i, zone -> ManualWorker(harness, "i-00000$i", zone) }
        val unrecordedTask = """{"piece":"job-000001/0","try":3,"status":"running"}"""
        repeat(4) {
            assertTrue(
                """"halt"""" in machines[0].heartbeatResponse(token, unrecordedTask),
                "expected a command to halt the task without a record",
            )
            assertTrue(
                """"start"""" !in machines[1].heartbeatResponse(token),
                "expected no start while the task without a record is reported",
            )
            harness.run(2.seconds)
            assertEquals(null, harness.storedValue("t/job-000001/0"))
        }
        machines[0].heartbeatResponse(token)
        harness.run(1.seconds)
        val responses = machines.map { it.heartbeatResponse(token) }
        assertEquals(
            1,
            responses.count { """"start"""" in it },
            "expected one response with a start command, got $responses",
        )
    }

    private companion object {
        /** Takes three task pages, which hold at most 128 tasks each. */
        const val THREE_PAGE_TASK_COUNT = 300

        /** The run time is drawn at random between 1 s and 1.5 times the estimate. */
        const val LONG_ESTIMATE_S = 4_000.0

        /** A task that no worker reports by this time after its start counts as lost. */
        val LOST_TASK_TIMEOUT = 14.seconds
    }
}
