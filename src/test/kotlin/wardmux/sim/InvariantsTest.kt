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

/**
 * Breaks each rule of [Invariants] on purpose. Guards against a checker that accepts a violation:
 * simulations that use it would then pass whatever the controllers do.
 */
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

    private fun recordAnswer(call: String, status: Int, state: String?) =
        invariants.recordAnswer(1.seconds, job, call, status, state)

    private fun assertViolated(rule: String) =
        assertTrue(
            invariants.violations.any { it.startsWith("$rule:") },
            "expected a violation of $rule, got ${invariants.violations}",
        )

    @Test
    fun `a scenario without faults violates no rule`() {
        invariants.recordSubmission(spec(1))
        recordAnswer("POST", 201, "queued")
        startTask(0)
        recordAnswer("GET", 200, "running")
        invariants.recordTaskEnd(job, 0, "m1", done = true)
        recordAnswer("GET", 200, "done")
        recordAnswer("POST", 200, "done")
        invariants.checkCancelledJobs(99.seconds)
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `ran_twice when a task starts while it is on another machine`() {
        invariants.recordSubmission(spec())
        startTask(0, "m1")
        startTask(0, "m2")
        assertViolated("ran_twice")
    }

    @Test
    fun `quota when a team uses more CPUs than its limit`() {
        invariants.recordSubmission(spec())
        for (task in 0..2) startTask(task, "m$task")
        assertViolated("quota")
    }

    @Test
    fun `wrong_place by machine type, spot and zone`() {
        invariants.recordSubmission(spec().copy(zone = "b"))
        startTask(0, type = "big", zone = "b")
        startTask(1, zone = "b", spot = true)
        startTask(2, zone = "a")
        assertEquals(3, invariants.violations.count { it.startsWith("wrong_place:") })
    }

    @Test
    fun `wrong_place by the zones of the job's other tasks`() {
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
    fun `ran_cancelled when a task of a cancelled job stays or starts too late`() {
        invariants.recordSubmission(spec())
        invariants.recordCancelRequest(job)
        startTask(0)
        recordAnswer("abort", 200, "cancelled")
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
        recordAnswer("POST", 201, "queued")
        recordAnswer("GET", 404, null)
        assertViolated("forgotten")
        invariants.recordAnswer(1.seconds, "job-9", "GET", 200, "queued")
        assertViolated("invented")
        recordAnswer("GET", 200, "done")
        assertViolated("not_done")
        invariants.violations.clear()
        recordAnswer("GET", 200, "running")
        assertViolated("went_back")
        invariants.violations.clear()
        invariants.recordSubmission(spec().copy(id = "job-000003"))
        invariants.recordAnswer(1.seconds, "job-000003", "GET", 200, "cancelled")
        assertViolated("went_back")
    }

    @Test
    fun `started_cancelled when a start is sent too long after the cancellation`() {
        invariants.recordSubmission(spec())
        invariants.recordCancelRequest(job)
        assertFalse(invariants.hasReportedCancellation)
        invariants.recordStartCommand(Micros.ZERO, job, "start")
        recordAnswer("abort", 200, "cancelled")
        assertTrue(invariants.hasReportedCancellation)
        invariants.recordStartCommand(4.seconds, job, "start")
        assertEquals(emptyList(), invariants.violations)
        assertEquals(1, invariants.startCommandsAfterCancel)
        invariants.recordStartCommand(6.seconds, job, "start")
        assertViolated("started_cancelled")
    }

    @Test
    fun `a start in flight at the cancellation is counted, and is ran_cancelled after cancel_s`() {
        invariants.recordSubmission(spec())
        invariants.recordCancelRequest(job)
        startTask(0)
        recordAnswer("abort", 200, "cancelled")
        startTask(1, at = 36.seconds)
        assertEquals(1, invariants.startsAfterCancel)
        assertEquals(emptyList(), invariants.violations)
        invariants.recordSubmission(spec().copy(id = "job-000002"))
        invariants.recordCancelRequest("job-000002")
        invariants.recordAnswer(1.seconds, "job-000002", "abort", 200, "cancelled")
        invariants.recordTaskStart(38.seconds, "job-000002", 0, "m3", "mid", "a", false)
        assertViolated("ran_cancelled")
    }

    /**
     * A leader that does not know of the cancellation keeps renewing the lease of a machine that
     * was unresponsive, so its task stays longer than cancel_s.
     */
    @Test
    fun `ran_cancelled by a machine that was unresponsive and resumes`() {
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
        worker.unresponsive = true
        clock.run(24.seconds) {}
        worker.unresponsive = false
        clock.run(41.seconds) { invariants.checkCancelledJobs(clock.now) }
        assertEquals(emptyList(), invariants.violations)
        clock.run(43.seconds) { invariants.checkCancelledJobs(clock.now) }
        assertViolated("ran_cancelled")
    }

    @Test
    fun `forgotten when polls are unanswered for too long, even if one succeeds later`() {
        invariants.recordSubmission(spec())
        recordAnswer("POST", 201, "queued")
        startTask(0)
        for (at in 10..100 step 10) invariants.recordPoll(at.seconds, job, succeeded = true)
        invariants.recordPoll(150.seconds, job, succeeded = false)
        invariants.recordPoll(190.seconds, job, succeeded = true)
        // Faults until 120 s explain the period without an answer.
        invariants.checkAtEnd(200.seconds, faultsEndedAt = 120.seconds)
        assertEquals(emptyList(), invariants.violations)
        invariants.checkAtEnd(200.seconds, faultsEndedAt = 110.seconds)
        assertViolated("forgotten")
        invariants.violations.clear()
        invariants.checkAtEnd(270.seconds, faultsEndedAt = 120.seconds)
        assertViolated("forgotten")
    }

    private fun submitAcceptedJob(
        number: Int,
        tasks: Int,
        team: String = "t",
        jobClass: String = "c",
    ) {
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
    fun `served when less than half of a class and of a team started`() {
        for (number in 1..5) submitAcceptedJob(number, if (number == 1) 2 else 1)
        for (number in 1..3) startJob(number)
        checkAtEnd()
        assertEquals(emptyList(), invariants.violations)
        submitAcceptedJob(6, 1)
        submitAcceptedJob(7, 1)
        checkAtEnd()
        assertTrue(
            invariants.violations.any { "class c" in it },
            "class c in ${invariants.violations}",
        )
        assertTrue(
            invariants.violations.any { "team t" in it },
            "team t in ${invariants.violations}",
        )
    }

    @Test
    fun `a job that was cancelled or submitted late need not have started`() {
        submitAcceptedJob(1, 1)
        invariants.recordCancelRequest("job-000001")
        invariants.recordSubmission(spec().copy(id = "job-000002"))
        invariants.recordAnswer(200.seconds, "job-000002", "POST", 201, "queued")
        invariants.recordPoll(400.seconds, "job-000002", succeeded = true)
        checkAtEnd()
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `late and served when the largest jobs of a class have not started`() {
        for (number in 1..10) submitAcceptedJob(number, number)
        for (number in 1..9) startJob(number)
        checkAtEnd()
        // One of the two largest jobs is half of them, which is enough for the rule served.
        assertEquals(
            listOf("late: job-000010 with 10 tasks has not started"),
            invariants.violations,
        )
        submitAcceptedJob(11, 11)
        submitAcceptedJob(12, 12)
        invariants.violations.clear()
        checkAtEnd()
        assertTrue(
            invariants.violations.any { "largest of c" in it },
            "largest of c in ${invariants.violations}",
        )
    }

    /** Machine m1 in zone a with [freeCpus], which holds [tasks]. */
    private fun machine(freeCpus: Double = 16.0, vararg tasks: Pair<String, Int>) =
        MachineView("m1", "mid", "a", false, freeCpus, tasks.toList())

    /**
     * Submits [spec], checks its waiting tasks against [machines] every second for 95 s, and
     * returns the violations of left_waiting.
     */
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
    fun `left_waiting when a machine has room`() =
        assertEquals(1, waitingViolations(spec(1), machine()).size)

    @Test
    fun `left_waiting when one of two tasks is not placed`() =
        assertEquals(1, waitingViolations(spec(2), machine(8.0, job to 0)).size)

    @Test
    fun `not left_waiting when no machine fits`() {
        assertEquals(emptyList(), waitingViolations(spec(1), machine(freeCpus = 7.0)))
        assertEquals(emptyList(), waitingViolations(spec(1).copy(zone = "b"), machine()))
        assertEquals(emptyList(), waitingViolations(spec(1).copy(types = listOf("big")), machine()))
        val spot = MachineView("m1", "mid", "a", true, 16.0, emptyList())
        assertEquals(emptyList(), waitingViolations(spec(1), spot))
        val otherZone = MachineView("m2", "mid", "b", false, 0.0, listOf(job to 0))
        val oneZoneJob = spec(2).copy(oneZone = true)
        assertEquals(emptyList(), waitingViolations(oneZoneJob, machine(), otherZone))
        val halfFree = machine(8.0, job to 0)
        assertEquals(emptyList(), waitingViolations(spec(2).copy(spread = true), halfFree))
        val replicas = spec(2).copy(spread = true, kind = JobKind.SERVICE)
        assertEquals(emptyList(), waitingViolations(replicas, machine()))
    }

    @Test
    fun `not left_waiting while the team is at its limit`() =
        assertEquals(emptyList(), waitingViolations(spec(3), machine(16.0, job to 0, job to 1)))

    @Test
    fun `not left_waiting while tasks of the job keep starting`() {
        invariants.recordSubmission(spec())
        recordAnswer("POST", 201, "queued")
        for (at in 0..95) {
            if (at == 50) startTask(0)
            invariants.checkWaitingJobs(at.seconds, listOf(machine()), listOf(machine()))
        }
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `accepted_bad and wrong_answer for a job that can't run or lacks a field`() {
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
        // A later status request must not find the job either.
        invariants.recordAnswer(1.seconds, job, "GET", 200, "queued")
        assertViolated("invented")
    }

    @Test
    fun `a repeated submission must be answered with 200 and the current state`() {
        invariants.recordSubmission(spec())
        recordAnswer("POST", 201, "queued")
        invariants.recordRepeatedSubmission(3.seconds, job, 200, "running", askedAt = 2.seconds)
        assertEquals(emptyList(), invariants.violations)
        invariants.recordRepeatedSubmission(3.seconds, job, 201, "queued", askedAt = 2.seconds)
        invariants.recordRepeatedSubmission(3.seconds, job, 200, null, askedAt = 2.seconds)
        assertEquals(2, invariants.violations.count { it.startsWith("wrong_answer:") })
        invariants.recordRepeatedSubmission(3.seconds, job, 422, null, askedAt = 2.seconds)
        assertViolated("forgotten")
    }

    @Test
    fun `went_back when a done job is reported in another state`() {
        invariants.recordSubmission(spec(1))
        recordAnswer("POST", 201, "queued")
        startTask(0)
        invariants.recordTaskEnd(job, 0, "m1", done = true)
        recordAnswer("GET", 200, "done")
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
    fun `onAllTasksDone is called once, and not for a cancelled job`() {
        val doneJobs = ArrayList<String>()
        invariants.onAllTasksDone = { doneJobs.add(it) }
        invariants.recordSubmission(spec(2))
        invariants.recordSubmission(spec(1).copy(id = "job-000002"))
        recordAnswer("POST", 201, "queued")
        invariants.recordAnswer(1.seconds, "job-000002", "POST", 201, "queued")
        invariants.recordCancelRequest("job-000002")
        invariants.recordTaskEnd(job, 0, "m1", done = true)
        invariants.recordTaskEnd("job-000002", 0, "m1", done = true)
        assertEquals(emptyList(), doneJobs)
        invariants.recordTaskEnd(job, 1, "m1", done = true)
        invariants.recordTaskEnd(job, 1, "m1", done = true)
        assertEquals(listOf(job), doneJobs)
    }

    private fun gang(tasks: Int = 3) = spec(tasks).copy(kind = JobKind.GANG, cpus = 1.0)

    @Test
    fun `gang_over_remains when the same task of the earlier attempt is still on a machine`() {
        invariants.recordSubmission(gang())
        for (task in 0..2) startTask(task, "m$task")
        invariants.recordTaskEnd(job, 0, "m0", done = false)
        // Task 0 has left its machine and may start elsewhere while the others still exit.
        startTask(0, "m9", attempt = 2)
        assertEquals(emptyList(), invariants.violations)
        startTask(1, "m8", attempt = 2)
        assertViolated("gang_over_remains")
        assertViolated("ran_twice")
    }

    @Test
    fun `gang_over_remains when tasks of the earlier attempt are in another zone`() {
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
    fun `a gang without same_place may start in another zone than its earlier attempt`() {
        invariants.recordSubmission(gang())
        for (task in 0..2) startTask(task, "m$task")
        invariants.recordTaskEnd(job, 0, "m0", done = false)
        startTask(0, "m9", zone = "b", attempt = 2)
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `not_done when no task of a gang completed, and one completed task is enough`() {
        invariants.recordSubmission(gang())
        for (task in 0..2) startTask(task, "m$task")
        recordAnswer("GET", 200, "done")
        assertViolated("not_done")
        invariants.violations.clear()
        invariants.recordSubmission(gang().copy(id = "job-000002"))
        invariants.recordTaskEnd("job-000002", 1, "m1", done = true)
        invariants.recordAnswer(1.seconds, "job-000002", "GET", 200, "done")
        assertEquals(emptyList(), invariants.violations)
    }

    @Test
    fun `gang_part when a gang starts with too few tasks or with one that is on no machine`() {
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
    fun `onAllTasksDone is called once for a gang`() {
        val doneJobs = ArrayList<String>()
        invariants.onAllTasksDone = { doneJobs.add(it) }
        invariants.recordSubmission(gang())
        recordAnswer("POST", 201, "queued")
        for (task in 0..2) invariants.recordTaskEnd(job, task, "m$task", done = true)
        assertEquals(listOf(job), doneJobs)
    }
}
