package wardmux.drain

import java.io.File
import java.io.PrintWriter
import java.io.StringWriter
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import org.junit.jupiter.api.io.TempDir
import picocli.CommandLine
import wardmux.app.WardmuxCommand
import wardmux.cli.DrainExit
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.sim.plainJob

/**
 * A drain driven by the command line over real sockets, with three controllers as processes of
 * their own, while a leader and a worker are killed. What each team lost is counted from the
 * stand-in workers' own records. The long form takes the number of machines from `drain.machines`:
 *
 *     mvn -q test -Dtest=DrainLoopbackTest -Ddrain.machines=240
 *
 * `drain.step` sets the size of steps, and `drain.solver` the solver's time: 0 for greedy plans.
 */
class DrainLoopbackTest {
    @TempDir lateinit var directory: File

    private val machines = System.getProperty("drain.machines")?.toInt() ?: SHORT
    private val isLong = machines > SHORT
    private val budget = maxOf(4, machines / 15)

    private val operators =
        """
        [drain]
        address = "127.0.0.1:PORT"
        solver_time_s = ${System.getProperty("drain.solver") ?: "0.2"}

        [drain.budget]
        most_disrupted = $budget
        step_pause_s = 1.0
        """
            .trimIndent()

    private fun services(): List<JobSpec> =
        (0 until machines / MACHINES_A_SERVICE).map { number ->
            plainJob(REPLICAS, "job-%06d".format(number + 1))
                .copy(
                    team = "team-${number % 3}",
                    kind = JobKind.SERVICE,
                    cpus = 8.0,
                    spot = false,
                    estimateS = 0.0,
                )
        }

    private class Told(val code: Int, val text: String)

    private fun LoopbackCluster.command(vararg arguments: String): Told {
        val out = StringWriter()
        val line = CommandLine(WardmuxCommand())
        line.setOut(PrintWriter(out, true)).setErr(PrintWriter(out, true))
        val addresses = operatorAddresses.flatMap { listOf("--controller", it) }
        val all = listOf("drain") + arguments + addresses + listOf("--timeout", "60")
        return Told(line.execute(*all.toTypedArray()), out.toString())
    }

    private fun LoopbackCluster.await(what: String, most: Micros, reached: () -> Boolean) {
        val deadline = System.nanoTime() + most.value * 1_000
        while (!reached()) {
            if (System.nanoTime() > deadline)
                error("not in time: $what; ${stored("d1")}\n${logs()}")
            Thread.sleep(200)
        }
    }

    @Test
    fun `a drain continues within the budgets after a crash of its leader and of a machine`() {
        LoopbackCluster(directory, operators, machines, teamCpus = machines * 16.0).use { cluster ->
            val services = services()
            services.forEach { cluster.submit(it) }
            val all = services.sumOf { it.tasks }
            cluster.await("all services run", 300.seconds) { cluster.running(services) == all }
            val before = cluster.machines(ZONE)
            val began = cluster.now()
            val upBefore = cluster.machines().size
            val secondsBefore = cluster.machineSeconds()

            val selection =
                if (isLong) arrayOf("--type", "mid", "--ordinary") else arrayOf("--zone", ZONE)
            val size = System.getProperty("drain.step") ?: if (isLong) "20" else "8"
            val options = selection + arrayOf("--grace", "5", "--step-size", size)
            val check = cluster.command("check", "--id", "d1", *options)
            assertEquals(DrainExit.OK, check.code, check.text)
            assertTrue("step 1" in check.text, check.text)
            val started = cluster.command("start", "--id", "d1", *options)
            assertEquals(DrainExit.OK, started.code, started.text)
            assertEquals(DrainExit.OK, cluster.command("start", "--id", "d1", *options).code)

            cluster.await("the first step", 120.seconds) { cluster.isEmptying() }
            val leader = checkNotNull(cluster.leader())
            cluster.kill(leader)
            val during = cluster.command("status", "d1")
            assertEquals(DrainExit.OK, during.code, during.text)
            cluster.start(leader)
            val other = cluster.busyMachines(OTHER_ZONE).firstOrNull()
            other?.let { cluster.crash(it) }

            val most = if (isLong) 3600.seconds else 400.seconds
            cluster.await("done", most) { cluster.stored("d1")?.state == DrainState.DONE }
            val took = cluster.now() - began
            cluster.await("all services run again", 300.seconds) {
                cluster.running(services) == all
            }
            assertEquals(emptyList(), cluster.machines(ZONE).filter { it in before })
            assertEquals(emptyList(), cluster.problems(budget, noticedAfter = 30.seconds))
            val list = cluster.command("list")
            assertTrue("d1  done" in list.text, list.text)
            val extra =
                cluster.machineSeconds() - secondsBefore - upBefore * took.inSeconds.toLong()
            if (isLong) println(figures(cluster, took, extra))
            assertEquals(DrainExit.CONFLICT, cluster.command("cancel", "d1").code)
            assertEquals(DrainExit.UNKNOWN_DRAIN, cluster.command("status", "d2").code)
            val unknown = cluster.command("start", "--id", "d3", "--type", "none")
            assertEquals(DrainExit.BAD_REQUEST, unknown.code)
            assertEquals(1, unknown.text.trim().lines().size, unknown.text)
        }
    }

    private fun LoopbackCluster.isEmptying() = stored("d1")?.step?.phase == StepPhase.EMPTYING

    private fun figures(cluster: LoopbackCluster, took: Micros, extraSeconds: Long): String {
        val record = cluster.stored("d1")
        return "machines $machines, budget $budget, lost at most ${cluster.peaks()}, " +
            "took ${took.inSeconds.toInt()} s, steps ${record?.stepsDone}, " +
            "returned ${record?.returned}, moved ${record?.moved}, " +
            "machine hours beyond those before ${"%.2f".format(extraSeconds / 3600.0)}"
    }

    private companion object {
        /** Some 40 machines in three zones. */
        const val SHORT = 40
        const val REPLICAS = 8
        const val MACHINES_A_SERVICE = 4
        const val ZONE = "a"
        const val OTHER_ZONE = "b"
    }
}
