package wardmux.cloud

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.AnnouncedStoreLimits
import wardmux.config.TeamQuota
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.MachineType
import wardmux.model.seconds
import wardmux.records.MachineTypeList
import wardmux.sim.ControllerHarness
import wardmux.sim.plainJob

class ProvisionerTest {
    /** The machines that are asked for in one decision, as many in each zone. */
    private fun askedFor(next: AnnouncedStoreLimits?): Int {
        val deployment = ControllerHarness.SETTINGS.deployment
        val settings =
            ControllerHarness.SETTINGS.copy(
                deployment =
                    deployment.copy(
                        teams = listOf(TeamQuota("team-0", 700.0, 12_000.0)),
                        state = deployment.state.copy(next = next),
                    )
            )
        val harness = ControllerHarness(platform = settings)
        harness.writeAcceptedJob(plainJob(80).copy(cpus = 16.0))
        harness.run(20.seconds)
        val counts =
            harness.cloudRequests
                .filter { it.startsWith("/machines {") }
                .map { Regex("\"count\":(\\d+)").find(it)!!.groupValues[1].toInt() }
        assertTrue(counts.isNotEmpty(), "nothing was asked for")
        return counts.max() * ZONES
    }

    @Test
    fun `a machine is asked for each task that can be placed`() = assertEquals(80, askedFor(null))

    @Test
    fun `none is asked for what the page of the job cannot take yet`() {
        val asked = askedFor(AnnouncedStoreLimits(valueKb = 2.0, txnOps = 4, writeRps = 18.0))
        assertTrue(asked in 35..50, "$asked asked for")
    }

    /** Kinds of machines that are asked for first, as "type spot". */
    private fun kindsAskedFor(vararg jobs: JobSpec): Set<String> {
        val deployment = ControllerHarness.SETTINGS.deployment
        val teams = listOf(TeamQuota("team-0", 700.0, 12_000.0))
        // The list is not waited for, so that it is decided before anything waited for long.
        val cloud = deployment.cloud.copy(listLagS = 0.1)
        val settings =
            ControllerHarness.SETTINGS.copy(
                deployment = deployment.copy(teams = teams, cloud = cloud)
            )
        val harness = ControllerHarness(platform = settings)
        harness.write(MachineTypeList.KEY, MachineTypeList.encode(listOf(SMALL, LARGE)))
        for (job in jobs) harness.writeAcceptedJob(job)
        harness.run(4.seconds)
        return harness.cloudRequests
            .filter { it.startsWith("/machines {") }
            .map { Regex(""""boxkind":"(\w+)".*"loaners":(\w+)""").find(it)!!.destructured }
            .mapTo(HashSet()) { (type, spot) -> if (spot == "true") "$type spot" else type }
    }

    private val smallTasks = plainJob(200).copy(cpus = 2.0, memoryGb = 2.0)

    @Test
    fun `the type that costs least for the work is rented, not the smallest that holds a task`() =
        assertEquals(setOf("large spot"), kindsAskedFor(smallTasks))

    @Test
    fun `a large type that other work needs is left to it`() {
        val largeTask = plainJob(4, "job-000002").copy(cpus = 32.0, memoryGb = 64.0)
        val asked = kindsAskedFor(smallTasks, largeTask)
        assertEquals(setOf("small spot", "large spot"), asked)
    }

    @Test
    fun `a service gets ordinary machines, however many spot machines there are`() {
        val service =
            plainJob(64, "job-000003")
                .copy(kind = JobKind.SERVICE, spot = false, spread = true, estimateS = 0.0)
        val asked = kindsAskedFor(smallTasks, service)
        assertEquals(setOf("large spot", "large"), asked)
    }

    private companion object {
        const val ZONES = 2
        val SMALL =
            MachineType(
                "small",
                16.0,
                memoryGb = 128.0,
                cacheGb = 50.0,
                price = 0.9,
                spotPrice = 0.2,
                bootS = 40.0,
                zones = listOf("a", "b"),
            )
        val LARGE =
            SMALL.copy(label = "large", cpus = 64.0, price = 2.4, spotPrice = 0.5, bootS = 15.0)
    }
}
