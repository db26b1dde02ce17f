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

    private fun startTask(
        task: Int,
        machine: String = "m1",
        type: String = "mid",
        zone: String = "a",
        spot: Boolean = false,
        at: Micros = Micros.ZERO,
        attempt: Int = 1,
    ) = invariants.recordTaskStart(at, job, task, machine, type, zone, spot, attempt)

    private fun answer(call: String, status: Int, state: String?) =
        invariants.recordAnswer(1.seconds, job, call, status, state)

    private fun assertViolated(rule: String) =
        assertTrue(
            invariants.violations.any { it.startsWith("$rule:") },
            "$rule in ${invariants.violations}",
        )

    @Test
    fun `a scenario in order breaks nothing`() {
        invariants.recordSubmission(spec(1))
        answer("POST", 201, "queued")
        startTask(0)
        answer("GET", 200, "running")
        invariants.recordTaskEnd(job, 0, "m1", done = true)
        answer("GET", 200, "done")
        answer("POST", 200, "done")
        invariants.checkCancelledJobs(99.seconds)
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `ran_twice`() {
        invariants.recordSubmission(spec())
        startTask(0, "m1")
        startTask(0, "m2")
        assertViolated("ran_twice")
    }

    @Test
    fun `quota`() {
        invariants.recordSubmission(spec())
        for (task in 0..2) startTask(task, "m$task")
        assertViolated("quota")
    }

    @Test
    fun `wrong_place by type, kind and zone`() {
        invariants.recordSubmission(spec().copy(zone = "b"))
        startTask(0, type = "big", zone = "b")
        startTask(1, zone = "b", spot = true)
        startTask(2, zone = "a")
        assertEquals(3, invariants.violations.count { it.startsWith("wrong_place:") })
    }

    @Test
    fun `wrong_place by the job's other tasks`() {
        invariants.recordSubmission(spec().copy(oneZone = true, cpus = 1.0))
        startTask(0, zone = "a")
        startTask(1, zone = "b")
        assertViolated("wrong_place")
        invariants.violations.clear()
        invariants.recordSubmission(spec(2).copy(id = "job-000002", spread = true, cpus = 1.0))
        invariants.recordTaskStart(Micros.ZERO, "job-000002", 0, "m1", "mid", "a", false)
        invariants.recordTaskStart(Micros.ZERO, "job-000002", 1, "m2", "mid", "a", false)
        assertViolated("wrong_place")
    }

    @Test
    fun `ran_cancelled by staying and by starting`() {
        invariants.recordSubmission(spec())
        invariants.recordCancelRequest(job)
        startTask(0)
        answer("abort", 200, "cancelled")
        invariants.checkCancelledJobs(36.seconds)
        assertEquals(emptyList(), invariants.violations)
        invariants.checkCancelledJobs(38.seconds)
        assertViolated("ran_cancelled")
        invariants.violations.clear()
        startTask(1, at = 40.seconds)
        assertViolated("ran_cancelled")
    }

    @Test
    fun `forgotten, invented, not_done and went_back`() {
        invariants.recordSubmission(spec())
        answer("POST", 201, "queued")
        answer("GET", 404, null)
        assertViolated("forgotten")
        invariants.recordAnswer(1.seconds, "job-9", "GET", 200, "queued")
        assertViolated("invented")
        answer("GET", 200, "done")
        assertViolated("not_done")
        invariants.violations.clear()
        answer("GET", 200, "running")
        assertViolated("went_back")
        invariants.violations.clear()
        invariants.recordSubmission(spec().copy(id = "job-000003"))
        invariants.recordAnswer(1.seconds, "job-000003", "GET", 200, "cancelled")
        assertViolated("went_back")
    }

    @Test
    fun `started_cancelled by an order that its sender must not give any more`() {
        invariants.recordSubmission(spec())
        invariants.recordCancelRequest(job)
        assertFalse(invariants.hasReportedCancellation)
        invariants.recordStartCommand(Micros.ZERO, job, "start")
        answer("abort", 200, "cancelled")
        assertTrue(invariants.hasReportedCancellation)
        invariants.recordStartCommand(4.seconds, job, "start")
        assertEquals(emptyList(), invariants.violations)
        assertEquals(1, invariants.startCommandsAfterCancel)
        invariants.recordStartCommand(6.seconds, job, "start")
        assertViolated("started_cancelled")
    }

    @Test
    fun `a start on its way is counted, and breaks a rule after cancel_s`() {
        invariants.recordSubmission(spec())
        invariants.recordCancelRequest(job)
        startTask(0)
        answer("abort", 200, "cancelled")
        startTask(1, at = 36.seconds)
        assertEquals(1, invariants.startsAfterCancel)
        assertEquals(emptyList(), invariants.violations)
        invariants.recordSubmission(spec().copy(id = "job-000002"))
        invariants.recordCancelRequest("job-000002")
        invariants.recordAnswer(1.seconds, "job-000002", "abort", 200, "cancelled")
        invariants.recordTaskStart(38.seconds, "job-000002", 0, "m3", "mid", "a", false)
        assertViolated("ran_cancelled")
    }

    /** A leader that does not know of the cancellation goes on renewing the machine's lease. */
    @Test
    fun `ran_cancelled by a machine that hung and goes on`() {
        val clock = SimulatedClock(1)
        val deployment = WorkerTiming(heartbeatPeriodS = 2.5, leaseS = 16.0, cancelS = 36.0)
        val command = """{"verb":"start","piece":"$job/0","try":1}"""
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
                answer(200, """{"baton":1,"orders":[$command]}""")
            }
        invariants.recordSubmission(spec(1))
        invariants.recordCancelRequest(job)
        clock.run(5.seconds) {}
        invariants.recordAnswer(clock.now, job, "abort", 200, "cancelled")
        clock.run(10.seconds) {}
        worker.hanging = true
        clock.run(24.seconds) {}
        worker.hanging = false
        clock.run(41.seconds) { invariants.checkCancelledJobs(clock.now) }
        assertEquals(emptyList(), invariants.violations)
        clock.run(43.seconds) { invariants.checkCancelledJobs(clock.now) }
        assertViolated("ran_cancelled")
    }

    @Test
    fun `forgotten by no answer for long, also if one comes at last`() {
        invariants.recordSubmission(spec())
        answer("POST", 201, "queued")
        startTask(0)
        for (at in 10..100 step 10) invariants.recordPoll(at.seconds, job, succeeded = true)
        invariants.recordPoll(150.seconds, job, succeeded = false)
        invariants.recordPoll(190.seconds, job, succeeded = true)
        // Troubles until 120 s excuse it.
        invariants.checkAtEnd(200.seconds, faultsEndedAt = 120.seconds)
        assertEquals(emptyList(), invariants.violations)
        invariants.checkAtEnd(200.seconds, faultsEndedAt = 110.seconds)
        assertViolated("forgotten")
        invariants.violations.clear()
        invariants.checkAtEnd(270.seconds, faultsEndedAt = 120.seconds)
        assertViolated("forgotten")
    }

    private fun acceptJob(number: Int, tasks: Int, team: String = "t", jobClass: String = "c") {
        val id = "job-%06d".format(number)
        invariants.recordSubmission(
            spec(tasks).copy(id = id, team = team, jobClass = jobClass, cpus = 0.1)
        )
        invariants.recordAnswer(Micros.ZERO, id, "POST", 201, "queued")
        invariants.recordPoll(400.seconds, id, succeeded = true)
    }

    private fun startJob(number: Int) =
        invariants.recordTaskStart(1.seconds, "job-%06d".format(number), 0, "m1", "mid", "a", false)

    private fun checkAtEnd(at: Micros = 400.seconds) =
        invariants.checkAtEnd(at, faultsEndedAt = 390.seconds)

    @Test
    fun `less than half of a class and of a team is served`() {
        for (number in 1..5) acceptJob(number, if (number == 1) 2 else 1)
        for (number in 1..3) startJob(number)
        checkAtEnd()
        assertEquals(emptyList(), invariants.violations)
        acceptJob(6, 1)
        acceptJob(7, 1)
        checkAtEnd()
        assertTrue(invariants.violations.any { "class c" in it }, "${invariants.violations}")
        assertTrue(invariants.violations.any { "team t" in it }, "${invariants.violations}")
    }

    @Test
    fun `one that its user called off, or that came late, need not be served`() {
        acceptJob(1, 1)
        invariants.recordCancelRequest("job-000001")
        invariants.recordSubmission(spec().copy(id = "job-000002"))
        invariants.recordAnswer(200.seconds, "job-000002", "POST", 201, "queued")
        invariants.recordPoll(400.seconds, "job-000002", succeeded = true)
        checkAtEnd()
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `the largest of a class are served, and begin within four minutes`() {
        for (number in 1..10) acceptJob(number, number)
        for (number in 1..9) startJob(number)
        checkAtEnd()
        // One of the two largest is half of them, yet the other has not begun.
        assertEquals(listOf("late: job-000010 of 10 has not begun"), invariants.violations)
        acceptJob(11, 11)
        acceptJob(12, 12)
        invariants.violations.clear()
        checkAtEnd()
        assertTrue(invariants.violations.any { "largest of c" in it }, "${invariants.violations}")
    }

    private fun machine(freeCpus: Double = 16.0, vararg tasks: Pair<String, Int>) =
        MachineView("m1", "mid", "a", false, freeCpus, tasks.toList())

    private fun waitingViolations(spec: JobSpec, vararg machines: MachineView): List<String> {
        invariants.recordSubmission(spec)
        invariants.recordAnswer(Micros.ZERO, spec.id, "POST", 201, "queued")
        for (at in 0..95) invariants.checkWaitingJobs(
            at.seconds,
            machines.toList(),
            machines.toList(),
        )
        return invariants.violations.filter { it.startsWith("left_waiting:") }
    }

    @Test
    fun `left_waiting beside a machine with room`() =
        assertEquals(1, waitingViolations(spec(1), machine()).size)

    @Test
    fun `left_waiting with a task that is not placed, also if another one is`() =
        assertEquals(1, waitingViolations(spec(2), machine(8.0, job to 0)).size)

    @Test
    fun `none is left_waiting where no machine fits`() {
        assertEquals(emptyList(), waitingViolations(spec(1), machine(freeCpus = 7.0)))
        assertEquals(emptyList(), waitingViolations(spec(1).copy(zone = "b"), machine()))
        assertEquals(emptyList(), waitingViolations(spec(1).copy(types = listOf("big")), machine()))
        val spot = MachineView("m1", "mid", "a", true, 16.0, emptyList())
        assertEquals(emptyList(), waitingViolations(spec(1), spot))
        val elsewhere = MachineView("m2", "mid", "b", false, 0.0, listOf(job to 0))
        val bound = spec(2).copy(oneZone = true)
        assertEquals(emptyList(), waitingViolations(bound, machine(), elsewhere))
        val half = machine(8.0, job to 0)
        assertEquals(emptyList(), waitingViolations(spec(2).copy(spread = true), half))
        val replicas = spec(2).copy(spread = true, kind = JobKind.SERVICE)
        assertEquals(emptyList(), waitingViolations(replicas, machine()))
    }

    @Test
    fun `none is left_waiting while its team is at its limit`() =
        assertEquals(emptyList(), waitingViolations(spec(3), machine(16.0, job to 0, job to 1)))

    @Test
    fun `none is left_waiting while its tasks go on starting`() {
        invariants.recordSubmission(spec())
        answer("POST", 201, "queued")
        for (at in 0..95) {
            if (at == 50) startTask(0)
            invariants.checkWaitingJobs(at.seconds, listOf(machine()), listOf(machine()))
        }
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `a job that can't run or lacks a field is accepted, or refused for the wrong reason`() {
        for (status in listOf(422, 429, 503)) invariants.recordInvalidJobAnswer(
            job,
            422,
            status,
            "",
        )
        invariants.recordInvalidJobAnswer(job, 400, 400, "")
        assertEquals(emptyList(), invariants.violations)
        invariants.recordInvalidJobAnswer(job, 422, 201, "")
        invariants.recordInvalidJobAnswer(job, 400, 200, "")
        assertEquals(2, invariants.violations.count { it.startsWith("accepted_bad:") })
        invariants.recordInvalidJobAnswer(job, 422, 400, "")
        invariants.recordInvalidJobAnswer(job, 400, 422, "")
        assertEquals(2, invariants.violations.count { it.startsWith("wrong_answer:") })
        // Nor may it be known afterwards.
        invariants.recordAnswer(1.seconds, job, "GET", 200, "queued")
        assertViolated("invented")
    }

    @Test
    fun `a repeat is answered with 200 and the state now`() {
        invariants.recordSubmission(spec())
        answer("POST", 201, "queued")
        invariants.recordRepeatedSubmission(3.seconds, job, 200, "running", askedAt = 2.seconds)
        assertEquals(emptyList(), invariants.violations)
        invariants.recordRepeatedSubmission(3.seconds, job, 201, "queued", askedAt = 2.seconds)
        invariants.recordRepeatedSubmission(3.seconds, job, 200, null, askedAt = 2.seconds)
        assertEquals(2, invariants.violations.count { it.startsWith("wrong_answer:") })
        invariants.recordRepeatedSubmission(3.seconds, job, 422, null, askedAt = 2.seconds)
        assertViolated("forgotten")
    }

    @Test
    fun `a job that is done stays so for repeats and cancellations`() {
        invariants.recordSubmission(spec(1))
        answer("POST", 201, "queued")
        startTask(0)
        invariants.recordTaskEnd(job, 0, "m1", done = true)
        answer("GET", 200, "done")
        invariants.recordRepeatedSubmission(3.seconds, job, 200, "done", askedAt = 2.seconds)
        invariants.recordAnswer(3.seconds, job, "abort", 200, "done", askedAt = 2.seconds)
        assertEquals(emptyList(), invariants.violations)
        invariants.recordRepeatedSubmission(3.seconds, job, 200, "queued", askedAt = 2.seconds)
        assertViolated("went_back")
        invariants.violations.clear()
        invariants.recordAnswer(3.seconds, job, "abort", 200, "cancelled", askedAt = 2.seconds)
        assertViolated("went_back")
    }

    @Test
    fun `the end of a job is told once, and not of one that was called off`() {
        val ended = ArrayList<String>()
        invariants.onAllTasksDone = { ended.add(it) }
        invariants.recordSubmission(spec(2))
        invariants.recordSubmission(spec(1).copy(id = "job-000002"))
        answer("POST", 201, "queued")
        invariants.recordAnswer(1.seconds, "job-000002", "POST", 201, "queued")
        invariants.recordCancelRequest("job-000002")
        invariants.recordTaskEnd(job, 0, "m1", done = true)
        invariants.recordTaskEnd("job-000002", 0, "m1", done = true)
        assertEquals(emptyList(), ended)
        invariants.recordTaskEnd(job, 1, "m1", done = true)
        invariants.recordTaskEnd(job, 1, "m1", done = true)
        assertEquals(listOf(job), ended)
    }

    private fun gang(tasks: Int = 3) = spec(tasks).copy(kind = JobKind.GANG, cpus = 1.0)

    @Test
    fun `a gang started over the remains of its last attempt, by its task`() {
        invariants.recordSubmission(gang())
        for (task in 0..2) startTask(task, "m$task")
        invariants.recordTaskEnd(job, 0, "m0", done = false)
        // Another machine may take what has left, while others of the old attempt still exit.
        startTask(0, "m9", attempt = 2)
        assertEquals(emptyList(), invariants.violations)
        startTask(1, "m8", attempt = 2)
        assertViolated("gang_over_remains")
        assertViolated("ran_twice")
    }

    @Test
    fun `a gang started over the remains of its last attempt, by their zone`() {
        invariants.recordSubmission(gang().copy(oneZone = true))
        for (task in 0..2) startTask(task, "m$task")
        invariants.recordTaskEnd(job, 0, "m0", done = false)
        startTask(0, "m9", attempt = 2)
        assertEquals(emptyList(), invariants.violations)
        invariants.recordTaskEnd(job, 0, "m9", done = false)
        startTask(0, "m8", zone = "b", attempt = 3)
        assertViolated("gang_over_remains")
        assertViolated("wrong_place")
    }

    @Test
    fun `a gang without same_place may go to another zone beside remains of its other tasks`() {
        invariants.recordSubmission(gang())
        for (task in 0..2) startTask(task, "m$task")
        invariants.recordTaskEnd(job, 0, "m0", done = false)
        startTask(0, "m9", zone = "b", attempt = 2)
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `a gang is called done with no task done, and one is enough`() {
        invariants.recordSubmission(gang())
        for (task in 0..2) startTask(task, "m$task")
        answer("GET", 200, "done")
        assertViolated("not_done")
        invariants.violations.clear()
        invariants.recordSubmission(gang().copy(id = "job-000002"))
        invariants.recordTaskEnd("job-000002", 1, "m1", done = true)
        invariants.recordAnswer(1.seconds, "job-000002", "GET", 200, "done")
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `a gang begins with a part, or with a task that is on no machine`() {
        invariants.recordSubmission(gang())
        for (task in 0..1) startTask(task, "m$task")
        invariants.recordGangStart(job, 1, setOf(0, 1))
        assertViolated("gang_part")
        invariants.violations.clear()
        startTask(2, "m2", attempt = 2)
        invariants.recordGangStart(job, 1, setOf(0, 1, 2))
        assertViolated("gang_part")
        invariants.violations.clear()
        invariants.recordTaskEnd(job, 2, "m2", done = false)
        startTask(2, "m2")
        invariants.recordGangStart(job, 1, setOf(0, 1, 2))
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `the end of a gang is told once`() {
        val ended = ArrayList<String>()
        invariants.onAllTasksDone = { ended.add(it) }
        invariants.recordSubmission(gang())
        answer("POST", 201, "queued")
        for (task in 0..2) invariants.recordTaskEnd(job, task, "m$task", done = true)
        assertEquals(listOf(job), ended)
    }
}
