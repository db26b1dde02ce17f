package wardmux.fleet

import wardmux.Desk
import wardmux.MachineId
import wardmux.Micros
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
import wardmux.millis
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
) {
    private class Deferred(
        val call: Long,
        val report: Report,
        val machine: Machine,
        val until: Micros,
    )

    private val log = logger<Fleet>()
    private val electedAt = desk.now
    private val deferred = ArrayList<Deferred>()

    /** Machines whose deletion was confirmed; what they still send is late. */
    val gone = HashSet<MachineId>()

    fun machine(id: MachineId, typeLabel: String, zone: String, spot: Boolean): Machine? {
        cluster.machines[id]?.let {
            return it
        }
        val type = types.byLabel(typeLabel) ?: return null
        val machine = Machine(id, type, zone, spot, desk.now)
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
            return desk.answer(call, 503)
        }
        if (!isNewer(machine, report)) return answer(call, emptyList())
        note(machine, report)
        if (!loaded()) return answer(call, emptyList())
        val freed = reconcile(machine, report)
        if (freed && cluster.jobs.values.any { it.waiting > 0 }) {
            deferred.add(Deferred(call, report, machine, desk.now + DEFER))
        } else {
            answer(call, orders(machine, report))
        }
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
        }
        machine.shift = report.shift
        machine.tick = report.tick
        machine.heardAt = desk.now
        if (report.token == token.value) machine.confirmed = true
        if (report.recallS != null && machine.recalledAt == null) {
            machine.recalledAt = desk.now
            log.info("{} is taken back in {} s", machine.id, report.recallS)
        }
    }

    /** Takes in what the report proves; true if room came free. */
    private fun reconcile(machine: Machine, report: Report): Boolean {
        var freed = !machine.confirmed
        val seen = HashSet<TaskId>()
        val strays = ArrayList<wardmux.intake.JobSpec>()
        for (reported in report.tasks) {
            val task = TaskId.parse(reported.task) ?: continue
            val placement = machine.placements[task]?.takeIf { it.attempt == reported.attempt }
            if (placement != null) {
                seen.add(task)
                if (reported.status == TaskStatus.ENDED) {
                    ended(machine, placement, reported)
                    freed = true
                } else {
                    progressed(machine, placement, reported.status)
                }
            } else if (reported.status == TaskStatus.ENDED) {
                endedUnplaced(task, reported)
            } else {
                cluster.jobs[task.job]?.let { strays.add(it.spec) }
            }
        }
        cluster.setStrays(machine, strays)
        for (placement in machine.placements.values.toList()) {
            if (placement.task in seen || !placement.committed) continue
            // Under this token only this leader gives orders, one report at a time: what such a
            // report lacks is not there, and no order for it is still under way.
            if (report.token == token.value && (placement.halting || placement.job.over)) {
                cluster.release(placement, "not on the machine")
                freed = true
            }
        }
        return freed
    }

    private fun progressed(machine: Machine, placement: Placement, status: TaskStatus) {
        if (status == TaskStatus.RUNNING && placement.runningSince == null) {
            placement.runningSince = desk.now
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
                if (mayForget(task, reported)) {
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
            val startable =
                placement.committed &&
                    placement.shift == machine.shift &&
                    !placement.halting &&
                    !placement.job.over
            if (startable && (placement.task.toString() to placement.attempt) !in known) {
                orders.add(Order.start(placement))
            }
        }
        return orders
    }

    /** A completed task is recorded before the only other place that knows of it forgets. */
    private fun mayForget(task: TaskId, reported: ReportedTask): Boolean {
        val job = cluster.jobs[task.job] ?: return true
        return reported.cause != "done" || job.over || job.isRecorded(task.index)
    }

    /** Orders that waited for a write, for at most a fraction of a second, ride now. */
    fun answerDeferred(all: Boolean) {
        if (deferred.isEmpty()) return
        val due = deferred.filter { all || desk.now >= it.until }
        deferred.removeAll(due.toSet())
        for (waiting in due) {
            // A newer report has come: nobody listens to this answer any more.
            val current =
                waiting.report.tick == waiting.machine.tick &&
                    waiting.report.shift == waiting.machine.shift
            if (current && !waiting.machine.condemned) {
                answer(waiting.call, orders(waiting.machine, waiting.report))
            } else {
                desk.answer(waiting.call, 503)
            }
        }
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
            if (silence > lostAfter) silent.add(machine)
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
        val DEFER = 250.millis
        val REFUSED_PAUSE = 1.secs
        val UNKNOWN_PAUSE = 3.secs
        val FAILED_PAUSE = 8.secs
        const val SICK_FAILURES = 3
        const val MAX_ORDERS = 400
    }
}
