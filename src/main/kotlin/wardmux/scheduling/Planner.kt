package wardmux.scheduling

import java.util.PriorityQueue
import wardmux.config.OperatorSettings
import wardmux.config.ServiceLevelObjective
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.ResourceRequest
import wardmux.model.seconds

/**
 * Decides what goes where. Of the waiting tasks that fit, exact fits come first; then the more
 * urgent (they could stop the less urgent at once, so it is decided here and not by a start and a
 * stop); then the team with the lowest start tag; within a team, the order of submission.
 *
 * Tasks of one job are alike, and so are jobs that need the same: the machines are looked over once
 * for all of them, and once one finds none, no other is tried in that pass. A decision costs what
 * it places plus one look for each kind of work that waits.
 */
class Planner(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val operators: OperatorSettings,
    workers: WorkerTiming,
    objectives: List<ServiceLevelObjective>,
    private val pools: MachinePools,
    types: () -> List<MachineType>,
) {
    private val log = logger<Planner>()

    /** Machines looked at so far: what decisions cost. */
    var looks = 0L
        private set

    /** The largest value that a page may be. */
    private var mostBytes = Int.MAX_VALUE

    /** Which machines tasks may go to. */
    val eligibility = Eligibility(context, operators, workers, pools)
    private val gangPlacement = GangPlacement(context, eligibility, types)

    /** Room and cap that are kept for gangs. */
    val gangReservations = GangReservations(context, cluster, eligibility, gangPlacement, workers)
    private val order = TeamOrder(objectives, cluster.estimates, operators.maxWaitS.seconds)

    /** Places what it can while [admission] has room for the job's page in the write to come. */
    fun plan(admission: Admission) {
        mostBytes = admission.mostBytes
        gangPlacement.mostBytes = mostBytes
        val ready =
            cluster.jobs.values.filter { it.waiting > 0 && context.wallTime >= it.backoffUntil }
        if (ready.isEmpty()) {
            if (cluster.jobs.values.all { it.placements.isEmpty() }) cluster.queue.idle()
            return
        }
        gangReservations.update(ready)
        pools.observe(cluster.jobs.values)
        held = ready.filter { isOverdue(it) }.flatMapTo(HashSet()) { eligibility.exactFor(it.spec) }
        val round = Round(cluster.machines.values.filter { eligibility.usable(it) }, admission)
        val scarce = cluster.jobs.values.any { isShortOfRoom(it) }
        val queues =
            ready
                .groupBy { it.spec.urgency }
                .mapValues { (_, jobs) ->
                    jobs
                        .groupBy { it.spec.team }
                        .mapValues { (team, own) ->
                            order.sort(own, counted(team, scarce), context.wallTime)
                        }
                }
        for (exact in listOf(true, false)) {
            for (urgency in PriorityClass.entries) {
                queues[urgency]?.let { place(it, Pass(round, exact)) }
            }
        }
        for (job in ready) {
            if (job.waiting == 0) job.blockedSince = null
            else if (job.blockedSince == null) job.blockedSince = context.now
        }
    }

    /** What one plan looks at: the machines with room, and what the write to come takes. */
    private class Round(usable: List<Machine>, val admission: Admission) {
        val usable = usable.size
        val open = usable.filter { it.freeCpus > MachineType.EPSILON }
    }

    /** One look over the machines, for exact fits or for any. */
    private inner class Pass(val round: Round, val exact: Boolean) {
        private val seats = HashMap<JobId, Seats>()

        /** What no machine has room for: room only shrinks within a plan. */
        private val hopeless = HashSet<ResourceRequest>()

        fun seatsFor(job: Job): Seats? {
            seats[job.id]?.let {
                return it
            }
            if (job.resourceRequest in hopeless) return null
            val found = Seats(job, candidates(job))
            if (found.isEmpty && job.failedMachines.isEmpty() && !job.isZoneBound)
                hopeless.add(job.resourceRequest)
            seats[job.id] = found
            return found
        }

        fun candidates(job: Job): List<Machine> {
            val spec = job.spec
            val own = eligibility.exactFor(spec)
            looks += round.open.size
            return round.open.filter { machine ->
                val label = machine.type.label
                (label in own || (!exact && label !in held)) &&
                    !gangReservations.isReservedFromJob(job, machine) &&
                    eligibility.allowed(spec, machine) &&
                    machine.fits(spec) &&
                    (machine.id !in job.failedMachines || round.usable <= job.failedMachines.size)
            }
        }
    }

    /**
     * The machines that a job's tasks may go to, the best first. They are looked over once for all
     * its tasks; what others take meanwhile shows when a machine's turn comes.
     */
    private inner class Seats(private val job: Job, machines: List<Machine>) {
        private inner class Seat(val machine: Machine, val score: Double)

        private val few = PageSizeEstimate.needsFewMachines(job, mostBytes)
        private val used =
            if (few) job.placements.values.mapTo(HashSet()) { it.machine } else HashSet()

        private val queue =
            PriorityQueue<Seat>(maxOf(1, machines.size), compareBy { it.score }).apply {
                for (machine in machines) add(seat(machine))
            }
        val isEmpty: Boolean
            get() = queue.isEmpty()

        private fun seat(machine: Machine) = Seat(machine, scoreOf(machine))

        /** Where its page holds all only on few machines, these are filled one by one. */
        private fun scoreOf(machine: Machine): Double {
            if (!few) return eligibility.score(job.spec, machine) + zoneShare(machine)
            return if (machine.id in used) -MOST_ROOM else -machine.roomFor(job.spec).toDouble()
        }

        /** What is spread loses least with a zone if all zones have as much of it. */
        private fun zoneShare(machine: Machine): Double {
            if (!job.spec.spread) return 0.0
            val there = eligibility.zonesOf(job)[machine.zone] ?: 0
            return SPREAD_WEIGHT * there / job.spec.tasks
        }

        fun best(): Machine? {
            val zones = eligibility.zonesOf(job)
            while (true) {
                val seat = queue.peek() ?: return null
                looks++
                val machine = seat.machine
                if (
                    !machine.fits(job.spec) || !eligibility.mayGoTo(machine.zone, job.spec, zones)
                ) {
                    queue.poll()
                    continue
                }
                val now = seat(machine)
                if (now.score <= seat.score + MachineType.EPSILON) return machine
                queue.poll()
                queue.add(now)
            }
        }

        /** One more task of the job goes to the [best]; the next may go there too. */
        fun taken(machine: Machine) {
            queue.poll()
            if (few) used.add(machine.id)
            if (machine.fits(job.spec)) queue.add(seat(machine))
        }
    }

    private fun place(sorted: Map<String, List<Job>>, pass: Pass) {
        if (pass.round.open.isEmpty()) return
        val byTeam = sorted.mapValues { ArrayDeque(it.value) }
        val teams = byTeam.keys.toHashSet()
        while (teams.isNotEmpty()) {
            val team = teams.minWith(compareBy({ cluster.queue.startTag(it) }, { it }))
            val own = byTeam.getValue(team)
            val job = own.firstOrNull()
            if (job == null) {
                teams.remove(team)
                continue
            }
            if (!placeOne(job, pass)) own.removeFirst()
        }
    }

    /**
     * Machine types that are held for jobs which wait too long and fit no smaller one. Smaller
     * tasks would go on taking what room comes free there, and never leave enough of it at once.
     */
    private var held: Set<String> = emptySet()

    private fun isOverdue(job: Job) =
        !job.hasStarted &&
            !job.isFailing &&
            context.wallTime - job.acceptedAt > operators.maxWaitS.seconds

    /** True if machines of this type are held, and for other work than this. */
    fun isHeldFrom(spec: JobSpec, type: MachineType) =
        type.label in held && type.label !in eligibility.exactFor(spec)

    private fun isShortOfRoom(job: Job) =
        job.isBlockedLong(context.now) &&
            cluster.headroom(job.spec) > 0 &&
            !gangPlacement.neverWritten(job)

    /**
     * What a team can count on: its cap, or, where room is scarce, what it has or is guaranteed.
     */
    private fun counted(team: String, scarce: Boolean): Double {
        val deployment = cluster.teams[team] ?: return 0.0
        if (!scarce) return deployment.cpusMax
        return minOf(deployment.cpusMax, maxOf(deployment.cpus, cluster.usedCpus(team)))
    }

    private fun placeOne(job: Job, pass: Pass): Boolean {
        // The machines that it fits exactly hold the fewest of its tasks.
        if (pass.exact && PageSizeEstimate.needsFewMachines(job, mostBytes)) return false
        if (!gangReservations.leavesCap(job)) return false
        if (job.spec.shape == JobKind.GANG) return placeGang(job, pass)
        if (job.waiting <= 0 || cluster.headroom(job.spec) < 1) return false
        return placeNext(job, pass) != null
    }

    private fun placeNext(job: Job, pass: Pass): Placement? {
        if (pass.round.admission.closedTo(job)) return null
        return placeNext(job, pass, pass.seatsFor(job) ?: return null)
    }

    private fun placeNext(job: Job, pass: Pass, seats: Seats): Placement? {
        val admission = pass.round.admission
        val machine = seats.best() ?: return null
        val task = nextAdmitted(job, admission)
        if (task < 0) return null
        val placement = cluster.place(job, task, machine)
        admission.took(placement)
        seats.taken(machine)
        log.debug("{} try {} goes to {}", placement.task, placement.attempt, machine.id)
        return placement
    }

    /** The next waiting task that the write to come takes, or -1. */
    private fun nextAdmitted(job: Job, admission: Admission): Int {
        repeat(minOf(job.waiting, MOST_ASIDE)) {
            val task = job.takeWaiting()
            if (task < 0) return -1
            if (admission.admits(job, task)) return task
            if (!admission.isFull(job, task)) {
                job.putBack(task)
                return -1
            }
            job.setAside(task)
        }
        return -1
    }

    /**
     * A gang goes as one unit, once room and cap fit all of it. A task that was lost before the
     * others began is replaced while they still wait long enough; otherwise the whole gang begins
     * again, once nothing of its last attempt can be on a machine any more.
     */
    private fun placeGang(job: Job, pass: Pass): Boolean {
        if (job.waiting <= 0 || cluster.headroom(job.spec) < job.waiting) return false
        val out = job.placements.isNotEmpty()
        if (out && !gangReservations.mayReplaceLost(job)) return false
        // What is left of an attempt without a record holds back the next one too: it is stopped by
        // the answer to the report that shows it.
        if (cluster.hasOrphans(job)) return false
        val machines = gangPlacement.machinesFor(job, pass.candidates(job)) ?: return false
        if (!pass.round.admission.admitsWhole(job)) return false
        if (!out) job.beginAttempt(context.now)
        val seats = Seats(job, machines)
        val placed = ArrayList<Placement>()
        while (job.waiting > 0) placed.add(placeNext(job, pass, seats) ?: break)
        if (job.waiting > 0) {
            for (placement in placed) cluster.undo(placement)
            if (!out) pass.round.admission.withdraw(job)
        }
        return false
    }

    /** Jobs that wait for room although their team may use more. */
    fun shortOfRoom(): List<Job> = cluster.jobs.values.filter { isShortOfRoom(it) }

    private companion object {
        /** More tasks than any machine has room for. */
        const val MOST_ROOM = 1e6

        /**
         * A quarter of the tasks in one zone more outweighs what an ordinary machine costs more.
         */
        const val SPREAD_WEIGHT = 5.0

        /** Tasks that are passed over in one look, as their pages are full. */
        const val MOST_ASIDE = 600
    }
}
