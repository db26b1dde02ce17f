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
        val day = GangFaultDay(seed, txnOps = 3)
        day.submit(MANY, cpus = 0.1, estimateS = 10.0)
        var writes = 0
        var partly = false
        day.simulation.state.late = { from, transaction ->
            val pages = day.pagesIn(transaction)
            if (pages > 0) writes++
            val end = {
                partly = day.recorded().size in 1 until MANY
                day.simulation.crash(from, day.clock.between(1.seconds, 8.seconds))
            }
            val ends = pages > 0 && writes == if (seed % 3 == 1L) 2 else 1
            if (ends && seed % 3 == 1L) end()
            // Carried out before this, and the answer is on its way, or the next write is not.
            if (ends && seed % 3 == 0L) day.clock.after(Micros(1)) { end() }
            if (ends && seed % 3 == 2L)
                day.clock.after(day.clock.between(9.milliseconds, 200.milliseconds), end)
            ends && seed % 3 == 1L
        }
        day.isDone(160.seconds)
        assertTrue(partly, "the leader did not end between the writes")
    }

    /** All pages in one transaction, which is carried out late, or of which nobody hears. */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a leader ends with the one write of several pages`(seed: Long) {
        val day = GangFaultDay(seed)
        day.submit(MANY, cpus = 0.1, estimateS = 10.0)
        var writes = 0
        day.simulation.state.late = { from, transaction ->
            val ends = day.pagesIn(transaction) == 3 && ++writes == 1
            if (ends) {
                day.clock.after(Micros(1)) {
                    day.simulation.crash(from, day.clock.between(1.seconds, 8.seconds))
                }
            }
            ends && seed % 2 == 0L
        }
        day.isDone(160.seconds)
        assertTrue(writes > 0, "the pages were never written together")
    }

    // A replacement under the number of the attempt that is out.

    /** The first task that is started is held up for [late], and its machine is given up. */
    private fun lateStart(
        seed: Long,
        late: Micros,
        oneZone: Boolean = false,
        undeleted: Boolean = false,
        gangWaitS: Double = 90.0,
    ): GangFaultDay {
        val day = GangFaultDay(seed, gangWaitS = gangWaitS)
        day.submit(tasks = 2, cpus = 9.0, estimateS = 20.0, oneZone)
        val simulation = day.simulation
        var target: String? = null
        day.whenStarted = { _, machine ->
            if (target == null) {
                target = machine
                // Nothing that is sent later arrives before it.
                simulation.lateOrders[machine] = late
                day.clock.after(12.milliseconds) {
                    if (seed % 2 == 0L) day.deaf(machine, 60.seconds)
                    else day.mute(machine, 60.seconds)
                }
                day.clock.after(3.seconds) { day.roomOutside("") }
                if (undeleted) day.keepMachines(late + 4.seconds)
            }
        }
        day.isDone(240.seconds)
        return day
    }

    private fun assertReplaced(day: GangFaultDay) =
        assertTrue(day.recordedOn.values.any { it.size > 1 }, "nothing was replaced")

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a lost task is replaced beside its late start`(seed: Long) {
        val late = (2.0 * seed + 4.0).seconds
        val day = lateStart(seed, late)
        if (late >= GIVEN_UP) assertReplaced(day)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a late start comes to a machine that can't be deleted yet`(seed: Long) {
        lateStart(seed, late = (2.0 * seed + 4.0).seconds, undeleted = true)
    }

    /** The others have left when the start comes, and the next attempt is due. */
    @ParameterizedTest
    @ValueSource(longs = [2, 4, 6, 8, 10, 12, 14, 16])
    fun `a late start of an attempt that is over holds back the next`(seed: Long) {
        lateStart(seed, late = (9.0 + seed / 4.0).seconds, undeleted = true, gangWaitS = 4.0)
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `the replacement is in the zone of the others`(seed: Long) {
        assertReplaced(lateStart(seed, late = GIVEN_UP + 6.seconds, oneZone = true))
    }

    // Halts that reach only some.

    /** The one machine is taken back, so all are to save; orders to another are held up. */
    private fun haltedInPart(seed: Long, heldUp: Micros): GangFaultDay {
        val day = GangFaultDay(seed)
        day.submit(tasks = 3, cpus = 9.0, estimateS = LONG)
        day.onceItRuns(after = day.clock.between(6.seconds, 14.seconds)) {
            val (taken, other) = day.machines()
            taken.recallS = 25.0
            day.clock.after(25.seconds) { day.simulation.cloud.takeBack(taken) }
            if (seed % 2 == 0L) day.hang(other, heldUp)
            else {
                day.simulation.lateOrders[other.id] = heldUp
                day.mute(other.id, heldUp)
                day.clock.after(heldUp) { day.simulation.lateOrders.remove(other.id) }
            }
        }
        day.beginsAgain(120.seconds)
        return day
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `a halt that is held up for longer than the others wait loses the save`(seed: Long) {
        val day = haltedInPart(seed, heldUp = (8.0 + seed).seconds)
        assertEquals(null, day.simulation.gangs.causes["kept"])
        assertTrue(
            (day.simulation.gangs.causes["peers"] ?: 0) > 0,
            "${day.simulation.gangs.causes}",
        )
        val saved = day.simulation.gangs.savedOf(day.gang.id)
        val step = GangFaultDay.CHECKPOINT_S.seconds
        assertTrue(saved >= step, "no progress is kept: $saved")
        assertEquals(0, saved.value % step.value, "it did not fall back: $saved")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a halt that is held up for less is in time for the save`(seed: Long) {
        val day = haltedInPart(seed, heldUp = 2.seconds)
        // Once one has saved, the rest is stopped at once.
        val causes = day.simulation.gangs.causes
        assertTrue((causes["kept"] ?: 0) > 0 && "peers" !in causes, "$causes")
    }

    // A zone that is cut off.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6, 7, 8])
    fun `a gang's zone is cut off while its next attempt is due`(seed: Long) {
        val day = GangFaultDay(seed)
        day.submit(tasks = 2, cpus = 9.0, estimateS = LONG, oneZone = true)
        day.onceItRuns(after = day.clock.between(3.seconds, 9.seconds)) {
            val zone = day.machines().first().zone
            val length = day.clock.between(20.seconds, 60.seconds)
            if (seed % 2 == 0L) day.keepMachines(40.seconds)
            day.clock.after(6.seconds) { day.roomOutside(zone) }
            for (worker in day.simulation.cloud.workers()) {
                if (worker.zone == zone) day.cutOff(worker.id, length)
            }
            if (seed % 4 < 2) {
                day.clock.after(day.clock.between(6.seconds, 12.seconds)) {
                    day.machines().firstOrNull()?.let(day.simulation.cloud::kill)
                }
            }
        }
        day.beginsAgain(200.seconds)
    }

    // Remains in another zone.

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5, 6])
    fun `remains in one zone hold the next attempt back, with room in the others`(seed: Long) {
        val day = GangFaultDay(seed)
        day.submit(tasks = 2, cpus = 9.0, estimateS = LONG, oneZone = true)
        day.onceItRuns(after = day.clock.between(3.seconds, 9.seconds)) {
            val (lost, hanging) = day.machines()
            val zone = lost.zone
            day.hang(hanging, day.clock.between(11.seconds, 13.seconds))
            if (seed % 2 == 0L) day.keepMachines(30.seconds)
            day.simulation.cloud.kill(lost)
            for (worker in day.simulation.cloud.workers()) {
                if (worker !== hanging && worker.zone == zone) day.simulation.cloud.kill(worker)
            }
            day.clock.after(5.seconds) { day.roomOutside(zone) }
        }
        day.beginsAgain(120.seconds)
    }

    // Remains that no record tells of.

    /** Reports as if its record had been lost: in no other way known here does that come about. */
    @Test
    fun `a task without a record holds back the next attempt until it is gone`() {
        val harness = ControllerHarness()
        harness.accept(plainJob(tasks = 2, oneZone = true).copy(kind = JobKind.GANG))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000099").token()
        val machines =
            listOf("a", "b").mapIndexed { i, zone -> ManualWorker(harness, "i-00000$i", zone) }
        val remains = """{"piece":"job-000001/0","try":3,"status":"running"}"""
        repeat(4) {
            assertTrue(""""halt"""" in machines[0].handleHeartbeat(token, remains))
            assertTrue(""""start"""" !in machines[1].handleHeartbeat(token))
            harness.run(2.seconds)
            assertEquals(null, harness.stored("t/job-000001/0"))
        }
        machines[0].handleHeartbeat(token)
        harness.run(1.seconds)
        val answers = machines.map { it.handleHeartbeat(token) }
        assertEquals(1, answers.count { """"start"""" in it }, "$answers")
    }

    private companion object {
        /** Three pages of 128 at most. */
        const val MANY = 300

        /** The length is drawn from between 1 s and half as much again. */
        const val LONG = 4_000.0

        /** What is not there by then is taken for lost. */
        val GIVEN_UP = 14.seconds
    }
}
