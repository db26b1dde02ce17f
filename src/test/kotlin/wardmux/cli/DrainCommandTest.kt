package wardmux.cli

import java.io.PrintWriter
import java.io.StringWriter
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import picocli.CommandLine
import wardmux.app.WardmuxCommand
import wardmux.drain.BudgetStatus
import wardmux.drain.DrainRecord
import wardmux.drain.DrainRequest
import wardmux.drain.DrainSelector
import wardmux.drain.DrainState
import wardmux.drain.DrainStatus
import wardmux.drain.DrainStep
import wardmux.drain.Source
import wardmux.drain.StepPhase

/** The command line where no controller can be asked, and what it says of answers. */
class DrainCommandTest {
    private val output = StringWriter()

    private fun run(vararg arguments: String): Int {
        val commandLine = CommandLine(WardmuxCommand())
        val writer = PrintWriter(output, true)
        return commandLine.setOut(writer).setErr(writer).execute("drain", *arguments)
    }

    @Test
    fun `a timeout is reported with what is known of the request`() {
        val code = run("list", "--controller", "127.0.0.1:1", "--timeout", "0.5")
        assertEquals(DrainExit.NO_ANSWER, code)
        assertTrue("nothing was carried out" in output.toString(), output.toString())
    }

    @Test
    fun `an invalid option is a bad request that names it`() {
        assertEquals(DrainExit.BAD_REQUEST, run("list", "--controller", "nowhere"))
        assertTrue("--controller" in output.toString())
        assertEquals(DrainExit.BAD_REQUEST, run("start", "--id", "d1", "--order", "sideways"))
        assertTrue("--order" in output.toString())
        assertEquals(DrainExit.BAD_REQUEST, run("start"))
        assertTrue("--id" in output.toString())
        assertEquals(DrainExit.BAD_REQUEST, run("start", "--id", "x", "--spot", "--ordinary"))
        assertEquals(DrainExit.BAD_REQUEST, run())
    }

    @Test
    fun `a drain is shown with its step, what it waits for and its budgets`() {
        val step = DrainStep(2, StepPhase.EMPTYING, listOf("i-000007"), listOf("job-1/0"), 0)
        val request = DrainRequest("d1", DrainSelector(zones = listOf("a")))
        val record =
            DrainRecord(
                request,
                DrainState.RUNNING,
                4,
                0,
                0,
                "i-9",
                step = step,
                stepsDone = 1,
                moved = 3,
            )
        val budget = BudgetStatus("team-0", limit = 2, disrupted = 1, minReplicas = 0)
        val text =
            DrainText.status(
                DrainStatus(record, Source.LEADER, 0.0, "room", remaining = 5, listOf(budget))
            )
        val parts =
            listOf("d1: running", "i-000007", "waits for: room", "1 of 2", "5 machines left")
        for (part in parts) assertTrue(part in text, "$part is not in $text")
        val stored = DrainText.status(DrainStatus(record, Source.STORE, ageS = 0.5))
        assertTrue("0.5 s old" in stored, stored)
    }
}
