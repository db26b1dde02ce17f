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
 * Decides which waiting task is placed on which machine.
 *
 * A plan makes two passes over the waiting jobs: the first places tasks only on machine types that
 * they fit exactly, the second on any machine type. Each pass handles the priority classes from the
 * highest to the lowest. Higher classes are planned first because their jobs could preempt the
 * others at once, which would cost a start and a stop. Within a class, the team with the lowest
 * start tag is served next; within a team, [TeamJobOrder] decides.
 *
 * All tasks of a job have the same requirements, and so have jobs with the same [ResourceRequest].
 * Machines are therefore filtered and scored once for all tasks of a job, and after no machine was
 * found for a request, no other job with this request is tried in that pass. The cost of a plan is
 * proportional to the number of tasks that it places, plus one examination of the machines for each
 * distinct request that waits.
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

    /** The number of machines examined so far, as a measure of the cost of planning. */
    val machinesExamined: Long
        get() = examined.count

    /** Decides which machines tasks may be placed on. */
    val eligibility = Eligibility(context, operators, workers, pools)
    private val gangPlacement = GangPlacement(context, eligibility, pools)

    /** The machines and the quota that are reserved for gangs. */
    val gangReservations = GangReservations(context, cluster, eligibility, gangPlacement, workers)

    /**
     * The machine types that are reserved for jobs that have waited too long for their first start.
     */
    val typeReservations = TypeReservations(context, eligibility, operators.maxWaitS.seconds)
    private val order = TeamJobOrder(objectives, cluster.estimates, operators.maxWaitS.seconds)

    /**
     * Places as many waiting tasks as machines and quotas allow, as long as [budget] has room for
     * the task pages that the next transaction has to write.
     */
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
                queues[priority]?.let { placeJobs(it, Pass(round, exactFitsOnly)) }
            }
        }
        for (job in ready) {
            if (job.waiting == 0) job.blockedSince = null
            else if (job.blockedSince == null) job.blockedSince = context.now
        }
    }

    /** The jobs to place, grouped by priority class and team and sorted by [TeamJobOrder]. */
    private fun queuesOf(ready: List<Job>): Map<PriorityClass, Map<String, List<Job>>> {
        val isRoomScarce = cluster.jobs.values.any { isShortOfRoom(it) }
        return ready
            .groupBy { it.spec.priority }
            .mapValues { (_, jobs) ->
                jobs
                    .groupBy { it.spec.team }
                    .mapValues { (team, teamJobs) ->
                        order.sort(teamJobs, attainableCpus(team, isRoomScarce), context.wallTime)
                    }
            }
    }

    /** The inputs of one plan: the machines with free capacity and the budget of page writes. */
    private class Round(schedulable: List<Machine>, val budget: PageWriteBudget) {
        val schedulableCount = schedulable.size
        val machinesWithRoom = schedulable.filter { it.freeCpus > MachineType.RESOURCE_TOLERANCE }
    }

    /** One pass over the jobs of a priority class, for exact fits only or for any machine type. */
    private inner class Pass(val round: Round, val exactFitsOnly: Boolean) {
        private val candidates = HashMap<JobId, MachineCandidates>()

        /**
         * Requests that no machine has room for. They stay here until the pass ends, because free
         * capacity only shrinks within a plan.
         */
        private val unplaceableRequests = HashSet<ResourceRequest>()

        fun candidatesFor(job: Job): MachineCandidates? {
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
            MachineCandidates(job, machines, eligibility, requiresDensePacking(job), examined)

        fun requiresDensePacking(job: Job) =
            PageSizeEstimate.requiresDensePacking(job, round.budget.maxBytes)

        fun eligibleMachines(job: Job): List<Machine> {
            val spec = job.spec
            val exactTypes = eligibility.exactTypesFor(spec)
            examined.count += round.machinesWithRoom.size
            return round.machinesWithRoom.filter { machine ->
                val label = machine.type.label
                (label in exactTypes || (!exactFitsOnly && !typeReservations.isReserved(label))) &&
                    !gangReservations.isReservedFromJob(job, machine) &&
                    eligibility.satisfiesConstraints(spec, machine) &&
                    machine.fits(spec) &&
                    mayRetryOn(machine, job)
            }
        }

        /**
         * True if [job] has not failed on [machine], or if it has failed on at least as many
         * machines as are schedulable, so that avoiding them would leave it no machine.
         */
        private fun mayRetryOn(machine: Machine, job: Job) =
            machine.id !in job.failedMachines || round.schedulableCount <= job.failedMachines.size
    }

    private fun placeJobs(jobsByTeam: Map<String, List<Job>>, pass: Pass) {
        if (pass.round.machinesWithRoom.isEmpty()) return
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
            if (!placeTaskOrGang(job, pass)) queue.removeFirst()
        }
    }

    private fun isShortOfRoom(job: Job) =
        job.isBlockedLong(context.now) &&
            cluster.quotaHeadroom(job.spec) > 0 &&
            !gangPlacement.canNeverBeStored(job)

    /**
     * The CPUs that a team can expect to use: its quota limit or, where room is scarce, the larger
     * of its guaranteed share and its present usage, up to the limit.
     */
    private fun attainableCpus(team: String, isRoomScarce: Boolean): Double {
        val quota = cluster.teams[team] ?: return 0.0
        if (!isRoomScarce) return quota.cpusMax
        return minOf(quota.cpusMax, maxOf(quota.cpus, cluster.usedCpus(team)))
    }

    /**
     * Places one task or a whole gang; returns false if no more of the job can be placed in this
     * pass.
     */
    private fun placeTaskOrGang(job: Job, pass: Pass): Boolean {
        // Densely packed jobs skip the pass for exact fits: the machines that they fit exactly hold
        // the fewest of their tasks.
        if (pass.exactFitsOnly && pass.requiresDensePacking(job)) return false
        if (!gangReservations.leavesQuotaForGang(job)) return false
        if (job.spec.isGang) {
            placeGang(job, pass)
            return false
        }
        if (job.waiting <= 0 || cluster.quotaHeadroom(job.spec) < 1) return false
        if (pass.round.budget.isExhaustedFor(job)) return false
        val candidates = pass.candidatesFor(job) ?: return false
        return placeNextTask(job, pass, candidates) != null
    }

    private fun placeNextTask(job: Job, pass: Pass, candidates: MachineCandidates): Placement? {
        val budget = pass.round.budget
        val machine = candidates.best() ?: return null
        val task = nextWritableTask(job, budget)
        if (task < 0) return null
        val placement = cluster.place(job, task, machine)
        budget.onPlaced(placement)
        candidates.onPlaced(machine)
        log.debug("placed {} attempt {} on {}", placement.task, placement.attempt, machine.id)
        return placement
    }

    /**
     * Returns the next waiting task whose page the next transaction can write, or -1 if there is
     * none. Tasks on full pages are deferred.
     */
    private fun nextWritableTask(job: Job, budget: PageWriteBudget): Int {
        repeat(minOf(job.waiting, MAX_TASKS_DEFERRED_PER_SEARCH)) {
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
     * Places all tasks of a gang, or none if machines, quota or page writes do not suffice for all
     * of them. Tasks of the current attempt that were lost before the gang ran are replaced while
     * the other tasks still wait for them. Otherwise a new attempt starts once no task of the last
     * one can be on a machine any more.
     */
    private fun placeGang(job: Job, pass: Pass) {
        if (!mayPlaceGang(job)) return
        val isReplacement = job.placements.isNotEmpty()
        val machines = gangPlacement.machinesFor(job, pass.eligibleMachines(job)) ?: return
        if (!pass.round.budget.tryReserveGang(job)) return
        if (!isReplacement) job.startGangAttempt(context.now)
        val candidates = pass.candidatesAmong(job, machines)
        val placed = ArrayList<Placement>()
        while (job.waiting > 0) placed.add(placeNextTask(job, pass, candidates) ?: break)
        if (job.waiting > 0) {
            for (placement in placed) cluster.rollBack(placement)
            if (!isReplacement) pass.round.budget.releaseGang(job)
        }
    }

    private fun mayPlaceGang(job: Job): Boolean {
        if (job.waiting <= 0 || cluster.quotaHeadroom(job.spec) < job.waiting) return false
        if (job.placements.isNotEmpty() && !gangReservations.canReplaceLostTasks(job)) return false
        // Tasks of an earlier attempt that no record names also delay the next attempt. The
        // response to the heartbeat that reports them stops them.
        return !cluster.hasOrphans(job)
    }

    /** Jobs that have waited for room for long although their team has quota left. */
    fun jobsShortOfRoom(): List<Job> = cluster.jobs.values.filter { isShortOfRoom(it) }

    private companion object {
        /** The largest number of tasks that one search defers because their pages are full. */
        const val MAX_TASKS_DEFERRED_PER_SEARCH = 600
    }
}
