package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import wardmux.model.seconds

/** The checker of budgets catches what goes beyond them, and counts from the workers alone. */
class DisruptionCounterTest {
    private val losses = DisruptionCounter()

    private fun runs(vararg tasks: String) =
        tasks.forEach { losses.runs(0.seconds, "job-1/$it", "team-0") }

    private fun beyond(limit: Int) = losses.beyond({ limit }, 8.seconds).size

    @Test
    fun `a stop beyond the limit is caught, and only that one`() {
        runs("0", "1", "2")
        losses.lost(1.seconds, "job-1/0", LossCause.STOPPED)
        losses.lost(2.seconds, "job-1/1", LossCause.STOPPED)
        assertEquals(1, beyond(1))
        assertEquals(0, beyond(2))
        assertEquals(2, losses.peakOf("team-0"))
    }

    @Test
    fun `what runs again, is done or cancelled is not lost`() {
        runs("0", "1", "2")
        losses.lost(1.seconds, "job-1/0", LossCause.STOPPED)
        losses.runs(2.seconds, "job-1/0", "team-0")
        losses.lost(3.seconds, "job-1/1", LossCause.STOPPED)
        losses.done("job-1/1")
        losses.lost(4.seconds, "job-1/2", LossCause.STOPPED)
        assertEquals(0, beyond(1))
        losses.cancelled("job-1")
        assertEquals(emptySet(), losses.lostNow("team-0"))
    }

    @Test
    fun `a crash counts against a later stop once it can be known`() {
        runs("0", "1", "2")
        losses.lost(1.seconds, "job-1/0", LossCause.CRASHED)
        losses.lost(5.seconds, "job-1/1", LossCause.STOPPED)
        assertEquals(0, beyond(1))
        losses.runs(6.seconds, "job-1/1", "team-0")
        losses.lost(20.seconds, "job-1/1", LossCause.STOPPED)
        assertEquals(1, beyond(1))
    }
}
