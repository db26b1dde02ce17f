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

/**
 * Guards against renting machines that the waiting work cannot use, such as for tasks that cannot
 * be placed yet, and against renting types that cost more for the work than others.
 */
class ProvisionerTest {
    /**
     * The number of machines that one decision requests for 80 tasks of a machine each, with [next]
     * as announced limits of the key-value store. Requests are spread evenly over the zones, so
     * this is the largest request times their number.
     */
    private fun machinesRequested(next: AnnouncedStoreLimits?): Int {
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
        assertTrue(counts.isNotEmpty(), "expected requests for machines, but there were none")
        return counts.max() * ZONE_COUNT
    }

    @Test
    fun `one machine is requested for each task that can be placed`() =
        assertEquals(80, machinesRequested(null))

    @Test
    fun `no machine is requested for tasks that the task page of their job has no room for`() {
        val requested =
            machinesRequested(AnnouncedStoreLimits(valueKb = 2.0, txnOps = 4, writeRps = 18.0))
        assertTrue(requested in 35..50, "expected 35 to 50 requested machines, but was $requested")
    }

    /**
     * The kinds of machines that the first decision requests for [jobs]: the label of the type,
     * followed by "spot" for spot machines.
     */
    private fun kindsRequestedFirst(vararg jobs: JobSpec): Set<String> {
        val deployment = ControllerHarness.SETTINGS.deployment
        val teams = listOf(TeamQuota("team-0", 700.0, 12_000.0))
        // With a short lag the cloud's list is not awaited for long, so that the first decision is
        // made before any job has been short of room for a while.
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
    fun `the cheapest type for the work is rented, not the smallest that fits a task`() =
        assertEquals(setOf("large spot"), kindsRequestedFirst(smallTasks))

    @Test
    fun `a large type that larger tasks need is not used for small tasks`() {
        val largeTask = plainJob(4, "job-000002").copy(cpus = 32.0, memoryGb = 64.0)
        val requested = kindsRequestedFirst(smallTasks, largeTask)
        assertEquals(setOf("small spot", "large spot"), requested)
    }

    @Test
    fun `a service gets ordinary machines even while spot machines are rented for other work`() {
        val service =
            plainJob(64, "job-000003")
                .copy(kind = JobKind.SERVICE, spot = false, spread = true, estimateS = 0.0)
        val requested = kindsRequestedFirst(smallTasks, service)
        assertEquals(setOf("large spot", "large"), requested)
    }

    private companion object {
        const val ZONE_COUNT = 2
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
