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
 * Guards against a drain that stops or exceeds a disruption budget after a crash of its leader and
 * of a machine. The drain is controlled with the command line over real sockets. Three controllers
 * run as separate processes. The disruptions of each team are counted from the records of the fake
 * workers. The long form takes the number of machines from the system property `drain.machines`:
 *
 *     mvn -q test -Dtest=DrainLoopbackTest -Ddrain.machines=240
 *
 * The property `drain.step` sets the number of machines in a step, and `drain.solver` the solver's
 * time limit in seconds; with 0 all plans are greedy.
 */
class DrainLoopbackTest {
    @TempDir lateinit var directory: File

    private val machines = System.getProperty("drain.machines")?.toInt() ?: SHORT_RUN_MACHINES
    private val isLong = machines > SHORT_RUN_MACHINES
    private val budget = maxOf(4, machines / 15)

    private val operatorSettings =
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
        (0 until machines / MACHINES_PER_SERVICE).map { number ->
            plainJob(REPLICAS_PER_SERVICE, "job-%06d".format(number + 1))
                .copy(
                    team = "team-${number % 3}",
                    kind = JobKind.SERVICE,
                    cpus = 8.0,
                    spot = false,
                    estimateS = 0.0,
                )
        }

    /** The exit code and the output of a command. */
    private class CommandResult(val code: Int, val text: String)

    /** Runs `drain` with [arguments] in this process against all controllers. */
    private fun LoopbackCluster.command(vararg arguments: String): CommandResult {
        val out = StringWriter()
        val line = CommandLine(WardmuxCommand())
        line.setOut(PrintWriter(out, true)).setErr(PrintWriter(out, true))
        val addresses = operatorAddresses.flatMap { listOf("--controller", it) }
        val fullCommand = listOf("drain") + arguments + addresses + listOf("--timeout", "60")
        return CommandResult(line.execute(*fullCommand.toTypedArray()), out.toString())
    }

    /** Waits until [condition] holds; fails after [timeout] and reports [event] and the logs. */
    private fun LoopbackCluster.await(event: String, timeout: Micros, condition: () -> Boolean) {
        val deadline = System.nanoTime() + timeout.value * 1_000
        while (!condition()) {
            if (System.nanoTime() > deadline)
                error("not within ${timeout.inSeconds} s: $event; ${stored("d1")}\n${logs()}")
            Thread.sleep(200)
        }
    }

    @Test
    fun `a drain continues within the budgets after a crash of its leader and of a machine`() {
        LoopbackCluster(directory, operatorSettings, machines, cpusPerTeam = machines * 16.0).use {
            cluster ->
            val services = services()
            services.forEach { cluster.submit(it) }
            val replicaCount = services.sumOf { it.tasks }
            cluster.await("all services run", 300.seconds) {
                cluster.running(services) == replicaCount
            }
            val machinesToDrain = cluster.machines(DRAINED_ZONE)
            val startedAt = cluster.now()
            val machineCountBefore = cluster.machines().size
            val machineSecondsBefore = cluster.machineSeconds()

            val selectionOptions =
                if (isLong) arrayOf("--type", "mid", "--ordinary")
                else arrayOf("--zone", DRAINED_ZONE)
            val stepSize = System.getProperty("drain.step") ?: if (isLong) "20" else "8"
            val options = selectionOptions + arrayOf("--grace", "5", "--step-size", stepSize)
            val check = cluster.command("check", "--id", "d1", *options)
            assertEquals(DrainExit.OK, check.code, check.text)
            assertTrue("step 1" in check.text, check.text)
            val started = cluster.command("start", "--id", "d1", *options)
            assertEquals(DrainExit.OK, started.code, started.text)
            assertEquals(DrainExit.OK, cluster.command("start", "--id", "d1", *options).code)

            cluster.await("the first step is emptying", 120.seconds) { cluster.isEmptyingStep() }
            val leader = checkNotNull(cluster.leader())
            cluster.kill(leader)
            val statusDuringFailover = cluster.command("status", "d1")
            assertEquals(DrainExit.OK, statusDuringFailover.code, statusDuringFailover.text)
            cluster.start(leader)
            val crashedMachine = cluster.busyMachines(OTHER_ZONE).firstOrNull()
            crashedMachine?.let { cluster.crash(it) }

            val timeout = if (isLong) 3600.seconds else 400.seconds
            cluster.await("drain done", timeout) { cluster.stored("d1")?.state == DrainState.DONE }
            val duration = cluster.now() - startedAt
            cluster.await("all services run again", 300.seconds) {
                cluster.running(services) == replicaCount
            }
            assertEquals(
                emptyList(),
                cluster.machines(DRAINED_ZONE).filter { it in machinesToDrain },
            )
            assertEquals(emptyList(), cluster.problems(budget, noticedAfter = 30.seconds))
            val list = cluster.command("list")
            assertTrue("d1  done" in list.text, list.text)
            val extraMachineSeconds =
                cluster.machineSeconds() -
                    machineSecondsBefore -
                    machineCountBefore * duration.inSeconds.toLong()
            if (isLong) println(summary(cluster, duration, extraMachineSeconds))
            assertEquals(DrainExit.CONFLICT, cluster.command("cancel", "d1").code)
            assertEquals(DrainExit.UNKNOWN_DRAIN, cluster.command("status", "d2").code)
            val unknownType = cluster.command("start", "--id", "d3", "--type", "none")
            assertEquals(DrainExit.BAD_REQUEST, unknownType.code)
            assertEquals(1, unknownType.text.trim().lines().size, unknownType.text)
        }
    }

    private fun LoopbackCluster.isEmptyingStep() = stored("d1")?.step?.phase == StepPhase.EMPTYING

    private fun summary(cluster: LoopbackCluster, duration: Micros, extraSeconds: Long): String {
        val record = cluster.stored("d1")
        return "machines $machines, budget $budget, disrupted at most ${cluster.peaks()}, " +
            "took ${duration.inSeconds.toInt()} s, steps ${record?.stepsDone}, " +
            "returned ${record?.returned}, evicted ${record?.moved}, " +
            "additional machine hours ${"%.2f".format(extraSeconds / 3600.0)}"
    }

    private companion object {
        /** The default number of machines, in three zones. */
        const val SHORT_RUN_MACHINES = 40
        const val REPLICAS_PER_SERVICE = 8
        const val MACHINES_PER_SERVICE = 4
        const val DRAINED_ZONE = "a"
        const val OTHER_ZONE = "b"
    }
}
