package wardmux.leader

import wardmux.cloud.CapacityDemand
import wardmux.cloud.CloudClient
import wardmux.cloud.MachineDrainer
import wardmux.cloud.MachineTypeCatalog
import wardmux.cloud.Provisioner
import wardmux.cloud.RentalOrders
import wardmux.config.OperatorSettings
import wardmux.config.PlatformSettings
import wardmux.core.CoreContext
import wardmux.drain.DrainEnvironment
import wardmux.drain.LeaderDrains
import wardmux.election.Leadership
import wardmux.election.Role
import wardmux.fleet.Fleet
import wardmux.fleet.FleetHealth
import wardmux.forwarding.Batch
import wardmux.forwarding.BatchAnswer
import wardmux.forwarding.Relays
import wardmux.forwarding.StoreRelayServer
import wardmux.lease.LeaderKnowledge
import wardmux.lease.LeaseRenewals
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobState
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Progress
import wardmux.model.Stamp
import wardmux.model.millis
import wardmux.model.secs
import wardmux.peers.Cancellations
import wardmux.records.JobRecord
import wardmux.records.StoredPage
import wardmux.scheduling.Cluster
import wardmux.scheduling.FairQueue
import wardmux.scheduling.MachinePools
import wardmux.scheduling.PlacementStore
import wardmux.scheduling.Planner
import wardmux.scheduling.Preemption
import wardmux.scheduling.TaskStopper
import wardmux.store.Event
import wardmux.store.Priority
import wardmux.store.Result
import wardmux.store.Scanned
import wardmux.store.StateStore
import wardmux.worker.Report
import wardmux.worker.ReportReader

/**
 * All that a controller holds while it leads, from reading what is stored until it is deposed. A
 * term that is over does nothing more.
 */
class LeaderSession(
    private val context: CoreContext,
    private val store: StateStore,
    private val leadership: Leadership,
    private val role: Role.Leader,
    private val types: MachineTypeCatalog,
    cloud: CloudClient,
    platform: PlatformSettings,
    private val operators: OperatorSettings,
    private val reader: ReportReader,
    private val learnFinal: (JobId, JobState) -> Unit,
    private val cancellations: Cancellations,
    renewals: LeaseRenewals,
    /** True if another controller could lead. */
    private val hasSiblings: () -> Boolean,
) : PlacementStore.Listener {
    private val log = logger<LeaderSession>()
    private val facts = platform.facts
    private val pageSize = Job.pageSize(store.layoutBytes)

    private val queue =
        FairQueue(
            facts.teams.associate { it.name to it.cpus },
            operators.halfLifeS.secs,
            operators.normS,
        )
    private val cluster = Cluster(context, facts.teams, queue)
    private val knowledge =
        LeaderKnowledge(context, cluster, cancellations, role.token, facts.workers)
    private val pools = MachinePools(context) { types.types.orEmpty() }
    private val planner =
        Planner(context, cluster, operators, facts.workers, facts.objectives, pools) {
            types.types.orEmpty()
        }
    private val stopper = TaskStopper(cluster, facts.workers)
    private val preemption = Preemption(context, cluster, planner, stopper, operators)
    private val placementStore =
        PlacementStore(context, store, cluster, role, operators.writePeriodS.secs, this)
    private val fleet =
        Fleet(
            context,
            cluster,
            stopper,
            types,
            facts.workers,
            operators,
            role.token,
            { leadership.leaseIsValid },
            { leadership.leaseUncertainSince },
            renewals,
            knowledge,
            ::decommission,
            leadership::seen,
            ::sendAway,
            facts.limits.sockets.directCommands,
        )
    private val relays =
        Relays(
            context,
            cluster,
            fleet,
            reader,
            platform.member,
            role.token,
            facts.workers,
            facts.limits,
            operators,
            platform.siblings.isNotEmpty(),
            knowledge,
        )
    private val storeRelay = StoreRelayServer(context, store, role, ::take)
    private val health =
        FleetHealth(
            context,
            cluster,
            fleet,
            types,
            facts.workers,
            operators,
            { loaded },
            relays::renewedAtLatest,
            ::decommission,
        )
    private val provisioner =
        Provisioner(
            context,
            cloud,
            pools,
            cluster,
            fleet,
            planner,
            operators,
            facts.cloud,
            CapacityDemand(context, cluster, facts.objectives) { store.maxValueBytes },
            rentalOrders(cloud),
            MachineDrainer(context, cluster, planner.eligibility, stopper),
            ::decommission,
            placementStore::dropDecommissionRecord,
        )
    /** Drains that operators asked for; null where these are switched off. */
    val drains: LeaderDrains? =
        operators.drain?.let { LeaderDrains(context, drainEnvironment(), it) }
    private val loaded: Boolean
        get() = knowledge.isLoaded

    /** When to look next whether another could lead better; not before a lease has passed. */
    private var nextCutOffCheckAt = context.now + operators.leaderLeaseS.secs
    private var over = false

    private val storedState = StoredStateReader(store)

    /**
     * Counts how often what is stored was read again: the answer to an earlier watch is dropped.
     */
    private var watchGeneration = 0
    private var loadAt: Micros? = Micros.LONG_AGO
    private var watchAt: Micros? = null
    private var watchFrom = 0L
    private var nextPreemptionAt = Micros.LONG_AGO

    /** What had changed when the last plan was made, and when the next is made whatever has not. */
    private var plannedChanges = -1L
    private var planAnywayAt = Micros.LONG_AGO
    private var nextPlanAt = Micros.LONG_AGO

    private fun drainEnvironment() =
        DrainEnvironment(
            store,
            role,
            cluster,
            planner.eligibility,
            stopper,
            provisioner,
            facts,
            operators,
            { types.types.orEmpty() },
            { loaded && !over && leadership.leaseIsValid },
            ::decommission,
            leadership::fenced,
        )

    private fun rentalOrders(cloud: CloudClient) =
        RentalOrders(
            context,
            cloud,
            cluster,
            fleet,
            operators,
            role.token,
            facts.cloud,
            facts.zones,
        )

    fun end() {
        over = true
        storedState.abandon()
        storeRelay.end()
    }

    val wantsRelays: Boolean
        get() = relays.wanted

    private fun sendAway(): String? = relays.sendAway()

    fun handleReport(call: Long, report: Report) {
        fleet.handleReport(call, report)
        planIfChanged()
    }

    /** What a relay has heard; null if it is not for this leader. */
    fun take(batch: Batch): BatchAnswer? {
        if (batch.token != role.token.value) return null
        return relays.take(batch).also { planIfChanged() }
    }

    private fun planIfChanged() {
        // What ended makes room; but a plan is not made for each report.
        if (plannedChanges != cluster.changes && context.now >= nextPlanAt) planAndWrite()
    }

    /** A user was told so, by this controller or by another. */
    fun cancelled(id: JobId) {
        val job = cluster.jobs[id] ?: return
        if (job.finished || job.over || job.complete) return
        log.info("{} is cancelled; {} tasks are out", job.id, job.placements.size)
        cluster.cancel(job, cancellations.toldSince(id))
        fleet.sendDirect()
    }

    fun tick() {
        cluster.reference = types.types?.maxByOrNull { it.cpus }
        pools.observe(cluster.jobs.values)
        relays.tick(loaded)
        storeRelay.tick()
        loadAt?.let { if (context.now >= it && types.types != null) load() }
        if (!loaded) return
        watchAt?.let { if (context.now >= it) watch() }
        health.watch()
        if (canHandOver && context.now >= nextCutOffCheckAt) {
            nextCutOffCheckAt = context.now + CUT_OFF_CHECK_PERIOD
            reasonToAbdicate()?.let {
                return leadership.abdicate(it)
            }
        }
        provisioner.tick(leadership.leaseIsValid)
        drains?.tick()
        if (leadership.leaseIsValid && context.now >= nextPreemptionAt) {
            nextPreemptionAt = context.now + PREEMPTION_PERIOD
            preemption.preempt()
            fleet.sendDirect()
        }
        dropSettledJobs()
        fleet.sendDirect()
        planAndWrite()
    }

    /** Decides and writes, if the last write is settled. */
    private fun planAndWrite() {
        nextPlanAt = context.now + PLAN_PERIOD_LEAST
        if (!loaded || over || !leadership.leaseIsValid || !placementStore.ready) return
        if (plannedChanges != cluster.changes || context.now >= planAnywayAt) {
            plannedChanges = cluster.changes
            planAnywayAt = context.now + PLAN_PERIOD_MOST
            planner.plan(placementStore.admission())
        }
        placementStore.flush()
    }

    /**
     * Without the state service nobody can take the lease: who gives it up in an outage leaves all
     * workers without a leader until it is over, and their leases run out.
     */
    private val canHandOver: Boolean
        get() = leadership.leaseIsValid && store.troubledSince == null

    /** Why another controller may be better placed to lead, or null. */
    private fun reasonToAbdicate(): String? =
        when {
            !hasSiblings() -> null
            health.isLeftAlone() -> "most machines are silent"
            fleet.reachesNone -> "orders reach no machine"
            else -> null
        }

    private fun dropSettledJobs() {
        cluster.jobs.values.removeIf { it.settled }
    }

    fun progress(): List<Progress> =
        cluster.jobs.values.take(MAX_PROGRESS_JOBS).map { progressOf(it) }

    fun progressOf(id: JobId): Progress? = cluster.jobs[id]?.let { progressOf(it) }

    private fun progressOf(job: Job): Progress {
        return Progress(job.id.value, job.doneCount, job.running)
    }

    // Reading what is stored.

    private fun load() {
        loadAt = null
        val askedAt = context.now
        // Also what an earlier reading took in before it failed half-way: a job that was cancelled
        // since would stay, and its tasks with it.
        cluster.forgetJobs()
        storedState.read { state ->
            if (state == null) loadAt = context.now + LOAD_RETRY else load(state, askedAt)
        }
    }

    private fun load(state: StoredState, askedAt: Micros) {
        state.tags?.let { queue.load(it.data) }
        placementStore.tagsStamp = state.tags?.stamp ?: 0
        for (item in state.openJobs.items) addJob(item.data ?: continue, Stamp(item.stamp))
        for (item in state.cancelledJobs) loadCancelled(item)
        cancellations.shown(askedAt)
        for (item in state.pages) loadPage(item)
        for (item in state.decommissionedMachines) {
            markDecommissioned(MachineId(item.key.removePrefix(PlacementStore.MACHINES)))
        }
        pools.observeNow(cluster.jobs.values)
        watchFrom = state.openJobs.epoch
        watchAt = context.now
        knowledge.isLoaded = true
        knowledge.hasRead = true
        log.info(
            "token {} has read {} jobs with {} placements, {} cancelled ones among them, " +
                "as of {} s ago",
            role.token,
            cluster.jobs.size,
            cluster.jobs.values.sumOf { it.placements.size },
            cluster.jobs.values.count { it.isCancelled },
            (context.now - askedAt).seconds,
        )
    }

    private fun loadCancelled(item: Scanned<JobRecord>) {
        val id = JobId(item.key.removePrefix(JobRecord.CANCELLED_PREFIX))
        cancellations.learnStored(id)
        // One that was cancelled since the open ones were read: the watch tells that.
        if (id in cluster.jobs) return
        // When its user was told is not stored: unless this process knows, as long ago as can be.
        addJob(item.data ?: return, Stamp(item.stamp))?.let {
            cluster.cancel(it, cancellations.toldSince(id))
        }
    }

    /** Recorded by an earlier leader, which may not have come to delete it. */
    private fun markDecommissioned(id: MachineId) {
        val label = types.types?.firstOrNull()?.label ?: return
        val machine = fleet.machine(id, label, "", false) ?: return
        machine.decommissioned = true
        machine.decommissionReason = "decommissioned earlier"
        machine.deleting = true
    }

    private fun loadPage(item: Scanned<StoredPage>) {
        val id = JobId(item.key.removePrefix(Job.PAGES).substringBefore('/'))
        val page = item.key.substringAfterLast('/').toIntOrNull() ?: return
        // Nothing of a done job is on a machine; its pages are only to be removed.
        val job = cluster.jobs.getOrPut(id) { FinishedJobs.of(id, pageSize) }
        val placed = job.load(page, item.stamp, item.data)
        if (job.finished) return job.placements.clear()
        for (placement in placed) cluster.restore(placement, cluster.machines[placement.machine])
    }

    private fun addJob(record: JobRecord, stamp: Stamp): Job? {
        val spec = record.spec ?: return null
        if (spec.jobId in cluster.jobs) return null
        val job = Job(spec, stamp, Micros(record.acceptedAt), pageSize)
        cluster.jobs[spec.jobId] = job
        cluster.changed()
        return job
    }

    private fun watch() {
        watchAt = null
        val generation = watchGeneration
        val askedAt = context.now
        store.watch(JobRecord.OPEN_PREFIX, watchFrom, WATCH_TIME, Priority.LEADER) { result ->
            if (over || generation != watchGeneration) return@watch
            when (result) {
                is Result.Ok -> {
                    watchFrom = maxOf(watchFrom, result.value.epoch)
                    for (event in result.value.events) take(event)
                    cancellations.shown(askedAt)
                    watchAt = context.now + WATCH_PAUSE
                    planAndWrite()
                }
                // Too old to go on from.
                is Result.Invalid -> lost()
                else -> watchAt = context.now + WATCH_RETRY
            }
        }
    }

    private fun take(event: Event) {
        val put = event.put
        val removed = event.remove
        if (put != null && event.data != null) {
            JobRecord.of(event.data)?.let { addJob(it, Stamp(event.stamp)) }
        } else if (removed != null) {
            // Of a job that is done it was this leader that removed it.
            val job = cluster.jobs[JobId(removed.removePrefix(JobRecord.OPEN_PREFIX))] ?: return
            if (job.finished) return
            cancellations.learn(job.id)
            // A sibling may have told it while what is stored was being read, before the job was
            // here.
            cancelled(job.id)
        }
    }

    // What the placement store reports.

    override fun written() = fleet.sendDirect()

    override fun fenced() = leadership.fenced()

    override fun lost() {
        knowledge.isLoaded = false
        watchGeneration++
        storedState.abandon()
        watchAt = null
        loadAt = context.now
    }

    override fun finished(job: Job) {
        val took = context.wall - job.acceptedAt
        log.info(
            "{} is done: {} {} tasks for {} took {} s, due after {} s",
            job.id,
            job.spec.tasks,
            job.spec.jobClass,
            job.spec.team,
            took.seconds.toInt(),
            job.spec.deadlineS ?: "no",
        )
        learnFinal(job.id, JobState.DONE)
    }

    override fun changed(job: Job) {
        // Its user has cancelled it; the watch will say so too.
        if (!job.finished) {
            log.info("{} was cancelled meanwhile", job.id)
            cluster.cancel(job, cancellations.informedAt)
        }
    }

    override fun decommissioned(machine: Machine) {
        machine.deleting = true
    }

    private fun decommission(machine: Machine, why: String) {
        if (machine.decommissioned) return
        log.info("{} is given up: {}; {} tasks there", machine.id, why, machine.placements.size)
        machine.decommissioned = true
        machine.decommissionReason = why
        placementStore.decommission(machine)
    }

    private companion object {
        val LOAD_RETRY = 300.millis
        /** Short, as what is known counts from when the watch began. */
        val WATCH_TIME = 2.secs
        val WATCH_PAUSE = 80.millis
        val WATCH_RETRY = 400.millis
        val PREEMPTION_PERIOD = 500.millis
        val CUT_OFF_CHECK_PERIOD = 400.millis
        val PLAN_PERIOD_MOST = 500.millis
        val PLAN_PERIOD_LEAST = 50.millis
        /**
         * A heartbeat takes far more, at some 50 bytes for each job; the counts are for display.
         */
        const val MAX_PROGRESS_JOBS = 5_000
    }
}
