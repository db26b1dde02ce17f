package wardmux.cli

import com.sun.net.httpserver.HttpServer
import java.io.PrintWriter
import java.io.StringWriter
import java.net.InetSocketAddress
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

/**
 * Guards against exit codes and messages of the drain commands that mislead operators: when no
 * controller can be reached, when an option is invalid, and in the text for a drain's status.
 */
class DrainCommandTest {
    private val output = StringWriter()

    private fun run(vararg arguments: String): Int {
        val commandLine = CommandLine(WardmuxCommand())
        val writer = PrintWriter(output, true)
        return commandLine.setOut(writer).setErr(writer).execute("drain", *arguments)
    }

    @Test
    fun `a timeout is reported together with whether the request may have been carried out`() {
        val code = run("list", "--controller", "127.0.0.1:1", "--timeout", "0.5")
        assertEquals(DrainExit.NO_ANSWER, code)
        assertTrue(
            "nothing was carried out" in output.toString(),
            "expected \"nothing was carried out\" in: $output",
        )
    }

    /** Runs `drain start` against a controller that answers each request with 503 and [body]. */
    private fun startAgainst(body: String): Int {
        val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)
        server.createContext("/") { exchange ->
            exchange.requestBody.readAllBytes()
            exchange.sendResponseHeaders(503, body.length.toLong())
            exchange.responseBody.use { it.write(body.encodeToByteArray()) }
        }
        server.start()
        val address = "127.0.0.1:${server.address.port}"
        try {
            return run("start", "--id", "d1", "--controller", address, "--timeout", "1.0")
        } finally {
            server.stop(0)
        }
    }

    @Test
    fun `an unknown outcome of a forwarded request is not reported as nothing carried out`() {
        val code = startAgainst("""{"error":"no answer","outcome_unknown":true}""")
        assertEquals(DrainExit.NO_ANSWER, code)
        assertTrue("it is not known whether" in output.toString(), "in: $output")
        assertTrue("wardmux drain list" in output.toString(), "in: $output")
    }

    @Test
    fun `a request that no leader got is reported as nothing carried out`() {
        val code = startAgainst("""{"error":"no leader"}""")
        assertEquals(DrainExit.NO_ANSWER, code)
        assertTrue("nothing was carried out" in output.toString(), "in: $output")
    }

    @Test
    fun `an invalid option is reported by its name with the exit code of a bad request`() {
        assertEquals(DrainExit.BAD_REQUEST, run("list", "--controller", "nowhere"))
        assertTrue("--controller" in output.toString(), "expected --controller in: $output")
        assertEquals(DrainExit.BAD_REQUEST, run("start", "--id", "d1", "--order", "sideways"))
        assertTrue("--order" in output.toString(), "expected --order in: $output")
        assertEquals(DrainExit.BAD_REQUEST, run("start"))
        assertTrue("--id" in output.toString(), "expected --id in: $output")
        assertEquals(DrainExit.BAD_REQUEST, run("start", "--id", "x", "--spot", "--ordinary"))
        assertEquals(DrainExit.BAD_REQUEST, run())
    }

    @Test
    fun `the text for a drain holds its state, its step, what it waits for and its budgets`() {
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
        for (part in parts) assertTrue(part in text, "expected \"$part\" in: $text")
        val stored = DrainText.status(DrainStatus(record, Source.STORE, ageS = 0.5))
        assertTrue("0.5 s old" in stored, "expected \"0.5 s old\" in: $stored")
    }
}
