package wardmux.dispatch

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.Desk
import wardmux.MachineId
import wardmux.Micros
import wardmux.Stamp
import wardmux.app.OperatorSettings
import wardmux.app.TeamFacts
import wardmux.app.WorkerFacts
import wardmux.cloud.MachineType
import wardmux.fleet.Machine
import wardmux.secs
import wardmux.sim.plainJob

/** At the size of the grown deployments: what a decision costs, counted and not timed. */
class PlannerScaleTest {
    private val type = MachineType("mid", 16.0, memoryGb = 64.0, zones = listOf("a"))
    private val teams = List(10) { TeamFacts("team-$it", 700.0, 12_000.0) }

    private class Plan(val looks: Long, val placed: Int)

    /** [jobs] jobs of [tasks] tasks on [machines] machines of which [open] have room. */
    private fun plan(machines: Int, open: Int, jobs: Int, tasks: Int, pages: Int): Plan {
        val random = Random(3)
        val desk = Desk()
        desk.at(100.secs, 100.secs)
        val queue = FairQueue(teams.associate { it.name to it.cpus }, 600.secs, 600.0)
        val cluster = Cluster(desk, teams, queue)
        val planner =
            Planner(
                desk,
                cluster,
                OperatorSettings(),
                WorkerFacts(reportS = 6.0, leaseS = 36.0, cancelS = 66.0),
                emptyList(),
            ) {
                listOf(type)
            }
        val full = Job(plainJob(1, "job-999999").copy(cpus = 16.0), Stamp(1), Micros.ZERO, 128)
        repeat(machines) {
            val machine = Machine(MachineId("i-%06d".format(it)), type, "a", spot = true)
            machine.confirmed = true
            machine.heardAt = desk.now
            cluster.add(machine)
            if (it >= open) {
                val task = wardmux.TaskId(full.id, it)
                val charge = Charge(Cost(1), 1.0)
                machine.add(wardmux.fleet.Placement(full, task, 1, machine.id, 1, "a", charge))
            }
        }
        repeat(jobs) {
            val team = teams[random.nextInt(teams.size)].name
            val spec = plainJob(tasks, "job-%06d".format(it)).copy(team = team)
            cluster.jobs[spec.jobId] = Job(spec, Stamp(1), Micros.ZERO, 128)
        }
        planner.plan(Admission(pages))
        val placed = cluster.jobs.values.sumOf { it.placements.size }
        return Plan(planner.looks, placed)
    }

    @Test
    fun `large machines are left to a large job that waits too long, and only to such`() {
        val desk = Desk()
        desk.at(200.secs, 200.secs)
        val large = type.copy(label = "large", cpus = 64.0, memoryGb = 256.0)
        val queue = FairQueue(teams.associate { it.name to it.cpus }, 600.secs, 600.0)
        val cluster = Cluster(desk, teams, queue)
        val facts = WorkerFacts(reportS = 6.0, leaseS = 36.0, cancelS = 66.0)
        val planner =
            Planner(desk, cluster, OperatorSettings(), facts, emptyList()) { listOf(type, large) }
        val machine = Machine(MachineId("i-000001"), large, "a", spot = true)
        machine.confirmed = true
        machine.heardAt = desk.now
        cluster.add(machine)
        // Room for one small task is there, and not for the large one.
        val full = Job(plainJob(1, "job-999999").copy(cpus = 40.0), Stamp(1), Micros.ZERO, 128)
        val place = wardmux.TaskId(full.id, 0)
        val charge = Charge(Cost(1), 1.0)
        machine.add(wardmux.fleet.Placement(full, place, 1, machine.id, 1, "a", charge))
        fun job(id: Int, cpus: Double, acceptedAt: Micros): Job {
            val spec = plainJob(1, "job-%06d".format(id)).copy(cpus = cpus)
            return Job(spec, Stamp(1), acceptedAt, 128).also { cluster.jobs[it.id] = it }
        }
        val waits = job(1, 32.0, 10.secs)
        val small = job(2, 2.0, 190.secs)
        planner.plan(Admission(7))
        assertEquals(0, small.placements.size, "it took what the large one waits for")
        cluster.jobs.remove(waits.id)
        planner.plan(Admission(7))
        assertEquals(1, small.placements.size)
    }

    @Test
    fun `without room, what waits costs no look at any machine`() {
        val plan = plan(machines = 1500, open = 0, jobs = 300, tasks = 300, pages = 7)
        assertEquals(0, plan.placed)
        assertEquals(0, plan.looks)
    }

    @Test
    fun `the cost grows neither with the tasks that wait nor with the machines that are full`() {
        val few = plan(machines = 150, open = 100, jobs = 300, tasks = 30, pages = 7)
        val many = plan(machines = 1500, open = 100, jobs = 300, tasks = 300, pages = 7)
        assertTrue(few.placed >= 210 && many.placed >= few.placed)
        assertTrue(many.looks < 3 * few.looks, "${few.looks} and ${many.looks}")
    }

    @Test
    fun `a placement costs a few looks, and each kind of work that waits one pass`() {
        val plan = plan(machines = 1500, open = 1500, jobs = 300, tasks = 128, pages = 7)
        assertEquals(7 * 128, plan.placed)
        // Seven jobs look over all machines; then it is two looks for a task.
        assertTrue(plan.looks < 7 * 1500 + 4 * plan.placed, "${plan.looks}")
    }
}
