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
class InvariantsTest {
    private val invariants = Invariants(listOf(TeamQuota("t", 8.0, 16.0)), 36.seconds)
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
    ) = invariants.started(at, job, task, machine, type, zone, spot, attempt)

    private fun told(call: String, status: Int, state: String?) =
        invariants.told(1.seconds, job, call, status, state)

    private fun assertBroken(rule: String) =
        assertTrue(
            invariants.broken.any { it.startsWith("$rule:") },
            "$rule in ${invariants.broken}",
        )

    @Test
    fun `a scenario in order breaks nothing`() {
        invariants.submitted(spec(1))
        told("POST", 201, "queued")
        start(0)
        told("GET", 200, "running")
        invariants.ended(job, 0, "m1", done = true)
        told("GET", 200, "done")
        told("POST", 200, "done")
        invariants.check(99.seconds)
        assertEquals(emptyList(), invariants.broken)
    }

    @Test
    fun `ran_twice`() {
        invariants.submitted(spec())
        start(0, "m1")
        start(0, "m2")
        assertBroken("ran_twice")
    }

    @Test
    fun `quota`() {
        invariants.submitted(spec())
        for (task in 0..2) start(task, "m$task")
        assertBroken("quota")
    }

    @Test
    fun `wrong_place by type, kind and zone`() {
        invariants.submitted(spec().copy(zone = "b"))
        start(0, type = "big", zone = "b")
        start(1, zone = "b", spot = true)
        start(2, zone = "a")
        assertEquals(3, invariants.broken.count { it.startsWith("wrong_place:") })
    }

    @Test
    fun `wrong_place by the job's other tasks`() {
        invariants.submitted(spec().copy(oneZone = true, cpus = 1.0))
        start(0, zone = "a")
        start(1, zone = "b")
        assertBroken("wrong_place")
        invariants.broken.clear()
        invariants.submitted(spec(2).copy(id = "job-000002", spread = true, cpus = 1.0))
        invariants.started(Micros.ZERO, "job-000002", 0, "m1", "mid", "a", false)
        invariants.started(Micros.ZERO, "job-000002", 1, "m2", "mid", "a", false)
        assertBroken("wrong_place")
    }

    @Test
    fun `ran_cancelled by staying and by starting`() {
        invariants.submitted(spec())
        invariants.askedToCancel(job)
        start(0)
        told("abort", 200, "cancelled")
        invariants.check(36.seconds)
        assertEquals(emptyList(), invariants.broken)
        invariants.check(38.seconds)
        assertBroken("ran_cancelled")
        invariants.broken.clear()
        start(1, at = 40.seconds)
        assertBroken("ran_cancelled")
    }

    @Test
    fun `forgotten, invented, not_done and went_back`() {
        invariants.submitted(spec())
        told("POST", 201, "queued")
        told("GET", 404, null)
        assertBroken("forgotten")
        invariants.told(1.seconds, "job-9", "GET", 200, "queued")
        assertBroken("invented")
        told("GET", 200, "done")
        assertBroken("not_done")
        invariants.broken.clear()
        told("GET", 200, "running")
        assertBroken("went_back")
        invariants.broken.clear()
        invariants.submitted(spec().copy(id = "job-000003"))
        invariants.told(1.seconds, "job-000003", "GET", 200, "cancelled")
        assertBroken("went_back")
    }

    @Test
    fun `started_cancelled by an order that its sender must not give any more`() {
        invariants.submitted(spec())
        invariants.askedToCancel(job)
        assertFalse(invariants.knowsCancelled)
        invariants.ordered(Micros.ZERO, job, "start")
        told("abort", 200, "cancelled")
        assertTrue(invariants.knowsCancelled)
        invariants.ordered(4.seconds, job, "start")
        assertEquals(emptyList(), invariants.broken)
        assertEquals(1, invariants.commandsAfterCancel)
        invariants.ordered(6.seconds, job, "start")
        assertBroken("started_cancelled")
    }

    @Test
    fun `a start on its way is counted, and breaks a rule after cancel_s`() {
        invariants.submitted(spec())
        invariants.askedToCancel(job)
        start(0)
        told("abort", 200, "cancelled")
        start(1, at = 36.seconds)
        assertEquals(1, invariants.startsAfterCancel)
        assertEquals(emptyList(), invariants.broken)
        invariants.submitted(spec().copy(id = "job-000002"))
        invariants.askedToCancel("job-000002")
        invariants.told(1.seconds, "job-000002", "abort", 200, "cancelled")
        invariants.started(38.seconds, "job-000002", 0, "m3", "mid", "a", false)
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
                invariants,
                { spec(1).copy(estimateS = 100_000.0) },
            ) { _, _, answer ->
                answer(200, """{"baton":1,"orders":[$order]}""")
            }
        invariants.submitted(spec(1))
        invariants.askedToCancel(job)
        clock.run(5.seconds) {}
        invariants.told(clock.now, job, "abort", 200, "cancelled")
        clock.run(10.seconds) {}
        worker.unresponsive = true
        clock.run(24.seconds) {}
        worker.unresponsive = false
        clock.run(41.seconds) { invariants.check(clock.now) }
        assertEquals(emptyList(), invariants.broken)
        clock.run(43.seconds) { invariants.check(clock.now) }
        assertBroken("ran_cancelled")
    }

    @Test
    fun `forgotten by no answer for long, also if one comes at last`() {
        invariants.submitted(spec())
        told("POST", 201, "queued")
        start(0)
        for (at in 10..100 step 10) invariants.answered(at.seconds, job, well = true)
        invariants.answered(150.seconds, job, well = false)
        invariants.answered(190.seconds, job, well = true)
        // Troubles until 120 s excuse it.
        invariants.checkAtEnd(200.seconds, calm = 120.seconds)
        assertEquals(emptyList(), invariants.broken)
        invariants.checkAtEnd(200.seconds, calm = 110.seconds)
        assertBroken("forgotten")
        invariants.broken.clear()
        invariants.checkAtEnd(270.seconds, calm = 120.seconds)
        assertBroken("forgotten")
    }

    private fun accepted(number: Int, tasks: Int, team: String = "t", jobClass: String = "c") {
        val id = "job-%06d".format(number)
        invariants.submitted(
            spec(tasks).copy(id = id, team = team, jobClass = jobClass, cpus = 0.1)
        )
        invariants.told(Micros.ZERO, id, "POST", 201, "queued")
        invariants.answered(400.seconds, id, well = true)
    }

    private fun begin(number: Int) =
        invariants.started(1.seconds, "job-%06d".format(number), 0, "m1", "mid", "a", false)

    private fun checkAtEnd(at: Micros = 400.seconds) = invariants.checkAtEnd(at, calm = 390.seconds)

    @Test
    fun `less than half of a class and of a team is served`() {
        for (number in 1..5) accepted(number, if (number == 1) 2 else 1)
        for (number in 1..3) begin(number)
        checkAtEnd()
        assertEquals(emptyList(), invariants.broken)
        accepted(6, 1)
        accepted(7, 1)
        checkAtEnd()
        assertTrue(invariants.broken.any { "class c" in it }, "${invariants.broken}")
        assertTrue(invariants.broken.any { "team t" in it }, "${invariants.broken}")
    }

    @Test
    fun `one that its user called off, or that came late, need not be served`() {
        accepted(1, 1)
        invariants.askedToCancel("job-000001")
        invariants.submitted(spec().copy(id = "job-000002"))
        invariants.told(200.seconds, "job-000002", "POST", 201, "queued")
        invariants.answered(400.seconds, "job-000002", well = true)
        checkAtEnd()
        assertEquals(emptyList(), invariants.broken)
    }

    @Test
    fun `the largest of a class are served, and begin within four minutes`() {
        for (number in 1..10) accepted(number, number)
        for (number in 1..9) begin(number)
        checkAtEnd()
        // One of the two largest is half of them, yet the other has not begun.
        assertEquals(listOf("late: job-000010 of 10 has not begun"), invariants.broken)
        accepted(11, 11)
        accepted(12, 12)
        invariants.broken.clear()
        checkAtEnd()
        assertTrue(invariants.broken.any { "largest of c" in it }, "${invariants.broken}")
    }

    private fun room(free: Double = 16.0, vararg tasks: Pair<String, Int>) =
        MachineView("m1", "mid", "a", false, free, tasks.toList())

    private fun watchRooms(spec: JobSpec, vararg machines: MachineView): List<String> {
        invariants.submitted(spec)
        invariants.told(Micros.ZERO, spec.id, "POST", 201, "queued")
        for (at in 0..95) invariants.rooms(at.seconds, machines.toList(), machines.toList())
        return invariants.broken.filter { it.startsWith("left_waiting:") }
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
        invariants.submitted(spec())
        told("POST", 201, "queued")
        for (at in 0..95) {
            if (at == 50) start(0)
            invariants.rooms(at.seconds, listOf(room()), listOf(room()))
        }
        assertEquals(emptyList(), invariants.broken)
    }

    @Test
    fun `a job that can't run or lacks a field is accepted, or refused for the wrong reason`() {
        for (fine in listOf(422, 429, 503)) invariants.answeredBad(job, 422, fine, "")
        invariants.answeredBad(job, 400, 400, "")
        assertEquals(emptyList(), invariants.broken)
        invariants.answeredBad(job, 422, 201, "")
        invariants.answeredBad(job, 400, 200, "")
        assertEquals(2, invariants.broken.count { it.startsWith("accepted_bad:") })
        invariants.answeredBad(job, 422, 400, "")
        invariants.answeredBad(job, 400, 422, "")
        assertEquals(2, invariants.broken.count { it.startsWith("wrong_answer:") })
        // Nor may it be known afterwards.
        invariants.told(1.seconds, job, "GET", 200, "queued")
        assertBroken("invented")
    }

    @Test
    fun `a repeat is answered with 200 and the state now`() {
        invariants.submitted(spec())
        told("POST", 201, "queued")
        invariants.repeated(3.seconds, job, 200, "running", askedAt = 2.seconds)
        assertEquals(emptyList(), invariants.broken)
        invariants.repeated(3.seconds, job, 201, "queued", askedAt = 2.seconds)
        invariants.repeated(3.seconds, job, 200, null, askedAt = 2.seconds)
        assertEquals(2, invariants.broken.count { it.startsWith("wrong_answer:") })
        invariants.repeated(3.seconds, job, 422, null, askedAt = 2.seconds)
        assertBroken("forgotten")
    }

    @Test
    fun `a job that is done stays so for repeats and cancellations`() {
        invariants.submitted(spec(1))
        told("POST", 201, "queued")
        start(0)
        invariants.ended(job, 0, "m1", done = true)
        told("GET", 200, "done")
        invariants.repeated(3.seconds, job, 200, "done", askedAt = 2.seconds)
        invariants.told(3.seconds, job, "abort", 200, "done", askedAt = 2.seconds)
        assertEquals(emptyList(), invariants.broken)
        invariants.repeated(3.seconds, job, 200, "queued", askedAt = 2.seconds)
        assertBroken("went_back")
        invariants.broken.clear()
        invariants.told(3.seconds, job, "abort", 200, "cancelled", askedAt = 2.seconds)
        assertBroken("went_back")
    }

    @Test
    fun `the end of a job is told once, and not of one that was called off`() {
        val ended = ArrayList<String>()
        invariants.whenAllDone = { ended.add(it) }
        invariants.submitted(spec(2))
        invariants.submitted(spec(1).copy(id = "job-000002"))
        told("POST", 201, "queued")
        invariants.told(1.seconds, "job-000002", "POST", 201, "queued")
        invariants.askedToCancel("job-000002")
        invariants.ended(job, 0, "m1", done = true)
        invariants.ended("job-000002", 0, "m1", done = true)
        assertEquals(emptyList(), ended)
        invariants.ended(job, 1, "m1", done = true)
        invariants.ended(job, 1, "m1", done = true)
        assertEquals(listOf(job), ended)
    }

    private fun gang(tasks: Int = 3) = spec(tasks).copy(kind = JobKind.GANG, cpus = 1.0)

    @Test
    fun `a gang started over the remains of its last attempt, by its task`() {
        invariants.submitted(gang())
        for (task in 0..2) start(task, "m$task")
        invariants.ended(job, 0, "m0", done = false)
        // Another machine may take what has left, while others of the old attempt still exit.
        start(0, "m9", attempt = 2)
        assertEquals(emptyList(), invariants.broken)
        start(1, "m8", attempt = 2)
        assertBroken("gang_over_remains")
        assertBroken("ran_twice")
    }

    @Test
    fun `a gang started over the remains of its last attempt, by their zone`() {
        invariants.submitted(gang().copy(oneZone = true))
        for (task in 0..2) start(task, "m$task")
        invariants.ended(job, 0, "m0", done = false)
        start(0, "m9", attempt = 2)
        assertEquals(emptyList(), invariants.broken)
        invariants.ended(job, 0, "m9", done = false)
        start(0, "m8", zone = "b", attempt = 3)
        assertBroken("gang_over_remains")
        assertBroken("wrong_place")
    }

    @Test
    fun `a gang without same_place may go to another zone beside remains of its other tasks`() {
        invariants.submitted(gang())
        for (task in 0..2) start(task, "m$task")
        invariants.ended(job, 0, "m0", done = false)
        start(0, "m9", zone = "b", attempt = 2)
        assertEquals(emptyList(), invariants.broken)
    }

    @Test
    fun `a gang is called done with no task done, and one is enough`() {
        invariants.submitted(gang())
        for (task in 0..2) start(task, "m$task")
        told("GET", 200, "done")
        assertBroken("not_done")
        invariants.broken.clear()
        invariants.submitted(gang().copy(id = "job-000002"))
        invariants.ended("job-000002", 1, "m1", done = true)
        invariants.told(1.seconds, "job-000002", "GET", 200, "done")
        assertEquals(emptyList(), invariants.broken)
    }

    @Test
    fun `a gang begins with a part, or with a task that is on no machine`() {
        invariants.submitted(gang())
        for (task in 0..1) start(task, "m$task")
        invariants.gangBegins(job, 1, setOf(0, 1))
        assertBroken("gang_part")
        invariants.broken.clear()
        start(2, "m2", attempt = 2)
        invariants.gangBegins(job, 1, setOf(0, 1, 2))
        assertBroken("gang_part")
        invariants.broken.clear()
        invariants.ended(job, 2, "m2", done = false)
        start(2, "m2")
        invariants.gangBegins(job, 1, setOf(0, 1, 2))
        assertEquals(emptyList(), invariants.broken)
    }

    @Test
    fun `the end of a gang is told once`() {
        val ended = ArrayList<String>()
        invariants.whenAllDone = { ended.add(it) }
        invariants.submitted(gang())
        told("POST", 201, "queued")
        for (task in 0..2) invariants.ended(job, task, "m$task", done = true)
        assertEquals(listOf(job), ended)
    }
}
