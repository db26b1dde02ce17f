package wardmux.dispatch

import wardmux.Desk
import wardmux.JobId
import wardmux.Micros
import wardmux.app.ObjectiveFacts
import wardmux.app.OperatorSettings
import wardmux.app.WorkerFacts
import wardmux.cloud.MachineType
import wardmux.fleet.Machine
import wardmux.fleet.Placement
import wardmux.fleet.TaskStatus
import wardmux.intake.JobSpec
import wardmux.intake.Shape
import wardmux.intake.Urgency
import wardmux.logger
import wardmux.secs

/**
 * Decides what goes where. Of the waiting tasks that fit, exact fits come first; then the more
 * urgent (they could stop the less urgent at once, so it is decided here and not by a start and a
 * stop); then the team with the lowest start tag; within a team, the order of submission.
 *
 * Tasks of one job are alike: once one of them finds no machine, none of them is tried again in
 * that pass, so a decision costs what it places plus one look for each class that waits.
 */
class Planner(
    private val desk: Desk,
    private val cluster: Cluster,
    private val operators: OperatorSettings,
    private val workers: WorkerFacts,
    objectives: List<ObjectiveFacts>,
    private val types: () -> List<MachineType>,
) {
    private val log = logger<Planner>()
    private val order = TeamOrder(objectives, cluster.estimates)

    /** Places what it can while [admits] has room for the job's page in the write to come. */
    fun plan(admits: (Job, Int) -> Boolean) {
        val machines = cluster.machines.values.filter { usable(it) }
        val ready = cluster.jobs.values.filter { it.waiting > 0 && desk.wall >= it.notBefore }
        if (ready.isEmpty()) {
            if (cluster.jobs.values.all { it.placements.isEmpty() }) cluster.queue.idle()
            return
        }
        val full = HashSet<JobId>()
        for (exact in listOf(true, false)) {
            for (urgency in Urgency.entries) {
                val jobs = ready.filter { it.spec.urgency == urgency && it.id !in full }
                if (jobs.isNotEmpty()) place(jobs, Pass(machines, exact, full, admits))
            }
        }
        for (job in ready) {
            if (job.waiting == 0) job.blockedSince = null
            else if (job.blockedSince == null) job.blockedSince = desk.now
        }
    }

    /** One look over the machines, for exact fits or for any. */
    private class Pass(
        val machines: List<Machine>,
        val exact: Boolean,
        /** Jobs for whose pages the write to come has no room. */
        val full: MutableSet<JobId>,
        val admits: (Job, Int) -> Boolean,
    )

    private fun place(jobs: List<Job>, pass: Pass) {
        val scarce = cluster.jobs.values.any { isShortOfRoom(it) }
        val byTeam =
            jobs
                .groupBy { it.spec.team }
                .mapValues { (team, own) ->
                    ArrayDeque(order.sort(own, counted(team, scarce), desk.wall))
                }
        val teams = byTeam.keys.toMutableSet()
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

    private fun isShortOfRoom(job: Job): Boolean {
        val since = job.blockedSince ?: return false
        return desk.now - since > SCARCE_AFTER && cluster.headroom(job.spec) > 0
    }

    /**
     * What a team can count on: its cap, or, where room is scarce, what it has or is guaranteed.
     */
    private fun counted(team: String, scarce: Boolean): Double {
        val facts = cluster.teams[team] ?: return 0.0
        if (!scarce) return facts.cpusMax
        return minOf(facts.cpusMax, maxOf(facts.cpus, cluster.usedCpus(team)))
    }

    private fun placeOne(job: Job, pass: Pass): Boolean {
        if (job.spec.shape == Shape.GANG) return placeGang(job, pass)
        if (job.waiting <= 0 || cluster.headroom(job.spec) < 1) return false
        val machine = choose(job, pass) ?: return false
        val task = job.takeWaiting()
        if (task < 0) return false
        if (!pass.admits(job, task)) {
            job.putBack(task)
            pass.full.add(job.id)
            return false
        }
        val placement = cluster.place(job, task, machine)
        log.debug("{} try {} goes to {}", placement.task, placement.attempt, machine.id)
        return true
    }

    /**
     * A gang goes as one unit, once room and cap fit all of it. What is still out of an earlier try
     * is taken down first: its tasks are of no use without the others.
     */
    private fun placeGang(job: Job, pass: Pass): Boolean {
        if (job.waiting <= 0) return false
        if (job.placements.isNotEmpty()) {
            for (placement in job.placements.values) {
                if (placement.committed && !placement.halting) stop(placement, "its gang is broken")
            }
            return false
        }
        if (cluster.headroom(job.spec) < job.waiting) return false
        val placed = ArrayList<Placement>()
        while (job.waiting > 0) {
            val machine = choose(job, pass) ?: break
            val task = job.takeWaiting()
            if (task < 0) break
            if (!pass.admits(job, task)) {
                job.putBack(task)
                pass.full.add(job.id)
                break
            }
            placed.add(cluster.place(job, task, machine))
        }
        if (job.waiting == 0) return false
        for (placement in placed) cluster.undo(placement)
        return false
    }

    private fun usable(machine: Machine): Boolean {
        val heardAt = machine.heardAt ?: return false
        val quiet = (workers.reportS * operators.quietReports).secs
        return machine.confirmed &&
            !machine.condemned &&
            !machine.directBroken &&
            machine.recalledAt == null &&
            desk.now - heardAt < quiet &&
            desk.now >= machine.pausedUntil
    }

    /** True if this is the smallest machine type that a task like this fits. */
    fun exactFor(spec: JobSpec, type: MachineType): Boolean =
        types().filter { it.allowedFor(spec) }.minByOrNull { it.cpus }?.label == type.label

    private fun allowed(spec: JobSpec, machine: Machine): Boolean =
        (spec.spot || !machine.spot) &&
            (spec.types == null || machine.type.label in spec.types) &&
            (spec.zone == null || spec.zone == machine.zone)

    private fun choose(job: Job, pass: Pass): Machine? {
        val spec = job.spec
        val zones = zonesOf(job)
        var best: Machine? = null
        var bestScore = Double.MAX_VALUE
        for (machine in pass.machines) {
            if (!allowed(spec, machine) || !machine.fits(spec)) continue
            if (pass.exact && !exactFor(spec, machine.type)) continue
            if (machine.id in job.failedOn && pass.machines.size > job.failedOn.size) continue
            if (!mayGoTo(machine.zone, spec, zones)) continue
            val score = score(spec, machine)
            if (score < bestScore) {
                best = machine
                bestScore = score
            }
        }
        return best
    }

    /** True if a machine of this kind could take a task of the job, were it empty. */
    fun suits(job: Job, type: MachineType, zone: String, spot: Boolean): Boolean {
        val spec = job.spec
        if (!type.allowedFor(spec) || (spot && !spec.spot)) return false
        if (spec.zone != null && spec.zone != zone) return false
        return mayGoTo(zone, spec, zonesOf(job))
    }

    /** Whether one more task may be in a zone, with the job's others in [zones]. */
    private fun mayGoTo(zone: String, spec: JobSpec, zones: Map<String, Int>): Boolean {
        if (spec.oneZone && zones.isNotEmpty() && zone !in zones) return false
        return !spec.spread || (zones[zone] ?: 0) < spec.zoneLimit
    }

    /** Jobs that wait for room although their team may use more. */
    fun shortOfRoom(): List<Job> = cluster.jobs.values.filter { isShortOfRoom(it) }

    /** Where the tasks of a job that is bound to zones are or may be, with how many. */
    private fun zonesOf(job: Job): Map<String, Int> {
        if (!job.spec.oneZone && !job.spec.spread) return emptyMap()
        val zones = HashMap<String, Int>()
        for (placement in job.placements.values) {
            zones.merge(placement.zone, 1, Int::plus)
        }
        return zones
    }

    /** Seconds until the task could start, then how much room would be left over. */
    private fun score(spec: JobSpec, machine: Machine): Double {
        val fetch = machine.imageWait(spec.image, spec.imageGb, desk.now)
        return fetch.seconds * FETCH_WEIGHT + (machine.freeCpus - spec.cpus) / machine.type.cpus
    }

    /**
     * Stops work to make room: for a job of higher urgency, or to give a team its guarantee at the
     * cost of what another team runs beyond its own. Sized by class: as much as the job's waiting
     * tasks need and no more, counting what is on its way out already.
     */
    fun preempt() {
        val blocked =
            cluster.jobs.values.filter { job ->
                val since = job.blockedSince
                since != null &&
                    job.waiting > 0 &&
                    !job.atFault &&
                    desk.now - since >= operators.preemptAfterS.secs
            }
        if (blocked.isEmpty()) return
        val leaving =
            cluster.machines.values.flatMap { m -> m.placements.values.filter { it.halting } }
        var room = leaving.sumOf { it.job.spec.cpus }
        val cap = HashMap<String, Double>()
        for (placement in leaving) cap.merge(
            placement.job.spec.team,
            placement.job.spec.cpus,
            Double::plus,
        )
        for (job in blocked.sortedWith(compareBy({ it.spec.urgency }, { it.acceptedAt.value }))) {
            val spec = job.spec
            val wanted = minOf(job.waiting, MOST_AT_ONCE) * spec.cpus
            // What its team's cap leaves, and what the team's own less urgent work takes of it.
            val free = cluster.headroom(spec) * spec.cpus + (cap[spec.team] ?: 0.0)
            var own = 0.0
            if (wanted > free) own = makeRoom(job, wanted - free) { it.job.spec.team == spec.team }
            cap[spec.team] = (cap[spec.team] ?: 0.0) + own - minOf(wanted, free + own)
            val rest = minOf(wanted, free + own) - own
            room += own
            if (rest > room) room += makeRoom(job, rest - room) { true }
            room -= minOf(room, minOf(wanted, free + own))
        }
    }

    /** Stops as much as is wanted, the cheapest first; gives the CPUs that come free. */
    private fun makeRoom(job: Job, wanted: Double, among: (Placement) -> Boolean): Double {
        val victims =
            cluster.machines.values
                .filter { usable(it) && allowed(job.spec, it) && it.type.holds(job.spec) }
                .flatMap { it.placements.values }
                .filter { it.committed && !it.halting && it.status != null && among(it) }
                .filter { mayStop(job, it) }
                .sortedBy { loss(it) }
        var freed = 0.0
        var calledBack = false
        for (victim in victims) {
            if (freed >= wanted) break
            if (fetchesAlone(victim)) continue
            // Nearly done: its room comes by itself.
            if (remaining(victim) < SOON) continue
            // Much larger than what is needed: it would destroy more than it pays for.
            if (victim.job.spec.cpus > (wanted - freed) * MOST_WASTE) continue
            stop(victim, "room for ${job.id}")
            if (victim.job.spec.urgency == job.spec.urgency) calledBack = true
            freed += victim.job.spec.cpus
        }
        if (calledBack) job.calledBackAt = desk.now
        return freed
    }

    private fun mayStop(job: Job, victim: Placement): Boolean {
        val other = victim.job.spec
        // One task of a gang takes the others with it.
        if (other.shape == Shape.GANG) return false
        if (other.urgency > job.spec.urgency) return true
        // A guarantee is called back only from work that keeps what it has done, and never from
        // more urgent work: otherwise two teams below theirs stop each other without end.
        if (other.team == job.spec.team || other.urgency < job.spec.urgency) return false
        if (!other.savable || !mayCallBack(job)) return false
        // Only for the team that the room would go to.
        if (cluster.queue.startTag(job.spec.team) > cluster.queue.startTag(other.team)) return false
        val own = cluster.teams[job.spec.team] ?: return false
        val theirs = cluster.teams[other.team] ?: return false
        return cluster.usedCpus(job.spec.team) + job.spec.cpus <= own.cpus &&
            cluster.usedCpus(other.team) - other.cpus >= theirs.cpus
    }

    /** After each call-back a job waits again, so that the room can come to it. */
    private fun mayCallBack(job: Job): Boolean {
        val pause = operators.callBackAfterS.secs
        return waited(job) >= pause && desk.now - job.calledBackAt >= pause
    }

    private fun waited(job: Job): Micros = job.blockedSince?.let { desk.now - it } ?: Micros.ZERO

    /** Stopping the last task that waits for an image throws the fetch away. */
    private fun fetchesAlone(victim: Placement): Boolean {
        if (victim.status != TaskStatus.FETCHING) return false
        val machine = cluster.machines[victim.machine] ?: return false
        return machine.placements.values.none {
            it !== victim && !it.halting && it.job.spec.image == victim.job.spec.image
        }
    }

    private fun remaining(victim: Placement): Micros {
        val since = victim.runningSince ?: return cluster.estimates.runTime(victim.job.spec)
        return cluster.estimates.runTime(victim.job.spec) - (desk.now - since)
    }

    /** CPU-seconds that stopping it throws away. */
    private fun loss(victim: Placement): Double {
        val spec = victim.job.spec
        val since = victim.runningSince ?: return 0.0
        val lost = if (spec.savable) spec.saveS else (desk.now - since).seconds
        return (lost + RESTART_S) * spec.cpus
    }

    fun stop(victim: Placement, why: String) {
        val spec = victim.job.spec
        val save = spec.savable && victim.status == TaskStatus.RUNNING
        victim.haltWithin = if (save) (spec.saveS + SAVE_MARGIN_S).secs else Micros.ZERO
        victim.haltSent = false
        log.info("stopping {} on {}: {}", victim.task, victim.machine, why)
    }

    private companion object {
        const val FETCH_WEIGHT = 0.5
        const val MOST_AT_ONCE = 64
        const val MOST_WASTE = 2.0
        const val RESTART_S = 3.0
        const val SAVE_MARGIN_S = 1.0
        val SOON = 3.secs
        val SCARCE_AFTER = 4.secs
    }
}
