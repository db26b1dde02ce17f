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

/**
 * Guards against large machines that are filled with small tasks while large tasks need them, and
 * against large machines that stay unused although no open job needs their size.
 */
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

    private fun refresh(at: Micros, vararg specs: JobSpec) {
        context.setTime(at, at)
        pools.refreshIfDue(specs.map { job(it) })
    }

    private val smallTask = plainJob(100).copy(cpus = 2.0, memoryGb = 2.0)
    private val largeTask = plainJob(1, "job-000002").copy(cpus = 32.0, memoryGb = 64.0)

    @Test
    fun `a larger type that no open job needs for its size is an exact fit for small tasks`() {
        refresh(0.seconds, smallTask)
        assertEquals(setOf("small", "large"), pools.exactTypesFor(smallTask))
        assertEquals(listOf(large, small), pools.pools.single().cheapestFirst(spot = true))
    }

    @Test
    fun `a type that a job needs is no exact fit for smaller tasks until a while after the job`() {
        refresh(0.seconds, smallTask, largeTask)
        assertEquals(setOf("small"), pools.exactTypesFor(smallTask))
        assertEquals(setOf("large"), pools.exactTypesFor(largeTask))
        refresh(300.seconds, smallTask)
        assertEquals(setOf("small"), pools.exactTypesFor(smallTask))
        refresh(1_000.seconds, smallTask)
        assertEquals(setOf("small", "large"), pools.exactTypesFor(smallTask))
    }

    @Test
    fun `the weight of a machine is determined by the resource that runs out first`() {
        refresh(0.seconds, smallTask)
        assertEquals(4.0, pools.pools.single().weightOf(large))
        // Both types have the same memory, so they hold the same number of tasks that are limited
        // by memory.
        val memoryTask = smallTask.copy(memoryGb = 16.0)
        refresh(10.seconds, memoryTask)
        assertEquals(1.0, pools.pools.single().weightOf(large))
        assertEquals(listOf(small, large), pools.pools.single().cheapestFirst(spot = true))
    }

    @Test
    fun `the relative cost of a type is its price relative to the cheapest type of the pool`() {
        refresh(0.seconds, smallTask)
        assertEquals(1.0, pools.relativeCost(large, spot = true))
        assertTrue(pools.relativeCost(small, spot = true) in 1.5..1.7)
        assertTrue(
            pools.relativeCost(large, spot = false) < pools.relativeCost(small, spot = false)
        )
    }

    @Test
    fun `a type that the job does not allow is no exact fit for its tasks`() {
        val wide = smallTask.copy(types = listOf("small"))
        refresh(0.seconds, wide)
        assertEquals(setOf("small"), pools.exactTypesFor(wide))
    }
}
