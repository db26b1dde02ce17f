package wardmux.leader

import wardmux.cloud.CloudClient
import wardmux.cloud.MachineDecommissioning
import wardmux.cloud.MachineTypeCatalog
import wardmux.cloud.Provisioner
import wardmux.cloud.ProvisioningEnvironment
import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.CoreContext
import wardmux.drain.DrainEnvironment
import wardmux.drain.DrainTerm
import wardmux.drain.LeaderDrains
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.fleet.Fleet
import wardmux.fleet.MachineHealthMonitor
import wardmux.forwarding.ForwardingCoordinator
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.forwarding.StoredBatchServer
import wardmux.lease.LeaderCancellationView
import wardmux.lease.LeaseRenewals
import wardmux.logging.logger
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobProgress
import wardmux.model.JobState
import wardmux.model.KeyVersion
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.peers.Cancellations
import wardmux.records.JobRecord
import wardmux.records.StoredPage
import wardmux.scheduling.ClusterState
import wardmux.scheduling.FairQueue
import wardmux.scheduling.MachinePools
import wardmux.scheduling.PlacementStore
import wardmux.scheduling.Planner
import wardmux.scheduling.Preemption
import wardmux.scheduling.TaskEvictor
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.ScannedKey
import wardmux.store.StoreResult
import wardmux.store.WatchEvent
import wardmux.worker.WorkerHeartbeat
import wardmux.worker.WorkerHeartbeatReader

/**
 * All that a controller holds while it leads, from reading what is stored until it is deposed. A
 * term that is over does nothing more.
 */
class LeaderTerm(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val leadership: LeaderElection,
    private val role: Role.Leader,
    private val types: MachineTypeCatalog,
    cloud: CloudClient,
    platform: PlatformConfig,
    private val operators: OperatorSettings,
    private val reader: WorkerHeartbeatReader,
    private val learnFinal: (JobId, JobState) -> Unit,
    private val cancellations: Cancellations,
    renewals: LeaseRenewals,
    /** True if another controller could lead. */
    private val hasSiblings: () -> Boolean,
) : PlacementStore.Listener {
    private val log = logger<LeaderTerm>()
    private val deployment = platform.deployment
    private val pageSize = Job.pageSize(store.layoutBytes)

    private val queue =
        FairQueue(
            deployment.teams.associate { it.name to it.cpus },
            operators.halfLifeS.seconds,
            operators.usageNormS,
        )
    private val cluster = ClusterState(context, deployment.teams, queue)
    private val knowledge =
        LeaderCancellationView(context, cluster, cancellations, role.token, deployment.workers)
    private val pools = MachinePools(context) { types.types.orEmpty() }
    private val planner =
        Planner(context, cluster, operators, deployment.workers, deployment.objectives, pools) {
            types.types.orEmpty()
        }
    private val stopper = TaskEvictor(cluster, deployment.workers)
    private val preemption = Preemption(context, cluster, planner, stopper, operators)
    private val placementStore =
        PlacementStore(context, store, cluster, role, operators.writePeriodS.seconds, this)
    private val fleet =
        Fleet(
            context,
            cluster,
            stopper,
            types,
            deployment.workers,
            operators,
            role.token,
            { leadership.leaseIsValid },
            { leadership.leaseUncertainSince },
            renewals,
            knowledge,
            ::decommission,
            leadership::seen,
            ::sendAway,
            deployment.limits.sockets.directCommands,
        )
    private val relays =
        ForwardingCoordinator(
            context,
            cluster,
            fleet,
            reader,
            platform.member,
            role.token,
            deployment.workers,
            deployment.limits,
            operators,
            platform.peers.isNotEmpty(),
            knowledge,
        )
    private val storeRelay = StoredBatchServer(context, store, role, ::take)
    private val health =
        MachineHealthMonitor(
            context,
            cluster,
            fleet,
            types,
            deployment.workers,
            operators,
            { loaded },
            relays::renewedAtLatest,
            ::decommission,
        )
    private val machineLifecycle = MachineLifecycle()
    private val provisioner =
        Provisioner(
            context,
            ProvisioningEnvironment(
                cloud,
                store,
                cluster,
                fleet,
                planner,
                pools,
                stopper,
                machineLifecycle,
            ),
            deployment,
            operators,
            role.token,
        )
    /** Drains that operators asked for; null where these are switched off. */
    val drains: LeaderDrains? =
        operators.drain?.let {
            LeaderDrains(context, drainEnvironment(), deployment, operators, it)
        }
    private val loaded: Boolean
        get() = knowledge.isLoaded

    /** When to look next whether another could lead better; not before a lease has passed. */
    private var nextCutOffCheckAt = context.now + operators.leaderLeaseS.seconds
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
            machineLifecycle,
            cluster,
            planner.eligibility,
            stopper,
            provisioner,
            types,
        )

    private inner class MachineLifecycle : DrainTerm, MachineDecommissioning {
        override val mayDecide: Boolean
            get() = loaded && !over && leadership.leaseIsValid

        override fun decommission(machine: Machine, reason: String) =
            this@LeaderTerm.decommission(machine, reason)

        override fun dropRecord(machine: Machine) = placementStore.dropDecommissionRecord(machine)

        override fun fenced() = leadership.fenced()
    }

    fun end() {
        over = true
        storedState.abandon()
        storeRelay.end()
    }

    val wantsRelays: Boolean
        get() = relays.wanted

    private fun sendAway(): String? = relays.sendAway()

    fun handleHeartbeat(call: Long, report: WorkerHeartbeat) {
        fleet.handleHeartbeat(call, report)
        planIfChanged()
    }

    /** What a relay has heard; null if it is not for this leader. */
    fun take(batch: HeartbeatBatch): HeartbeatBatchResponse? {
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
        if (job.isDone || job.hasEnded || job.allTasksDone) return
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
        cluster.jobs.values.removeIf { it.isRemovable }
    }

    fun progress(): List<JobProgress> =
        cluster.jobs.values.take(MAX_PROGRESS_JOBS).map { progressOf(it) }

    fun progressOf(id: JobId): JobProgress? = cluster.jobs[id]?.let { progressOf(it) }

    private fun progressOf(job: Job): JobProgress {
        return JobProgress(job.id.value, job.doneCount, job.running)
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
        placementStore.tagsVersion = state.tags?.version ?: 0
        for (item in state.openJobs.items) addJob(item.data ?: continue, KeyVersion(item.version))
        for (item in state.cancelledJobs) loadCancelled(item)
        cancellations.shown(askedAt)
        for (item in state.pages) loadPage(item)
        for (item in state.decommissionedMachines) {
            markDecommissioned(MachineId(item.key.removePrefix(PlacementStore.MACHINES)))
        }
        pools.observeNow(cluster.jobs.values)
        watchFrom = state.openJobs.revision
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
            (context.now - askedAt).inSeconds,
        )
    }

    private fun loadCancelled(item: ScannedKey<JobRecord>) {
        val id = JobId(item.key.removePrefix(JobRecord.CANCELLED_PREFIX))
        cancellations.learnStored(id)
        // One that was cancelled since the open ones were read: the watch tells that.
        if (id in cluster.jobs) return
        // When its user was told is not stored: unless this process knows, as long ago as can be.
        addJob(item.data ?: return, KeyVersion(item.version))?.let {
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

    private fun loadPage(item: ScannedKey<StoredPage>) {
        val id = JobId(item.key.removePrefix(Job.PAGES).substringBefore('/'))
        val page = item.key.substringAfterLast('/').toIntOrNull() ?: return
        // Nothing of a done job is on a machine; its pages are only to be removed.
        val job = cluster.jobs.getOrPut(id) { CompletedJobs.of(id, pageSize) }
        val placed = job.load(page, item.version, item.data)
        if (job.isDone) return job.placements.clear()
        for (placement in placed) cluster.restore(placement, cluster.machines[placement.machine])
    }

    private fun addJob(record: JobRecord, version: KeyVersion): Job? {
        val spec = record.spec ?: return null
        if (spec.jobId in cluster.jobs) return null
        val job = Job(spec, version, Micros(record.acceptedAt), pageSize)
        cluster.jobs[spec.jobId] = job
        cluster.changed()
        return job
    }

    private fun watch() {
        watchAt = null
        val generation = watchGeneration
        val askedAt = context.now
        store.watch(JobRecord.OPEN_PREFIX, watchFrom, WATCH_TIME, RequestPriority.LEADER) { result
            ->
            if (over || generation != watchGeneration) return@watch
            when (result) {
                is StoreResult.Ok -> {
                    watchFrom = maxOf(watchFrom, result.value.revision)
                    for (event in result.value.events) take(event)
                    cancellations.shown(askedAt)
                    watchAt = context.now + WATCH_PAUSE
                    planAndWrite()
                }
                // Too old to go on from.
                is StoreResult.Invalid -> lost()
                else -> watchAt = context.now + WATCH_RETRY
            }
        }
    }

    private fun take(event: WatchEvent) {
        val put = event.put
        val removed = event.remove
        if (put != null && event.data != null) {
            JobRecord.of(event.data)?.let { addJob(it, KeyVersion(event.version)) }
        } else if (removed != null) {
            // Of a job that is done it was this leader that removed it.
            val job = cluster.jobs[JobId(removed.removePrefix(JobRecord.OPEN_PREFIX))] ?: return
            if (job.isDone) return
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
        val took = context.wallTime - job.acceptedAt
        log.info(
            "{} is done: {} {} tasks for {} took {} s, due after {} s",
            job.id,
            job.spec.tasks,
            job.spec.jobClass,
            job.spec.team,
            took.inSeconds.toInt(),
            job.spec.deadlineS ?: "no",
        )
        learnFinal(job.id, JobState.DONE)
    }

    override fun changed(job: Job) {
        // Its user has cancelled it; the watch will say so too.
        if (!job.isDone) {
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
        val LOAD_RETRY = 300.milliseconds
        /** Short, as what is known counts from when the watch began. */
        val WATCH_TIME = 2.seconds
        val WATCH_PAUSE = 80.milliseconds
        val WATCH_RETRY = 400.milliseconds
        val PREEMPTION_PERIOD = 500.milliseconds
        val CUT_OFF_CHECK_PERIOD = 400.milliseconds
        val PLAN_PERIOD_MOST = 500.milliseconds
        val PLAN_PERIOD_LEAST = 50.milliseconds
        /**
         * A heartbeat takes far more, at some 50 bytes for each job; the counts are for display.
         */
        const val MAX_PROGRESS_JOBS = 5_000
    }
}
