package wardmux.fleet

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.lease.LeaderCancellationView
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalDecision
import wardmux.lease.WithholdingReason
import wardmux.logging.logger
import wardmux.model.FencingToken
import wardmux.model.JobSpec
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.MachineTypes
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.TaskId
import wardmux.model.TaskStatus
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.TaskEvictor
import wardmux.serialization.lenientJson
import wardmux.worker.DirectCommands
import wardmux.worker.Redirect
import wardmux.worker.ReportedTask
import wardmux.worker.WorkerCommand
import wardmux.worker.WorkerHeartbeat

/** The leader's dealings with workers: what their reports prove and what they are told. */
class Fleet(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val stopper: TaskEvictor,
    private val types: MachineTypes,
    private val workers: WorkerTiming,
    private val operators: OperatorSettings,
    private val token: FencingToken,
    private val leaseIsValid: () -> Boolean,
    /** Since when this leader has not been sure of its lease, or null. */
    private val leaseUncertainSince: () -> Micros?,
    private val renewals: LeaseRenewals,
    private val knowledge: LeaderCancellationView,
    private val decommission: (Machine, String) -> Unit,
    private val seen: (FencingToken) -> Unit,
    /** Whom a worker that reports here is to be sent to, or null if it stays. */
    private val sendAway: () -> String?,
    /** Direct commands and probes that may be under way at once. */
    private val mostDirect: Int,
) {
    private val log = logger<Fleet>()
    private val failures = TaskFailures(context, decommission)

    /** Machines whose deletion was confirmed; what they still send is late. */
    val gone = HashSet<MachineId>()

    fun machine(id: MachineId, typeLabel: String, zone: String, spot: Boolean): Machine? {
        cluster.machines[id]?.let {
            return it
        }
        val type = types.byLabel(typeLabel) ?: return null
        val machine = Machine(id, type, zone, spot)
        machine.idleSince = context.now
        cluster.add(machine)
        return machine
    }

    /** A report that came to this controller itself. */
    fun handleHeartbeat(call: Long, report: WorkerHeartbeat) {
        if (MachineId(report.machine) in gone) {
            return context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
        }
        val machine = reporting(report)
        if (machine != null) {
            if (isGivenUp(machine, report)) {
                return context.answer(call, HttpStatus.SERVICE_UNAVAILABLE)
            }
            if (sendOn(machine)) return context.answer(call, HttpStatus.MISDIRECTED_REQUEST)
            sendAway()?.let {
                return context.answerBytes(
                    call,
                    HttpStatus.MISDIRECTED_REQUEST,
                    Redirect(it).encode(),
                )
            }
        }
        // Heard whether or not it is renewed: what it shows is as good as ever, a new session
        // above all, and may be the proof that lets the lease run on.
        val heard = machine != null && takeIn(machine, report, null, context.now)
        when (val decision = renewals.decide(report, knowledge)) {
            is RenewalDecision.Withhold -> {
                if (machine != null) askForProof(machine, decision)
                context.answerBytes(call, HttpStatus.OK, decision.answer)
            }
            is RenewalDecision.Renew -> {
                machine?.renewedAt = context.now
                val orders =
                    if (machine != null && heard) orders(machine, report, starts = true)
                    else emptyList()
                context.answerBytes(call, HttpStatus.OK, decision.renewal.answer(orders))
            }
        }
    }

    /**
     * One that a relay has answered, or null if it is not to answer this machine again; otherwise
     * what the machine is to be told, but for starts: these go to the machine itself, so that one
     * under way can be told from one that is not.
     */
    fun relayed(report: WorkerHeartbeat, relay: String, sentAt: Micros): List<WorkerCommand>? {
        if (MachineId(report.machine) in gone) return null
        val machine = reporting(report) ?: return emptyList()
        // It was perhaps renewed, so its lease may run from here.
        machine.renewedAt = context.now
        if (isGivenUp(machine, report)) return null
        val heard = takeIn(machine, report, relay, sentAt)
        val decision = renewals.decide(report, knowledge)
        if (decision is RenewalDecision.Withhold) {
            askForProof(machine, decision)
            // Relays withhold it by themselves; those of an earlier version are to refuse it.
            if (decision.reason == WithholdingReason.UNPROVEN) return null
        }
        val halts = (decision as? RenewalDecision.Renew)?.renewal?.halts.orEmpty()
        // While what is stored is being read, perhaps for long, cancellations are known already.
        return if (heard && knowledge.isLoaded) orders(machine, report, starts = false) else halts
    }

    /**
     * What it may hold of cancelled jobs is told to it directly: that needs no renewal, shows
     * whether it is there, and makes the machine take this token, so that no earlier start counts.
     */
    private fun askForProof(machine: Machine, decision: RenewalDecision.Withhold) {
        if (decision.reason != WithholdingReason.UNPROVEN || machine.isCommandInFlight) return
        for (placement in machine.placements.values) {
            if (placement.job.isCancelled) placement.stopSent = false
        }
        cluster.machinesWithCommands.add(machine)
    }

    /** Null if nothing can be made of the machine. */
    private fun reporting(report: WorkerHeartbeat): Machine? {
        val id = MachineId(report.machine)
        cluster.machines[id]?.let {
            return it
        }
        val machine = machine(id, report.type, report.zone, report.spot) ?: return null
        machine.hasOnlyStaleHeartbeats = true
        return machine
    }

    /** True for one that is not answered: its lease is to end if its deletion takes long. */
    private fun isGivenUp(machine: Machine, report: WorkerHeartbeat): Boolean {
        if (machine.decommissioned && isNewer(machine, report)) note(machine, report, context.now)
        return machine.decommissioned
    }

    /** False if it shows nothing: late, a copy, or overtaken by a direct order's answer. */
    private fun takeIn(
        machine: Machine,
        report: WorkerHeartbeat,
        relay: String?,
        lastHeartbeatAt: Micros,
    ): Boolean {
        if (!isNewer(machine, report)) return false
        note(machine, report, lastHeartbeatAt)
        machine.forwardedBy = relay
        if (!knowledge.isLoaded) return true
        reconcile(machine, report)
        proveAbsent(machine, report)
        return true
    }

    /**
     * A leader that has been unsure for a while may be cut off from all but its workers, and then a
     * successor can't reach them. So each is sent on once in a while, for any other controller to
     * say who leads. In a mere outage they say that this one does, and it comes back.
     */
    private fun sendOn(machine: Machine): Boolean {
        if (!sendsOn || context.now - machine.lastRedirectAt < sendOnPause(workers)) return false
        machine.lastRedirectAt = context.now
        return true
    }

    /** True while workers are sent on, by this leader and by its relays. */
    val sendsOn: Boolean
        get() = leaseUncertainSince()?.let { context.now - it >= SEND_ON_AFTER } == true

    private fun isNewer(machine: Machine, report: WorkerHeartbeat) =
        report.incarnation > machine.incarnation ||
            (report.incarnation == machine.incarnation && report.tick > machine.tick)

    private fun note(machine: Machine, report: WorkerHeartbeat, at: Micros) {
        if (report.incarnation > machine.incarnation) {
            // A new session begins with nothing on the machine; its images stay.
            for (placement in machine.placements.values.toList()) {
                if (placement.incarnation < report.incarnation)
                    cluster.release(placement, "session over")
            }
            // Direct orders name the session, so those of an earlier one are refused.
            machine.unconfirmedStarts.clear()
            machine.endedSince.clear()
            machine.startUnansweredSince = null
            // It lives for a lease from its beginning, whoever answered the one before; also that
            // of a machine that can't report.
            machine.incarnationSince = context.now
        }
        machine.endpoint = report.endpoint
        machine.incarnation = report.incarnation
        machine.tick = report.tick
        if (report.token == token.value) {
            if (!machine.confirmed) {
                log.info("{} is up", machine.id)
                // Until it took this token, an earlier leader may have renewed its lease.
                machine.incarnationSince = context.now
                cluster.machinesWithCommands.add(machine)
                cluster.changed()
            }
            machine.confirmed = true
            machine.hasOnlyStaleHeartbeats = false
            // Under an older token it may be a copy from before this leader's time.
            machine.lastHeartbeatAt = maxOf(machine.lastHeartbeatAt ?: at, at)
            machine.probeFailed = false
        } else if (machine.firstStaleHeartbeatAt == null) {
            machine.firstStaleHeartbeatAt = context.now
        }
        if (report.recallS != null && machine.preemptionNoticeAt == null) {
            machine.preemptionNoticeAt = context.now
            machine.preemptedAt = context.now + report.recallS.seconds
            log.info("{} is taken back in {} s", machine.id, report.recallS)
        }
    }

    /** Takes in what the report shows. */
    private fun reconcile(machine: Machine, report: WorkerHeartbeat) {
        var orphans: ArrayList<JobSpec>? = null
        for (reported in report.tasks) {
            val placement = machine.placed(reported)
            if (placement != null) {
                placement.lastSeenTick = report.tick
                if (reported.status == TaskStatus.ENDED) ended(machine, placement, reported, report)
                else progressed(machine, placement, reported.status)
                continue
            }
            val task = TaskId.parse(reported.task) ?: continue
            if (reported.status == TaskStatus.ENDED) {
                endedUnplaced(task, reported)
            } else {
                val job = cluster.jobs[task.job] ?: continue
                orphans = (orphans ?: ArrayList()).also { it.add(job.spec) }
            }
        }
        cluster.setOrphans(machine, orphans ?: emptyList())
    }

    private fun Machine.placed(reported: ReportedTask): Placement? =
        placements[reported.task]?.takeIf { it.attempt == reported.attempt }

    /**
     * Under this token only this leader gives orders, and in its answers one report at a time: what
     * a later report lacks is not there, and no order for it is still under way. Only reports that
     * the worker sends by itself prove that; the answer to a direct order may have overtaken the
     * answer to a report.
     */
    private fun proveAbsent(machine: Machine, report: WorkerHeartbeat) {
        if (report.token != token.value) return
        val absent =
            machine.placements.values.filter {
                val leaving = it.isStopping || it.job.hasEnded || it.restored
                leaving &&
                    it.committed &&
                    it.lastSeenTick != report.tick &&
                    it.taskAttempt !in machine.unconfirmedStarts
            }
        for (placement in absent) cluster.release(placement, "not on the machine")
    }

    private fun progressed(machine: Machine, placement: Placement, status: TaskStatus) {
        if (status == TaskStatus.RUNNING && placement.runningSince == null) {
            placement.runningSince = context.now
            placement.job.gang?.ran = true
            log.debug("{} runs on {}", placement.task, machine.id)
        }
        placement.status = status
        failures.runs(machine, placement)
        val spec = placement.job.spec
        if (status != TaskStatus.FETCHING) machine.imageReady(spec.image, spec.imageGb, context.now)
        if (
            machine.preemptionNoticeAt != null &&
                !placement.isStopping &&
                placement.job.spec.savable
        ) {
            stopper.stop(placement, "its machine is taken back")
        }
    }

    private fun ended(
        machine: Machine,
        placement: Placement,
        reported: ReportedTask,
        report: WorkerHeartbeat,
    ) {
        val job = placement.job
        // A copy from before this leader's time frees nothing; what is done stays done.
        if (reported.cause != "done" && report.token != token.value) return
        // The others wait or run for nothing.
        if (reported.cause != "done" && !job.allTasksDone) cluster.breakAttempt(job)
        when (reported.cause) {
            "done" -> {
                failures.completed(machine, job)
                cluster.complete(placement)
            }
            "error" -> {
                cluster.release(placement, "failed")
                failures.failed(machine, job)
            }
            "stopped" -> cluster.release(placement, "stopped")
            // Another task of its gang is gone or was not there in time; nothing is at fault here.
            "peers",
            "alone" -> cluster.release(placement, "its gang is not whole")
            else -> {
                log.info("{} was refused by {}: {}", placement.task, machine.id, reported.cause)
                cluster.release(placement, "refused")
                machine.pausedUntil = context.now + REFUSED_PAUSE
                if (reported.cause == "unknown") job.backoffUntil = context.wallTime + UNKNOWN_PAUSE
            }
        }
    }

    /** The result is kept on the machine, so a completed task counts wherever it is found. */
    private fun endedUnplaced(task: TaskId, reported: ReportedTask) {
        val job = cluster.jobs[task.job] ?: return
        if (reported.cause != "done" || job.hasEnded || job.isTaskDone(task.index)) return
        if (task.index !in 0 until job.spec.tasks) return
        if (job.placements.containsKey(task.index)) return
        cluster.complete(job, task.index)
        cluster.changed()
    }

    private fun orders(
        machine: Machine,
        report: WorkerHeartbeat,
        starts: Boolean,
    ): List<WorkerCommand> {
        val orders = ArrayList<WorkerCommand>()
        if (!knowledge.isLoaded) return orders
        for (reported in report.tasks) {
            if (reported.status == TaskStatus.ENDED) {
                if (mayForget(machine, reported)) {
                    orders.add(WorkerCommand.forget(reported.task, reported.attempt))
                }
                continue
            }
            val placement = machine.placed(reported)
            if (placement == null || placement.job.hasEnded) {
                orders.add(WorkerCommand.halt(reported.task, reported.attempt, 0.0))
            } else if (placement.isStopping && reported.status != TaskStatus.SAVING) {
                val within = placement.gracePeriod ?: Micros.ZERO
                orders.add(WorkerCommand.halt(reported.task, reported.attempt, within.inSeconds))
            }
        }
        if (!starts || !leaseIsValid()) return orders
        for (placement in machine.placements.values) {
            if (orders.size >= MAX_ORDERS) break
            if (placement.lastSeenTick == report.tick || !startable(machine, placement)) continue
            orders.add(WorkerCommand.start(placement))
            started(placement)
        }
        return orders
    }

    private fun started(placement: Placement) {
        placement.startSent = true
        if (placement.startedAt == null) placement.startedAt = context.now
    }

    private fun startable(machine: Machine, placement: Placement) =
        placement.committed &&
            !placement.restored &&
            placement.incarnation == machine.incarnation &&
            !placement.isStopping &&
            !placement.job.hasEnded &&
            placement.job.mayStart

    /**
     * Direct starts are not sent to a machine any more where one went unanswered, and a relay's
     * answers hold none. What was recorded there meanwhile and never sent by this leader, the only
     * one that could have, would wait for as long as the machine lives.
     */
    fun releaseUnsent(machine: Machine) {
        val unsent =
            machine.placements.values.filter {
                it.committed && !it.restored && it.startedAt == null && !it.startSent
            }
        for (placement in unsent) cluster.release(placement, "its start can't be sent")
    }

    /** Asks a machine for its state; [silent] if it does not answer. */
    fun ask(machine: Machine, within: Micros, silent: () -> Unit) {
        directOpen++
        val target = Target.Worker(machine.endpoint)
        context.send(target, "GET", "/status", ByteArray(0), within) { outcome ->
            directOpen--
            if (outcome is Outcome.Response && outcome.status == 200) takeDirect(machine, outcome)
            else silent()
        }
    }

    /** One more connection to a machine can be opened. */
    val mayAsk: Boolean
        get() = directOpen < mostDirect

    /**
     * Sends what is new to the machines themselves, rather than with the answer to their next
     * report. A lost answer leaves the order's fate open: see [Machine.unconfirmedStarts].
     */
    fun sendDirect() {
        val looked = cluster.machinesWithCommands.iterator()
        while (looked.hasNext() && mayAsk) {
            val machine = looked.next()
            // One at a time: looked at again when that one is over. Nor is one to which there is no
            // connection tried without a pause: where a whole zone is cut off, such attempts would
            // hold up the commands to all others.
            val pausing = context.now - machine.connectionFailedAt < UNCONNECTED_PAUSE
            if (machine.isCommandInFlight || pausing) continue
            val known = machine.confirmed || machine.holdsCancelled
            val reachable = known && !machine.decommissioned && machine.endpoint.isNotEmpty()
            if (!reachable || machine.hasUnansweredStart) {
                looked.remove()
                continue
            }
            val waits = sendDirect(machine)
            if (!waits && !machine.isCommandInFlight) looked.remove()
        }
    }

    /** True if some of it can't go out yet. */
    private fun sendDirect(machine: Machine): Boolean {
        val starts = ArrayList<Placement>()
        val orders = ArrayList<WorkerCommand>()
        var waits = false
        for (placement in machine.placements.values) {
            if (isHaltDue(machine, placement)) {
                val within = if (placement.job.hasEnded) Micros.ZERO else placement.gracePeriod
                val inSeconds = (within ?: Micros.ZERO).inSeconds
                orders.add(WorkerCommand.halt(placement.name, placement.attempt, inSeconds))
                placement.stopSent = true
            } else if (!placement.startSent && startable(machine, placement) && leaseIsValid()) {
                if (starts.size < MAX_DIRECT) starts.add(placement) else waits = true
            } else if (!placement.committed || !placement.startSent && !placement.job.mayStart) {
                waits = true
            }
        }
        for (placement in starts) {
            started(placement)
            machine.unconfirmedStarts.add(placement.taskAttempt)
            orders.add(WorkerCommand.start(placement))
        }
        if (orders.isNotEmpty()) direct(machine, orders, starts)
        return waits
    }

    /** Also one of a cancelled job that a machine which never took this token does not show. */
    private fun isHaltDue(machine: Machine, placement: Placement): Boolean {
        if (placement.stopSent) return false
        val leaving = placement.isStopping || placement.job.hasEnded
        val unproven = placement.job.isCancelled && !machine.confirmed
        return leaving && (placement.status != null || unproven)
    }

    private fun direct(machine: Machine, orders: List<WorkerCommand>, starts: List<Placement>) {
        machine.isCommandInFlight = true
        machine.commandSentAt = context.now
        directOpen++
        val incarnation = machine.incarnation
        val body = DirectCommands(token.value, incarnation, orders)
        val bytes =
            lenientJson.encodeToString(DirectCommands.serializer(), body).encodeToByteArray()
        val target = Target.Worker(machine.endpoint)
        context.send(target, "POST", "/do", bytes, DIRECT_TIME) { outcome ->
            machine.isCommandInFlight = false
            directOpen--
            if (outcome is Outcome.Response) unreached.clear()
            else unreached.putIfAbsent(machine, context.now)
            if (starts.any { it.stopSent } || !machine.isEmpty)
                cluster.machinesWithCommands.add(machine)
            when (outcome) {
                is Outcome.Response -> {
                    if (outcome.status != 200) for (placement in starts) placement.startSent = false
                    settled(machine, incarnation, starts)
                    if (outcome.status == 200 || outcome.status == 409) takeDirect(machine, outcome)
                }
                is Outcome.NotSent -> {
                    machine.connectionFailedAt = context.now
                    for (placement in starts) placement.startSent = false
                    settled(machine, incarnation, starts)
                }
                is Outcome.NoResponse ->
                    if (machine.incarnation == incarnation && starts.isNotEmpty()) {
                        log.info("{} starts went unanswered by {}", starts.size, machine.id)
                        if (machine.startUnansweredSince == null)
                            machine.startUnansweredSince = context.now
                    }
            }
        }
    }

    /**
     * For a while now orders have reached no machine, although several of those that were tried
     * were heard after that: through relays, then. Another controller may reach them.
     */
    val reachesNone: Boolean
        get() =
            unreached.size >= ENOUGH_UNREACHED &&
                unreached.values.any { context.now - it > UNREACHED_FOR } &&
                unreached.count { (machine, at) -> machine.heardSince(at) } >= ENOUGH_UNREACHED

    private fun Machine.heardSince(at: Micros) = !decommissioned && (lastHeartbeatAt ?: at) > at

    private fun settled(machine: Machine, incarnation: Long, starts: List<Placement>) {
        if (machine.incarnation != incarnation) return
        for (placement in starts) machine.unconfirmedStarts.remove(placement.taskAttempt)
    }

    private fun takeDirect(machine: Machine, response: Outcome.Response) {
        val report = WorkerHeartbeat.parse(response.body) ?: return
        seen(FencingToken(report.token))
        if (cluster.machines[machine.id] !== machine) return
        if (MachineId(report.machine) != machine.id || !isNewer(machine, report)) return
        note(machine, report, context.now)
        if (knowledge.isLoaded) reconcile(machine, report)
    }

    /** A completed task is recorded before the only other place that knows of it forgets. */
    private fun mayForget(machine: Machine, reported: ReportedTask): Boolean {
        if (reported.taskAttempt in machine.unconfirmedStarts) return false
        if (reported.cause != "done")
            return machine.mayForget(reported.taskAttempt, context.now, keepEnded)
        val task = TaskId.parse(reported.task) ?: return true
        val job = cluster.jobs[task.job] ?: return true
        return job.hasEnded || job.isRecorded(task.index)
    }

    /**
     * A copy of a direct start may come late, and would start a forgotten attempt again: beside the
     * next one, or of a job that was cancelled since. What is done is not run again by it; all else
     * is forgotten only after this, or with its session.
     */
    private val keepEnded = (workers.leaseS * KEPT_LEASES).seconds

    /** Machines that orders did not reach, and since when; empty once any is reached. */
    private val unreached = HashMap<Machine, Micros>()

    /** Direct orders under way. */
    private var directOpen = 0

    companion object {
        private val DIRECT_TIME = 4.seconds
        private val UNCONNECTED_PAUSE = 2.seconds
        private const val ENOUGH_UNREACHED = 6
        private val UNREACHED_FOR = 3.seconds
        private const val MAX_DIRECT = 300
        private val REFUSED_PAUSE = 1.seconds
        private val UNKNOWN_PAUSE = 3.seconds
        private const val MAX_ORDERS = 400
        private const val KEPT_LEASES = 10.0
        private val SEND_ON_AFTER = 2.seconds
        private const val SEND_ON_PART = 0.5

        /** How long one worker is left alone after it was sent on. */
        fun sendOnPause(workers: WorkerTiming) = workers.leaseS.seconds * SEND_ON_PART
    }
}
