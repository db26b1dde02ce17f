package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.seconds

/**
 * Guards against a [DisruptionCounter] that misses stops over a disruption budget, or counts tasks
 * that are not disrupted: drain tests rely on it to detect broken budgets.
 */
class DisruptionCounterTest {
    private val disruptions = DisruptionCounter()

    private fun startTasks(vararg tasks: String) =
        tasks.forEach { disruptions.recordRunning(0.seconds, "job-1/$it", "team-0") }

    private fun stopsOverLimit(limit: Int) = disruptions.stopsOverLimit({ limit }, 8.seconds).size

    @Test
    fun `only a stop that exceeds the limit is reported`() {
        startTasks("0", "1", "2")
        disruptions.recordDisruption(1.seconds, "job-1/0", DisruptionCause.STOPPED)
        disruptions.recordDisruption(2.seconds, "job-1/1", DisruptionCause.STOPPED)
        assertEquals(1, stopsOverLimit(1))
        assertEquals(0, stopsOverLimit(2))
        assertEquals(2, disruptions.peakOf("team-0"))
    }

    @Test
    fun `a task that runs again, is done or is cancelled is not disrupted`() {
        startTasks("0", "1", "2")
        disruptions.recordDisruption(1.seconds, "job-1/0", DisruptionCause.STOPPED)
        disruptions.recordRunning(2.seconds, "job-1/0", "team-0")
        disruptions.recordDisruption(3.seconds, "job-1/1", DisruptionCause.STOPPED)
        disruptions.recordDone("job-1/1")
        disruptions.recordDisruption(4.seconds, "job-1/2", DisruptionCause.STOPPED)
        assertEquals(0, stopsOverLimit(1))
        disruptions.recordCancellation("job-1")
        assertEquals(emptySet(), disruptions.disruptedTasks("team-0"))
    }

    @Test
    fun `a crash counts for a later stop only after the detection delay`() {
        startTasks("0", "1", "2")
        disruptions.recordDisruption(1.seconds, "job-1/0", DisruptionCause.CRASHED)
        disruptions.recordDisruption(5.seconds, "job-1/1", DisruptionCause.STOPPED)
        assertEquals(0, stopsOverLimit(1))
        disruptions.recordRunning(6.seconds, "job-1/1", "team-0")
        disruptions.recordDisruption(20.seconds, "job-1/1", DisruptionCause.STOPPED)
        assertEquals(1, stopsOverLimit(1))
    }
}
