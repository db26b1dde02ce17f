package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.Micros
import wardmux.app.TeamFacts
import wardmux.secs

/** Each rule is broken on purpose: a checker that cannot fail checks nothing. */
class RulesTest {
    private val rules = Rules(listOf(TeamFacts("t", 8.0, 16.0)), 36.secs)
    private val job = "job-000001"

    private fun spec(tasks: Int = 3) =
        plainJob(tasks, job)
            .copy(
                team = "t",
                cpus = 8.0,
                image = "i",
                imageGb = 1.0,
                types = listOf("mid"),
                spot = false,
                estimateS = 5.0,
            )

    private fun start(
        task: Int,
        machine: String = "m1",
        type: String = "mid",
        zone: String = "a",
        spot: Boolean = false,
        at: Micros = Micros.ZERO,
    ) = rules.started(at, job, task, machine, type, zone, spot)

    private fun told(call: String, status: Int, state: String?) =
        rules.told(1.secs, job, call, status, state)

    private fun assertBroken(rule: String) =
        assertTrue(rules.broken.any { it.startsWith("$rule:") }, "$rule in ${rules.broken}")

    @Test
    fun `a day in order breaks nothing`() {
        rules.submitted(spec(1))
        told("POST", 201, "queued")
        start(0)
        told("GET", 200, "running")
        rules.ended(job, 0, "m1", done = true)
        told("GET", 200, "done")
        told("POST", 200, "done")
        rules.check(99.secs)
        assertEquals(emptyList(), rules.broken)
    }

    @Test
    fun `ran_twice`() {
        rules.submitted(spec())
        start(0, "m1")
        start(0, "m2")
        assertBroken("ran_twice")
    }

    @Test
    fun `quota`() {
        rules.submitted(spec())
        for (task in 0..2) start(task, "m$task")
        assertBroken("quota")
    }

    @Test
    fun `wrong_place by type, kind and zone`() {
        rules.submitted(spec().copy(zone = "b"))
        start(0, type = "big", zone = "b")
        start(1, zone = "b", spot = true)
        start(2, zone = "a")
        assertEquals(3, rules.broken.count { it.startsWith("wrong_place:") })
    }

    @Test
    fun `wrong_place by the job's other tasks`() {
        rules.submitted(spec().copy(oneZone = true, cpus = 1.0))
        start(0, zone = "a")
        start(1, zone = "b")
        assertBroken("wrong_place")
        rules.broken.clear()
        rules.submitted(spec(2).copy(id = "job-000002", spread = true, cpus = 1.0))
        rules.started(Micros.ZERO, "job-000002", 0, "m1", "mid", "a", false)
        rules.started(Micros.ZERO, "job-000002", 1, "m2", "mid", "a", false)
        assertBroken("wrong_place")
    }

    @Test
    fun `ran_cancelled by staying and by starting`() {
        rules.submitted(spec())
        rules.askedToCancel(job)
        start(0)
        told("abort", 200, "cancelled")
        rules.check(36.secs)
        assertEquals(emptyList(), rules.broken)
        rules.check(38.secs)
        assertBroken("ran_cancelled")
        rules.broken.clear()
        start(1, at = 40.secs)
        assertBroken("ran_cancelled")
    }

    @Test
    fun `forgotten, invented, not_done and went_back`() {
        rules.submitted(spec())
        told("POST", 201, "queued")
        told("GET", 404, null)
        assertBroken("forgotten")
        rules.told(1.secs, "job-9", "GET", 200, "queued")
        assertBroken("invented")
        told("GET", 200, "done")
        assertBroken("not_done")
        rules.broken.clear()
        told("GET", 200, "running")
        assertBroken("went_back")
        rules.broken.clear()
        rules.submitted(spec().copy(id = "job-000003"))
        rules.told(1.secs, "job-000003", "GET", 200, "cancelled")
        assertBroken("went_back")
    }
}
