package wardmux.scheduling

import wardmux.config.OperatorSettings
import wardmux.config.ServiceLevelObjective
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.ResourceRequest
import wardmux.model.seconds

/**
 * Decides which waiting task goes to which machine. Exact fits come first; then the higher priority
 * class (its jobs could preempt the others at once, so it is decided here and not by a start and a
 * stop); then the team with the lowest start tag; within a team, [TeamJobOrder].
 *
 * Tasks of one job are alike, and so are jobs with the same [ResourceRequest]: machines are
 * filtered and scored once for all of them, and once none is found, no other such job is tried in
 * that pass. A plan costs what it places plus one examination of the machines for each kind of
 * waiting work.
 */
class Planner(
    private val context: CoreContext,
    private val cluster: ClusterState,
    operators: OperatorSettings,
    workers: WorkerTiming,
    objectives: List<ServiceLevelObjective>,
    private val pools: MachinePools,
) {
    private val log = logger<Planner>()
    private val examined = ExaminedMachines()

    /** Machines examined so far: what decisions cost. */
    val machinesExamined: Long
        get() = examined.count

    /** Which machines tasks may go to. */
    val eligibility = Eligibility(context, operators, workers, pools)
    private val gangPlacement = GangPlacement(context, eligibility, pools)

    /** Machines and quota that are reserved for gangs. */
    val gangReservations = GangReservations(context, cluster, eligibility, gangPlacement, workers)

    /** Machine types that are reserved for jobs which have waited too long. */
    val typeReservations = TypeReservations(context, eligibility, operators.maxWaitS.seconds)
    private val order = TeamJobOrder(objectives, cluster.estimates, operators.maxWaitS.seconds)

    /** Places what it can while [budget] has room for the job's page in the next transaction. */
    fun plan(budget: PageWriteBudget) {
        gangPlacement.maxBytes = budget.maxBytes
        val ready =
            cluster.jobs.values.filter { it.waiting > 0 && context.wallTime >= it.backoffUntil }
        if (ready.isEmpty()) {
            if (cluster.jobs.values.all { it.placements.isEmpty() }) {
                cluster.queue.advanceToHighestTag()
            }
            return
        }
        gangReservations.update(ready)
        pools.refreshIfDue(cluster.jobs.values)
        typeReservations.update(ready)
        val round = Round(cluster.machines.values.filter { eligibility.isSchedulable(it) }, budget)
        val queues = queuesOf(ready)
        for (exactFitsOnly in listOf(true, false)) {
            for (priority in PriorityClass.entries) {
                queues[priority]?.let { place(it, Pass(round, exactFitsOnly)) }
            }
        }
        for (job in ready) {
            if (job.waiting == 0) job.blockedSince = null
            else if (job.blockedSince == null) job.blockedSince = context.now
        }
    }

    /** Of each priority class and team the jobs in their order. */
    private fun queuesOf(ready: List<Job>): Map<PriorityClass, Map<String, List<Job>>> {
        val isRoomScarce = cluster.jobs.values.any { isShortOfRoom(it) }
        return ready
            .groupBy { it.spec.priority }
            .mapValues { (_, jobs) ->
                jobs
                    .groupBy { it.spec.team }
                    .mapValues { (team, own) ->
                        order.sort(own, reachableCpus(team, isRoomScarce), context.wallTime)
                    }
            }
    }

    /** What one plan has: the machines with room, and what the next transaction can write. */
    private class Round(schedulable: List<Machine>, val budget: PageWriteBudget) {
        val schedulableCount = schedulable.size
        val withRoom = schedulable.filter { it.freeCpus > MachineType.RESOURCE_TOLERANCE }
    }

    /** One go over the jobs of a priority class, for exact fits or for any. */
    private inner class Pass(val round: Round, val exactFitsOnly: Boolean) {
        private val candidates = HashMap<JobId, NodeCandidates>()

        /** What no machine has room for: room only shrinks within a plan. */
        private val unplaceableRequests = HashSet<ResourceRequest>()

        fun candidatesFor(job: Job): NodeCandidates? {
            candidates[job.id]?.let {
                return it
            }
            if (job.resourceRequest in unplaceableRequests) return null
            val found = candidatesAmong(job, eligibleMachines(job))
            if (found.isEmpty && job.failedMachines.isEmpty() && !job.isZoneBound)
                unplaceableRequests.add(job.resourceRequest)
            candidates[job.id] = found
            return found
        }

        fun candidatesAmong(job: Job, machines: List<Machine>) =
            NodeCandidates(job, machines, eligibility, requiresDensePacking(job), examined)

        fun requiresDensePacking(job: Job) =
            PageSizeEstimate.requiresDensePacking(job, round.budget.maxBytes)

        fun eligibleMachines(job: Job): List<Machine> {
            val spec = job.spec
            val exactTypes = eligibility.exactTypesFor(spec)
            examined.count += round.withRoom.size
            return round.withRoom.filter { machine ->
                val label = machine.type.label
                (label in exactTypes || (!exactFitsOnly && !typeReservations.isReserved(label))) &&
                    !gangReservations.isReservedFromJob(job, machine) &&
                    eligibility.satisfiesConstraints(spec, machine) &&
                    machine.fits(spec) &&
                    mayRetryOn(machine, job)
            }
        }

        /**
         * A job goes back to a machine where it failed only if it failed on as many as there are.
         */
        private fun mayRetryOn(machine: Machine, job: Job) =
            machine.id !in job.failedMachines || round.schedulableCount <= job.failedMachines.size
    }

    private fun place(jobsByTeam: Map<String, List<Job>>, pass: Pass) {
        if (pass.round.withRoom.isEmpty()) return
        val queues = jobsByTeam.mapValues { ArrayDeque(it.value) }
        val teams = queues.keys.toHashSet()
        while (teams.isNotEmpty()) {
            val team = teams.minWith(compareBy({ cluster.queue.startTag(it) }, { it }))
            val queue = queues.getValue(team)
            val job = queue.firstOrNull()
            if (job == null) {
                teams.remove(team)
                continue
            }
            if (!placeOne(job, pass)) queue.removeFirst()
        }
    }

    private fun isShortOfRoom(job: Job) =
        job.isBlockedLong(context.now) &&
            cluster.headroom(job.spec) > 0 &&
            !gangPlacement.canNeverBeStored(job)

    /**
     * The CPUs that a team can count on: its quota limit, or, where room is scarce, what it uses or
     * is guaranteed.
     */
    private fun reachableCpus(team: String, isRoomScarce: Boolean): Double {
        val quota = cluster.teams[team] ?: return 0.0
        if (!isRoomScarce) return quota.cpusMax
        return minOf(quota.cpusMax, maxOf(quota.cpus, cluster.usedCpus(team)))
    }

    /** Places one task, or a whole gang; false if no more of the job can be placed in this pass. */
    private fun placeOne(job: Job, pass: Pass): Boolean {
        // The machines that it fits exactly hold the fewest of its tasks.
        if (pass.exactFitsOnly && pass.requiresDensePacking(job)) return false
        if (!gangReservations.leavesQuota(job)) return false
        if (job.spec.isGang) {
            placeGang(job, pass)
            return false
        }
        if (job.waiting <= 0 || cluster.headroom(job.spec) < 1) return false
        if (pass.round.budget.isExhaustedFor(job)) return false
        val candidates = pass.candidatesFor(job) ?: return false
        return placeNext(job, pass, candidates) != null
    }

    private fun placeNext(job: Job, pass: Pass, candidates: NodeCandidates): Placement? {
        val budget = pass.round.budget
        val machine = candidates.best() ?: return null
        val task = nextTaskWithin(job, budget)
        if (task < 0) return null
        val placement = cluster.place(job, task, machine)
        budget.onPlaced(placement)
        candidates.onPlaced(machine)
        log.debug("placed {} attempt {} on {}", placement.task, placement.attempt, machine.id)
        return placement
    }

    /** The next waiting task whose page the next transaction can write, or -1. */
    private fun nextTaskWithin(job: Job, budget: PageWriteBudget): Int {
        repeat(minOf(job.waiting, MAX_DEFERRED_TASKS)) {
            val task = job.pollWaitingTask()
            if (task < 0) return -1
            if (budget.tryReserve(job, task)) return task
            if (!budget.isPageFull(job, task)) {
                job.requeueFirst(task)
                return -1
            }
            job.deferRestOfPage(task)
        }
        return -1
    }

    /**
     * Places a gang as one unit, once machines and quota have room for all of it. A task that was
     * lost before the others ran is replaced while they still wait long enough; otherwise the whole
     * gang starts again, once nothing of its last attempt can be on a machine any more.
     */
    private fun placeGang(job: Job, pass: Pass) {
        if (!mayPlaceGang(job)) return
        val isReplacement = job.placements.isNotEmpty()
        val machines = gangPlacement.machinesFor(job, pass.eligibleMachines(job)) ?: return
        if (!pass.round.budget.tryReserveGang(job)) return
        if (!isReplacement) job.startGangAttempt(context.now)
        val candidates = pass.candidatesAmong(job, machines)
        val placed = ArrayList<Placement>()
        while (job.waiting > 0) placed.add(placeNext(job, pass, candidates) ?: break)
        if (job.waiting > 0) {
            for (placement in placed) cluster.rollBack(placement)
            if (!isReplacement) pass.round.budget.releaseGang(job)
        }
    }

    private fun mayPlaceGang(job: Job): Boolean {
        if (job.waiting <= 0 || cluster.headroom(job.spec) < job.waiting) return false
        if (job.placements.isNotEmpty() && !gangReservations.canReplaceLostTasks(job)) return false
        // What is left of an attempt without a record holds back the next one too: it is stopped by
        // the response to the heartbeat that shows it.
        return !cluster.hasOrphans(job)
    }

    /** Jobs that wait for room although their team may use more. */
    fun jobsShortOfRoom(): List<Job> = cluster.jobs.values.filter { isShortOfRoom(it) }

    private companion object {
        /** Tasks that are deferred in one search, as their pages are full. */
        const val MAX_DEFERRED_TASKS = 600
    }
}
