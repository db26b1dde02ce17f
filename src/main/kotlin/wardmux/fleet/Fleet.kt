package wardmux.fleet

import kotlinx.serialization.SerializationException
import wardmux.Desk
import wardmux.MachineId
import wardmux.Micros
import wardmux.Outcome
import wardmux.Target
import wardmux.TaskId
import wardmux.Token
import wardmux.app.OperatorSettings
import wardmux.app.WorkerFacts
import wardmux.cloud.TypeBook
import wardmux.dispatch.Cluster
import wardmux.dispatch.Job
import wardmux.dispatch.Planner
import wardmux.lead.Leadership
import wardmux.logger
import wardmux.secs
import wardmux.store.lenientJson

/**
 * The leader's dealings with workers: what their reports prove, what they are told, and which of
 * them are given up.
 */
class Fleet(
    private val desk: Desk,
    private val cluster: Cluster,
    private val planner: Planner,
    private val types: TypeBook,
    private val workers: WorkerFacts,
    private val operators: OperatorSettings,
    private val token: Token,
    private val sure: () -> Boolean,
    private val loaded: () -> Boolean,
    private val condemn: (Machine, String) -> Unit,
    private val seen: (Token) -> Unit,
) {
    private val log = logger<Fleet>()
    private val electedAt = desk.now

    /** Machines whose deletion was confirmed; what they still send is late. */
    val gone = HashSet<MachineId>()

    fun machine(id: MachineId, typeLabel: String, zone: String, spot: Boolean): Machine? {
        cluster.machines[id]?.let {
            return it
        }
        val type = types.byLabel(typeLabel) ?: return null
        val machine = Machine(id, type, zone, spot)
        machine.idleSince = desk.now
        cluster.machines[id] = machine
        // What the records say of it was read before it was heard of.
        for (job in cluster.jobs.values) {
            for (placement in job.placements.values) {
                if (placement.machine == id) machine.add(placement)
            }
        }
        return machine
    }

    fun hello(call: Long, report: Report) {
        val id = MachineId(report.machine)
        if (id in gone) return desk.answer(call, 503)
        val machine =
            machine(id, report.type, report.zone, report.spot) ?: return answer(call, emptyList())
        // Not renewed: its lease is to end if its deletion takes long.
        if (machine.condemned) {
            if (isNewer(machine, report)) note(machine, report)
            machine.heardAt = desk.now
            return desk.answer(call, 503)
        }
        if (!isNewer(machine, report)) {
            // Late, or overtaken by a direct order's answer; but it may renew the lease.
            if (report.shift == machine.shift) machine.heardAt = desk.now
            return answer(call, emptyList())
        }
        note(machine, report)
        machine.heardAt = desk.now
        if (!loaded()) return answer(call, emptyList())
        reconcile(machine, report)
        proveAbsent(machine, report)
        answer(call, orders(machine, report))
    }

    private fun isNewer(machine: Machine, report: Report) =
        report.shift > machine.shift ||
            (report.shift == machine.shift && report.tick > machine.tick)

    private fun note(machine: Machine, report: Report) {
        if (machine.heardAt == null) log.info("{} is up", machine.id)
        if (report.shift > machine.shift) {
            // A new session begins with nothing on the machine; its images stay.
            for (placement in machine.placements.values.toList()) {
                if (placement.shift < report.shift) cluster.release(placement, "session over")
            }
            // Direct orders name the session, so those of an earlier one are refused.
            machine.loose.clear()
            machine.directBroken = false
        }
        machine.endpoint = report.endpoint
        machine.shift = report.shift
        machine.tick = report.tick
        if (report.token == token.value) machine.confirmed = true
        if (report.recallS != null && machine.recalledAt == null) {
            machine.recalledAt = desk.now
            machine.takenAt = desk.now + report.recallS.secs
            log.info("{} is taken back in {} s", machine.id, report.recallS)
        }
    }

    /** Takes in what the report shows. */
    private fun reconcile(machine: Machine, report: Report) {
        val strays = ArrayList<wardmux.intake.JobSpec>()
        for (reported in report.tasks) {
            val task = TaskId.parse(reported.task) ?: continue
            val placement = machine.placements[task]?.takeIf { it.attempt == reported.attempt }
            if (placement != null) {
                if (reported.status == TaskStatus.ENDED) ended(machine, placement, reported)
                else progressed(machine, placement, reported.status)
            } else if (reported.status == TaskStatus.ENDED) {
                endedUnplaced(task, reported)
            } else {
                cluster.jobs[task.job]?.let { strays.add(it.spec) }
            }
        }
        cluster.setStrays(machine, strays)
    }

    /**
     * Under this token only this leader gives orders, and in its answers one report at a time: what
     * a later report lacks is not there, and no order for it is still under way. Only reports that
     * the worker sends by itself prove that; the answer to a direct order may have overtaken the
     * answer to a report.
     */
    private fun proveAbsent(machine: Machine, report: Report) {
        if (report.token != token.value) return
        val shown = report.tasks.mapTo(HashSet()) { it.task to it.attempt }
        for (placement in machine.placements.values.toList()) {
            val name = placement.task.toString() to placement.attempt
            val leaving = placement.halting || placement.job.over || placement.restored
            if (!leaving || !placement.committed || name in shown) continue
            if (placement.task to placement.attempt in machine.loose) continue
            cluster.release(placement, "not on the machine")
        }
    }

    private fun progressed(machine: Machine, placement: Placement, status: TaskStatus) {
        if (status == TaskStatus.RUNNING && placement.runningSince == null) {
            placement.runningSince = desk.now
            log.debug("{} runs on {}", placement.task, machine.id)
        }
        placement.status = status
        val spec = placement.job.spec
        if (status != TaskStatus.FETCHING) machine.imageReady(spec.image, spec.imageGb, desk.now)
        if (machine.recalledAt != null && !placement.halting && placement.job.spec.savable) {
            planner.stop(placement, "its machine is taken back")
        }
    }

    private fun ended(machine: Machine, placement: Placement, reported: ReportedTask) {
        val job = placement.job
        when (reported.cause) {
            "done" -> {
                machine.failures.clear()
                job.failedOn.clear()
                cluster.complete(placement)
            }
            "error" -> {
                cluster.release(placement, "failed")
                failed(machine, job)
            }
            "stopped" -> cluster.release(placement, "stopped")
            else -> {
                log.info("{} was refused by {}: {}", placement.task, machine.id, reported.cause)
                cluster.release(placement, "refused")
                machine.pausedUntil = desk.now + REFUSED_PAUSE
                if (reported.cause == "unknown") job.notBefore = desk.wall + UNKNOWN_PAUSE
            }
        }
    }

    /** Either the machine or the job is at fault; other jobs and other machines tell which. */
    private fun failed(machine: Machine, job: Job) {
        machine.failures.merge(job.id.value, 1, Int::plus)
        job.failedOn.add(machine.id)
        machine.pausedUntil = desk.now + FAILED_PAUSE
        val own = machine.failures.values.sum()
        log.info("a task of {} failed on {}, {} in a row there", job.id, machine.id, own)
        if (job.atFault) {
            val pause = FAILED_PAUSE * job.failedOn.size.coerceAtMost(12).toDouble()
            job.notBefore = desk.wall + pause
        }
        val blameless = !job.atFault && own >= SICK_FAILURES
        if (machine.failures.size >= 2 || blameless) condemn(machine, "tasks fail on it")
    }

    /** The result is kept on the machine, so a completed task counts wherever it is found. */
    private fun endedUnplaced(task: TaskId, reported: ReportedTask) {
        val job = cluster.jobs[task.job] ?: return
        if (reported.cause != "done" || job.over || job.isDone(task.index)) return
        if (task.index !in 0 until job.spec.tasks) return
        if (job.placements.containsKey(task.index)) return
        job.complete(task.index)
    }

    private fun orders(machine: Machine, report: Report): List<Order> {
        val orders = ArrayList<Order>()
        for (reported in report.tasks) {
            val task = TaskId.parse(reported.task) ?: continue
            val placement = machine.placements[task]?.takeIf { it.attempt == reported.attempt }
            if (reported.status == TaskStatus.ENDED) {
                if (mayForget(machine, task, reported)) {
                    orders.add(Order.forget(reported.task, reported.attempt))
                }
            } else if (placement == null || placement.job.over) {
                orders.add(Order.halt(reported.task, reported.attempt, 0.0))
            } else if (placement.halting && reported.status != TaskStatus.SAVING) {
                val within = placement.haltWithin ?: Micros.ZERO
                orders.add(Order.halt(reported.task, reported.attempt, within.seconds))
            }
        }
        if (!sure()) return orders
        val known = report.tasks.mapTo(HashSet()) { it.task to it.attempt }
        for (placement in machine.placements.values) {
            if (orders.size >= MAX_ORDERS) break
            if (!startable(machine, placement)) continue
            if ((placement.task.toString() to placement.attempt) in known) continue
            orders.add(Order.start(placement))
            placement.startSent = true
        }
        return orders
    }

    private fun startable(machine: Machine, placement: Placement) =
        placement.committed &&
            !placement.restored &&
            placement.shift == machine.shift &&
            !placement.halting &&
            !placement.job.over

    /**
     * Sends what is new to the machines themselves, rather than with the answer to their next
     * report. A lost answer leaves the order's fate open: see [Machine.loose].
     */
    fun sendDirect() {
        for (machine in cluster.machines.values) {
            if (!machine.confirmed || machine.condemned || machine.endpoint.isEmpty()) continue
            if (machine.directBusy || machine.directBroken || machine.empty) continue
            val starts = ArrayList<Placement>()
            val orders = ArrayList<Order>()
            for (placement in machine.placements.values) {
                val leaving = placement.halting || placement.job.over
                if (leaving && placement.status != null && !placement.haltSent) {
                    val within = if (placement.job.over) Micros.ZERO else placement.haltWithin
                    val seconds = (within ?: Micros.ZERO).seconds
                    val task = placement.task.toString()
                    orders.add(Order.halt(task, placement.attempt, seconds))
                    placement.haltSent = true
                } else if (sure() && !placement.startSent && startable(machine, placement)) {
                    starts.add(placement)
                }
            }
            for (placement in starts.take(MAX_DIRECT)) {
                placement.startSent = true
                machine.loose.add(placement.task to placement.attempt)
                orders.add(Order.start(placement))
            }
            if (orders.isNotEmpty()) direct(machine, orders, starts.take(MAX_DIRECT))
        }
    }

    private fun direct(machine: Machine, orders: List<Order>, starts: List<Placement>) {
        machine.directBusy = true
        val shift = machine.shift
        val body = DirectOrders(token.value, shift, orders)
        val bytes = lenientJson.encodeToString(DirectOrders.serializer(), body).encodeToByteArray()
        val target = Target.Worker(machine.endpoint)
        desk.send(target, "POST", "/do", bytes, DIRECT_TIME) { outcome ->
            machine.directBusy = false
            when (outcome) {
                is Outcome.Response -> {
                    if (outcome.status != 200) for (placement in starts) placement.startSent = false
                    settled(machine, shift, starts)
                    if (outcome.status == 200 || outcome.status == 409) takeDirect(machine, outcome)
                }
                is Outcome.Unsent -> {
                    for (placement in starts) placement.startSent = false
                    settled(machine, shift, starts)
                }
                is Outcome.Unknown ->
                    if (machine.shift == shift && starts.isNotEmpty()) {
                        log.info("{} starts went unanswered by {}", starts.size, machine.id)
                        machine.directBroken = true
                    }
            }
        }
    }

    private fun settled(machine: Machine, shift: Long, starts: List<Placement>) {
        if (machine.shift != shift) return
        for (placement in starts) machine.loose.remove(placement.task to placement.attempt)
    }

    private fun takeDirect(machine: Machine, response: Outcome.Response) {
        val report =
            try {
                lenientJson.decodeFromString(Report.serializer(), response.text)
            } catch (e: SerializationException) {
                return
            } catch (e: IllegalArgumentException) {
                return
            }
        seen(Token(report.token))
        if (cluster.machines[machine.id] !== machine) return
        if (MachineId(report.machine) != machine.id || !isNewer(machine, report)) return
        note(machine, report)
        if (loaded()) reconcile(machine, report)
    }

    /** A completed task is recorded before the only other place that knows of it forgets. */
    private fun mayForget(machine: Machine, task: TaskId, reported: ReportedTask): Boolean {
        if (task to reported.attempt in machine.loose) return false
        val job = cluster.jobs[task.job] ?: return true
        return reported.cause != "done" || job.over || job.isRecorded(task.index)
    }

    private fun answer(call: Long, orders: List<Order>) {
        val body = HelloAnswer(token.value, orders)
        desk.answer(call, 200, lenientJson.encodeToString(HelloAnswer.serializer(), body))
    }

    /** Notices machines that fell silent. */
    fun watchSilence() {
        val lostAfter = (workers.reportS * operators.lostReports).secs
        val leaseOver = workers.leaseS.secs * (1 + Leadership.DRIFT) + operators.leaseMarginS.secs
        val up = cluster.machines.values.filter { it.up && !it.condemned }
        val silent = ArrayList<Machine>()
        for (machine in up) {
            val silence = desk.now - (machine.heardAt ?: continue)
            if (machine.confirmed && silence > leaseOver && !machine.empty) {
                // It has taken this leader's token, so nobody else can have renewed its lease.
                log.info("the lease of {} is over", machine.id)
                cluster.clear(machine, "lease over")
            }
            // Past its notice and quiet: taken. Deleting it proves that, sooner than waiting does.
            val taken = desk.now > machine.takenAt + TAKEN_MARGIN && silence > TAKEN_MARGIN
            if (taken) condemn(machine, "taken back")
            if (silence > lostAfter) silent.add(machine)
            // Nothing new goes there, so that what went unanswered can do no harm.
            else if (machine.directBroken && machine.empty) condemn(machine, "orders unanswered")
        }
        // Many at once: more likely the network than the machines. Their leases decide.
        val many = silent.size > maxOf(2, up.size / 3)
        for (machine in silent) {
            val silence = desk.now - (machine.heardAt ?: continue)
            if (!many || silence > leaseOver + leaseOver) condemn(machine, "silent")
        }
        watchUnheard(lostAfter)
    }

    /**
     * A machine with placements that never reported to this leader: an earlier leader may keep its
     * lease alive, so only its deletion proves anything.
     */
    private fun watchUnheard(lostAfter: Micros) {
        val due = electedAt + workers.leaseS.secs + lostAfter
        if (!loaded() || desk.now < due) return
        val unheard = HashSet<MachineId>()
        for (job in cluster.jobs.values) {
            for (placement in job.placements.values) {
                val machine = cluster.machines[placement.machine]
                if (machine == null || (!machine.up && !machine.condemned)) {
                    unheard.add(placement.machine)
                }
            }
        }
        for (id in unheard) {
            val type = types.types?.firstOrNull() ?: return
            val machine = machine(id, type.label, "", false) ?: continue
            condemn(machine, "never reported to this leader")
        }
    }

    private companion object {
        val TAKEN_MARGIN = 1.secs
        val DIRECT_TIME = 4.secs
        const val MAX_DIRECT = 300
        val REFUSED_PAUSE = 1.secs
        val UNKNOWN_PAUSE = 3.secs
        val FAILED_PAUSE = 8.secs
        const val SICK_FAILURES = 3
        const val MAX_ORDERS = 400
    }
}
