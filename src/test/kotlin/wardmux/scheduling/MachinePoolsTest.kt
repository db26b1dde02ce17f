package wardmux.scheduling

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.sim.plainJob

/** Which types stand in for each other: only those that nothing open needs for their size. */
class MachinePoolsTest {
    private val small =
        MachineType(
            "small",
            16.0,
            memoryGb = 128.0,
            price = 0.9,
            spotPrice = 0.2,
            bootS = 40.0,
            zones = listOf("a", "b"),
        )
    private val large =
        MachineType(
            "large",
            64.0,
            memoryGb = 128.0,
            price = 2.4,
            spotPrice = 0.5,
            bootS = 15.0,
            zones = listOf("a"),
        )
    private val context = CoreContext()
    private val pools = MachinePools(context) { listOf(small, large) }

    private fun job(spec: JobSpec) = Job(spec, KeyVersion(1), Micros.ZERO, 128)

    private fun observe(at: Micros, vararg specs: JobSpec) {
        context.setTime(at, at)
        pools.observe(specs.map { job(it) })
    }

    private val smallTask = plainJob(100).copy(cpus = 2.0, memoryGb = 2.0)
    private val largeTask = plainJob(1, "job-000002").copy(cpus = 32.0, memoryGb = 64.0)

    @Test
    fun `a larger type that nothing needs for its size is an exact fit too`() {
        observe(0.seconds, smallTask)
        assertEquals(setOf("small", "large"), pools.exactFor(smallTask))
        assertEquals(listOf(large, small), pools.pools.single().cheapestFirst(spot = true))
    }

    @Test
    fun `one that some work needs stays for that work, also for a while after it`() {
        observe(0.seconds, smallTask, largeTask)
        assertEquals(setOf("small"), pools.exactFor(smallTask))
        assertEquals(setOf("large"), pools.exactFor(largeTask))
        observe(300.seconds, smallTask)
        assertEquals(setOf("small"), pools.exactFor(smallTask))
        observe(1_000.seconds, smallTask)
        assertEquals(setOf("small", "large"), pools.exactFor(smallTask))
    }

    @Test
    fun `what a machine stands for follows from the resource that runs out first`() {
        observe(0.seconds, smallTask)
        assertEquals(4.0, pools.pools.single().weightOf(large))
        // Of tasks that need their memory the large one, which has no more, takes no more.
        val memoryTask = smallTask.copy(memoryGb = 16.0)
        observe(10.seconds, memoryTask)
        assertEquals(1.0, pools.pools.single().weightOf(large))
        assertEquals(listOf(small, large), pools.pools.single().cheapestFirst(spot = true))
    }

    @Test
    fun `dear kinds are measured against the cheapest of their pool`() {
        observe(0.seconds, smallTask)
        assertEquals(1.0, pools.dearness(large, spot = true))
        assertTrue(pools.dearness(small, spot = true) in 1.5..1.7)
        assertTrue(pools.dearness(large, spot = false) < pools.dearness(small, spot = false))
    }

    @Test
    fun `a type that holds no task of the kind is no exact fit for it`() {
        val wide = smallTask.copy(types = listOf("small"))
        observe(0.seconds, wide)
        assertEquals(setOf("small"), pools.exactFor(wide))
    }
}
