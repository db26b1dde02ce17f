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

/** Gangs in trouble: each situation is brought about on purpose. */
class GangFaultsTest {
    // A gang whose record takes several pages.

    /**
     * Three pages, of which a transaction takes two. The leader ends when the first is carried out
     * and not answered, or with the second under way, which is carried out before or after the
     * election of the next, or soon after the first.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8, 9])
    fun `a leader ends between the writes of a gang`(seed: Long) {
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
            // Carried out before this, and the answer is on its way, or the next write is not.
            if (crashesNow && seed % 3 == 0L) scenario.clock.after(Micros(1)) { crashLeader() }
            if (crashesNow && seed % 3 == 2L)
                scenario.clock.after(
                    scenario.clock.randomBetween(9.milliseconds, 200.milliseconds),
                    crashLeader,
                )
            crashesNow && seed % 3 == 1L
        }
        scenario.assertDoneBy(160.seconds)
        assertTrue(isPartlyWritten, "the leader did not end between the writes")
    }

    /** All pages in one transaction, which is carried out late, or of which nobody hears. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a leader ends with the one write of several pages`(seed: Long) {
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
        assertTrue(pageWrites > 0, "the pages were never written together")
    }

    // A replacement under the number of the attempt that is out.

    /**
     * The first task that is started is held up for [startDelay], and its machine is
     * decommissioned.
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
                // Nothing that is sent later arrives before it.
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
        assertTrue(scenario.recordedMachines.values.any { it.size > 1 }, "nothing was replaced")

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a lost task is replaced beside its late start`(seed: Long) {
        val startDelay = (2.0 * seed + 4.0).seconds
        val scenario = runWithDelayedStart(seed, startDelay)
        if (startDelay >= LOST_TASK_TIMEOUT) assertTaskReplaced(scenario)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a late start comes to a machine that can't be deleted yet`(seed: Long) {
        runWithDelayedStart(seed, startDelay = (2.0 * seed + 4.0).seconds, deletionsRefused = true)
    }

    /** The others have left when the start comes, and the next attempt is due. */
    @ParameterizedTest
    @ValueSource(longs = [2, 4, 6, 8, 10, 12, 14, 16])
    fun `a late start of an attempt that is over holds back the next`(seed: Long) {
        runWithDelayedStart(
            seed,
            startDelay = (9.0 + seed / 4.0).seconds,
            deletionsRefused = true,
            gangWaitS = 4.0,
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `the replacement is in the zone of the others`(seed: Long) {
        assertTaskReplaced(
            runWithDelayedStart(seed, startDelay = LOST_TASK_TIMEOUT + 6.seconds, oneZone = true)
        )
    }

    // Halts that reach only some.

    /**
     * The one machine is preempted by the provider, so all are to save; commands to another are
     * held up.
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
    fun `a halt that is held up for longer than the others wait loses the save`(seed: Long) {
        val scenario = runWithDelayedHalt(seed, haltDelay = (8.0 + seed).seconds)
        assertEquals(null, scenario.simulation.gangs.endCounts["kept"])
        assertTrue(
            (scenario.simulation.gangs.endCounts["peers"] ?: 0) > 0,
            "${scenario.simulation.gangs.endCounts}",
        )
        val saved = scenario.simulation.gangs.savedProgressOf(scenario.gang.id)
        val checkpointPeriod = SingleGangScenario.CHECKPOINT_PERIOD_S.seconds
        assertTrue(saved >= checkpointPeriod, "no progress is kept: $saved")
        assertEquals(0, saved.value % checkpointPeriod.value, "it did not fall back: $saved")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a halt that is held up for less is in time for the save`(seed: Long) {
        val scenario = runWithDelayedHalt(seed, haltDelay = 2.seconds)
        // Once one has saved, the rest is stopped at once.
        val causes = scenario.simulation.gangs.endCounts
        assertTrue((causes["kept"] ?: 0) > 0 && "peers" !in causes, "$causes")
    }

    // A zone that is cut off.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a gang's zone is cut off while its next attempt is due`(seed: Long) {
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

    // Remains in another zone.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `remains in one zone hold the next attempt back, with room in the others`(seed: Long) {
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

    // Remains that no record tells of.

    /** Reports as if its record had been lost: in no other way known here does that come about. */
    @Test
    fun `a task without a record holds back the next attempt until it is gone`() {
        val harness = ControllerHarness()
        harness.writeAcceptedJob(plainJob(tasks = 2, oneZone = true).copy(kind = JobKind.GANG))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").fetchLeaderToken()
        val machines =
            listOf("a", "b").mapIndexed { i, zone -> ManualWorker(harness, "i-00000$i", zone) }
        val unrecordedTask = """{"piece":"job-000001/0","try":3,"status":"running"}"""
        repeat(4) {
            assertTrue(""""halt"""" in machines[0].heartbeatResponse(token, unrecordedTask))
            assertTrue(""""start"""" !in machines[1].heartbeatResponse(token))
            harness.run(2.seconds)
            assertEquals(null, harness.storedValue("t/job-000001/0"))
        }
        machines[0].heartbeatResponse(token)
        harness.run(1.seconds)
        val responses = machines.map { it.heartbeatResponse(token) }
        assertEquals(1, responses.count { """"start"""" in it }, "$responses")
    }

    private companion object {
        /** Three pages of 128 at most. */
        const val THREE_PAGE_TASK_COUNT = 300

        /** The length is drawn from between 1 s and half as much again. */
        const val LONG_ESTIMATE_S = 4_000.0

        /** What is not there by then is taken for lost. */
        val LOST_TASK_TIMEOUT = 14.seconds
    }
}
