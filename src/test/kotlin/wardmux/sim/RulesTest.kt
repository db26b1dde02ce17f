package wardmux.sim

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import wardmux.config.TeamQuota
import wardmux.config.WorkerTiming
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds

/** Each rule is broken on purpose: a checker that cannot fail checks nothing. */
class RulesTest {
    private val rules = Rules(listOf(TeamQuota("t", 8.0, 16.0)), 36.seconds)
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
        attempt: Int = 1,
    ) = rules.started(at, job, task, machine, type, zone, spot, attempt)

    private fun told(call: String, status: Int, state: String?) =
        rules.told(1.seconds, job, call, status, state)

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
        rules.check(99.seconds)
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
        rules.check(36.seconds)
        assertEquals(emptyList(), rules.broken)
        rules.check(38.seconds)
        assertBroken("ran_cancelled")
        rules.broken.clear()
        start(1, at = 40.seconds)
        assertBroken("ran_cancelled")
    }

    @Test
    fun `forgotten, invented, not_done and went_back`() {
        rules.submitted(spec())
        told("POST", 201, "queued")
        told("GET", 404, null)
        assertBroken("forgotten")
        rules.told(1.seconds, "job-9", "GET", 200, "queued")
        assertBroken("invented")
        told("GET", 200, "done")
        assertBroken("not_done")
        rules.broken.clear()
        told("GET", 200, "running")
        assertBroken("went_back")
        rules.broken.clear()
        rules.submitted(spec().copy(id = "job-000003"))
        rules.told(1.seconds, "job-000003", "GET", 200, "cancelled")
        assertBroken("went_back")
    }

    @Test
    fun `started_cancelled by an order that its sender must not give any more`() {
        rules.submitted(spec())
        rules.askedToCancel(job)
        assertFalse(rules.knowsCancelled)
        rules.ordered(Micros.ZERO, job, "start")
        told("abort", 200, "cancelled")
        assertTrue(rules.knowsCancelled)
        rules.ordered(4.seconds, job, "start")
        assertEquals(emptyList(), rules.broken)
        assertEquals(1, rules.ordersAfterCancel)
        rules.ordered(6.seconds, job, "start")
        assertBroken("started_cancelled")
    }

    @Test
    fun `a start on its way is counted, and breaks a rule after cancel_s`() {
        rules.submitted(spec())
        rules.askedToCancel(job)
        start(0)
        told("abort", 200, "cancelled")
        start(1, at = 36.seconds)
        assertEquals(1, rules.startsAfterCancel)
        assertEquals(emptyList(), rules.broken)
        rules.submitted(spec().copy(id = "job-000002"))
        rules.askedToCancel("job-000002")
        rules.told(1.seconds, "job-000002", "abort", 200, "cancelled")
        rules.started(38.seconds, "job-000002", 0, "m3", "mid", "a", false)
        assertBroken("ran_cancelled")
    }

    /** A leader that does not know of the cancellation goes on renewing the machine's lease. */
    @Test
    fun `ran_cancelled by a machine that hung and goes on`() {
        val clock = SimulatedClock(1)
        val deployment = WorkerTiming(heartbeatPeriodS = 2.5, leaseS = 16.0, cancelS = 36.0)
        val order = """{"verb":"start","piece":"$job/0","try":1}"""
        val worker =
            FakeWorker(
                "m1",
                "mid",
                "a",
                false,
                clock,
                deployment,
                listOf("n0"),
                rules,
                { spec(1).copy(estimateS = 100_000.0) },
            ) { _, _, answer ->
                answer(200, """{"baton":1,"orders":[$order]}""")
            }
        rules.submitted(spec(1))
        rules.askedToCancel(job)
        clock.run(5.seconds) {}
        rules.told(clock.now, job, "abort", 200, "cancelled")
        clock.run(10.seconds) {}
        worker.hanging = true
        clock.run(24.seconds) {}
        worker.hanging = false
        clock.run(41.seconds) { rules.check(clock.now) }
        assertEquals(emptyList(), rules.broken)
        clock.run(43.seconds) { rules.check(clock.now) }
        assertBroken("ran_cancelled")
    }

    @Test
    fun `forgotten by no answer for long, also if one comes at last`() {
        rules.submitted(spec())
        told("POST", 201, "queued")
        start(0)
        for (at in 10..100 step 10) rules.answered(at.seconds, job, well = true)
        rules.answered(150.seconds, job, well = false)
        rules.answered(190.seconds, job, well = true)
        // Troubles until 120 s excuse it.
        rules.endOfDay(200.seconds, calm = 120.seconds)
        assertEquals(emptyList(), rules.broken)
        rules.endOfDay(200.seconds, calm = 110.seconds)
        assertBroken("forgotten")
        rules.broken.clear()
        rules.endOfDay(270.seconds, calm = 120.seconds)
        assertBroken("forgotten")
    }

    private fun accepted(number: Int, tasks: Int, team: String = "t", jobClass: String = "c") {
        val id = "job-%06d".format(number)
        rules.submitted(spec(tasks).copy(id = id, team = team, jobClass = jobClass, cpus = 0.1))
        rules.told(Micros.ZERO, id, "POST", 201, "queued")
        rules.answered(400.seconds, id, well = true)
    }

    private fun begin(number: Int) =
        rules.started(1.seconds, "job-%06d".format(number), 0, "m1", "mid", "a", false)

    private fun endOfDay(at: Micros = 400.seconds) = rules.endOfDay(at, calm = 390.seconds)

    @Test
    fun `less than half of a class and of a team is served`() {
        for (number in 1..5) accepted(number, if (number == 1) 2 else 1)
        for (number in 1..3) begin(number)
        endOfDay()
        assertEquals(emptyList(), rules.broken)
        accepted(6, 1)
        accepted(7, 1)
        endOfDay()
        assertTrue(rules.broken.any { "class c" in it }, "${rules.broken}")
        assertTrue(rules.broken.any { "team t" in it }, "${rules.broken}")
    }

    @Test
    fun `one that its user called off, or that came late, need not be served`() {
        accepted(1, 1)
        rules.askedToCancel("job-000001")
        rules.submitted(spec().copy(id = "job-000002"))
        rules.told(200.seconds, "job-000002", "POST", 201, "queued")
        rules.answered(400.seconds, "job-000002", well = true)
        endOfDay()
        assertEquals(emptyList(), rules.broken)
    }

    @Test
    fun `the largest of a class are served, and begin within four minutes`() {
        for (number in 1..10) accepted(number, number)
        for (number in 1..9) begin(number)
        endOfDay()
        // One of the two largest is half of them, yet the other has not begun.
        assertEquals(listOf("late: job-000010 of 10 has not begun"), rules.broken)
        accepted(11, 11)
        accepted(12, 12)
        rules.broken.clear()
        endOfDay()
        assertTrue(rules.broken.any { "largest of c" in it }, "${rules.broken}")
    }

    private fun room(free: Double = 16.0, vararg tasks: Pair<String, Int>) =
        MachineView("m1", "mid", "a", false, free, tasks.toList())

    private fun watchRooms(spec: JobSpec, vararg machines: MachineView): List<String> {
        rules.submitted(spec)
        rules.told(Micros.ZERO, spec.id, "POST", 201, "queued")
        for (at in 0..95) rules.rooms(at.seconds, machines.toList(), machines.toList())
        return rules.broken.filter { it.startsWith("left_waiting:") }
    }

    @Test
    fun `left_waiting beside a machine with room`() =
        assertEquals(1, watchRooms(spec(1), room()).size)

    @Test
    fun `left_waiting with a task that is not placed, also if another one is`() =
        assertEquals(1, watchRooms(spec(2), room(8.0, job to 0)).size)

    @Test
    fun `none is left_waiting where no machine fits`() {
        assertEquals(emptyList(), watchRooms(spec(1), room(free = 7.0)))
        assertEquals(emptyList(), watchRooms(spec(1).copy(zone = "b"), room()))
        assertEquals(emptyList(), watchRooms(spec(1).copy(types = listOf("big")), room()))
        val spot = MachineView("m1", "mid", "a", true, 16.0, emptyList())
        assertEquals(emptyList(), watchRooms(spec(1), spot))
        val elsewhere = MachineView("m2", "mid", "b", false, 0.0, listOf(job to 0))
        val bound = spec(2).copy(oneZone = true)
        assertEquals(emptyList(), watchRooms(bound, room(), elsewhere))
        val half = room(8.0, job to 0)
        assertEquals(emptyList(), watchRooms(spec(2).copy(spread = true), half))
        val replicas = spec(2).copy(spread = true, kind = JobKind.SERVICE)
        assertEquals(emptyList(), watchRooms(replicas, room()))
    }

    @Test
    fun `none is left_waiting while its team is at its limit`() =
        assertEquals(emptyList(), watchRooms(spec(3), room(16.0, job to 0, job to 1)))

    @Test
    fun `none is left_waiting while its tasks go on starting`() {
        rules.submitted(spec())
        told("POST", 201, "queued")
        for (at in 0..95) {
            if (at == 50) start(0)
            rules.rooms(at.seconds, listOf(room()), listOf(room()))
        }
        assertEquals(emptyList(), rules.broken)
    }

    @Test
    fun `a job that can't run or lacks a field is accepted, or refused for the wrong reason`() {
        for (fine in listOf(422, 429, 503)) rules.answeredBad(job, 422, fine, "")
        rules.answeredBad(job, 400, 400, "")
        assertEquals(emptyList(), rules.broken)
        rules.answeredBad(job, 422, 201, "")
        rules.answeredBad(job, 400, 200, "")
        assertEquals(2, rules.broken.count { it.startsWith("accepted_bad:") })
        rules.answeredBad(job, 422, 400, "")
        rules.answeredBad(job, 400, 422, "")
        assertEquals(2, rules.broken.count { it.startsWith("wrong_answer:") })
        // Nor may it be known afterwards.
        rules.told(1.seconds, job, "GET", 200, "queued")
        assertBroken("invented")
    }

    @Test
    fun `a repeat is answered with 200 and the state now`() {
        rules.submitted(spec())
        told("POST", 201, "queued")
        rules.repeated(3.seconds, job, 200, "running", askedAt = 2.seconds)
        assertEquals(emptyList(), rules.broken)
        rules.repeated(3.seconds, job, 201, "queued", askedAt = 2.seconds)
        rules.repeated(3.seconds, job, 200, null, askedAt = 2.seconds)
        assertEquals(2, rules.broken.count { it.startsWith("wrong_answer:") })
        rules.repeated(3.seconds, job, 422, null, askedAt = 2.seconds)
        assertBroken("forgotten")
    }

    @Test
    fun `a job that is done stays so for repeats and cancellations`() {
        rules.submitted(spec(1))
        told("POST", 201, "queued")
        start(0)
        rules.ended(job, 0, "m1", done = true)
        told("GET", 200, "done")
        rules.repeated(3.seconds, job, 200, "done", askedAt = 2.seconds)
        rules.told(3.seconds, job, "abort", 200, "done", askedAt = 2.seconds)
        assertEquals(emptyList(), rules.broken)
        rules.repeated(3.seconds, job, 200, "queued", askedAt = 2.seconds)
        assertBroken("went_back")
        rules.broken.clear()
        rules.told(3.seconds, job, "abort", 200, "cancelled", askedAt = 2.seconds)
        assertBroken("went_back")
    }

    @Test
    fun `the end of a job is told once, and not of one that was called off`() {
        val ended = ArrayList<String>()
        rules.whenAllDone = { ended.add(it) }
        rules.submitted(spec(2))
        rules.submitted(spec(1).copy(id = "job-000002"))
        told("POST", 201, "queued")
        rules.told(1.seconds, "job-000002", "POST", 201, "queued")
        rules.askedToCancel("job-000002")
        rules.ended(job, 0, "m1", done = true)
        rules.ended("job-000002", 0, "m1", done = true)
        assertEquals(emptyList(), ended)
        rules.ended(job, 1, "m1", done = true)
        rules.ended(job, 1, "m1", done = true)
        assertEquals(listOf(job), ended)
    }

    private fun gang(tasks: Int = 3) = spec(tasks).copy(kind = JobKind.GANG, cpus = 1.0)

    @Test
    fun `a gang started over the remains of its last attempt, by its task`() {
        rules.submitted(gang())
        for (task in 0..2) start(task, "m$task")
        rules.ended(job, 0, "m0", done = false)
        // Another machine may take what has left, while others of the old attempt still exit.
        start(0, "m9", attempt = 2)
        assertEquals(emptyList(), rules.broken)
        start(1, "m8", attempt = 2)
        assertBroken("gang_over_remains")
        assertBroken("ran_twice")
    }

    @Test
    fun `a gang started over the remains of its last attempt, by their zone`() {
        rules.submitted(gang().copy(oneZone = true))
        for (task in 0..2) start(task, "m$task")
        rules.ended(job, 0, "m0", done = false)
        start(0, "m9", attempt = 2)
        assertEquals(emptyList(), rules.broken)
        rules.ended(job, 0, "m9", done = false)
        start(0, "m8", zone = "b", attempt = 3)
        assertBroken("gang_over_remains")
        assertBroken("wrong_place")
    }

    @Test
    fun `a gang without same_place may go to another zone beside remains of its other tasks`() {
        rules.submitted(gang())
        for (task in 0..2) start(task, "m$task")
        rules.ended(job, 0, "m0", done = false)
        start(0, "m9", zone = "b", attempt = 2)
        assertEquals(emptyList(), rules.broken)
    }

    @Test
    fun `a gang is called done with no task done, and one is enough`() {
        rules.submitted(gang())
        for (task in 0..2) start(task, "m$task")
        told("GET", 200, "done")
        assertBroken("not_done")
        rules.broken.clear()
        rules.submitted(gang().copy(id = "job-000002"))
        rules.ended("job-000002", 1, "m1", done = true)
        rules.told(1.seconds, "job-000002", "GET", 200, "done")
        assertEquals(emptyList(), rules.broken)
    }

    @Test
    fun `a gang begins with a part, or with a task that is on no machine`() {
        rules.submitted(gang())
        for (task in 0..1) start(task, "m$task")
        rules.gangBegins(job, 1, setOf(0, 1))
        assertBroken("gang_part")
        rules.broken.clear()
        start(2, "m2", attempt = 2)
        rules.gangBegins(job, 1, setOf(0, 1, 2))
        assertBroken("gang_part")
        rules.broken.clear()
        rules.ended(job, 2, "m2", done = false)
        start(2, "m2")
        rules.gangBegins(job, 1, setOf(0, 1, 2))
        assertEquals(emptyList(), rules.broken)
    }

    @Test
    fun `the end of a gang is told once`() {
        val ended = ArrayList<String>()
        rules.whenAllDone = { ended.add(it) }
        rules.submitted(gang())
        told("POST", 201, "queued")
        for (task in 0..2) rules.ended(job, task, "m$task", done = true)
        assertEquals(listOf(job), ended)
    }
}
