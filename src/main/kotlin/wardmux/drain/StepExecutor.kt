package wardmux.drain

import wardmux.core.CoreContext
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.TaskId
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.TaskEvictor

/** What comes next for a drain. */
sealed interface Decision {
    /** Nothing is to be done but to wait for what the text names. */
    data class Wait(val text: String) : Decision

    /** The record is to be written, and only then acted on. */
    data class Write(val record: DrainRecord) : Decision

    /** The drain can't go on for now. */
    data class Pause(val reason: PauseReason, val text: String) : Decision
}

/** Asks for a machine that takes a task which has to be moved. */
fun interface Replacements {
    /** One that suits the job, unless one is on its way already. */
    fun request(job: Job)
}

/**
 * Takes the machines of one step out: finds room, takes their tasks off them within the budgets,
 * returns them and waits until what was moved runs again. It keeps nothing by itself: whatever it
 * does follows from the record and from what the cluster shows, so that any leader can go on.
 */
class StepExecutor(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val disruptions: DisruptionBudgets,
    private val seats: RelocationFeasibility,
    private val stopper: TaskEvictor,
    private val replacements: Replacements,
    private val decommission: (Machine, String) -> Unit,
    /** A machine that is not known is gone; false as long as it may only not be listed yet. */
    private val knowsAllMachines: () -> Boolean,
    /** The steps of all drains that are under way. */
    private val steps: () -> List<DrainStep>,
    /** Tasks that one record can name. */
    private val mostMoving: Int,
) {
    private val chooser = EvictionSelector(context, disruptions)

    /** What to do next for the step of [record]. */
    fun decide(record: DrainRecord, step: DrainStep): Decision =
        when (step.phase) {
            StepPhase.PREPARING -> prepare(record, step)
            StepPhase.EMPTYING -> empty(record, step)
            StepPhase.SETTLING -> settle(record, step)
        }

    /** Tasks on the machine that will not end by themselves within the grace period. */
    fun tasksToMove(machine: Machine, request: DrainRequest): List<Placement> =
        machine.placements.values.filter {
            !it.job.hasEnded && (it.isReplica || remaining(it) > request.graceS.seconds)
        }

    /** An urgent job that waits for room on one of the machines: it goes first. */
    fun urgentWaiting(machines: List<Machine>): Job? =
        cluster.jobs.values.firstOrNull { job ->
            val since = job.blockedSince
            job.spec.urgency <= PriorityClass.HIGH &&
                job.waiting > 0 &&
                !job.isFailing &&
                since != null &&
                context.now - since > URGENT_WAIT &&
                machines.any { couldTake(it, job) }
        }

    /** That work goes first on these machines, as operators read it, or null. */
    fun reasonToYield(machines: List<Machine>): String? =
        urgentWaiting(machines)?.let {
            "urgent ${it.id} of ${it.spec.team} waits for room and goes first"
        }

    private fun couldTake(machine: Machine, job: Job): Boolean {
        val spec = job.spec
        return !machine.decommissioned &&
            machine.type.allowedFor(spec) &&
            (spec.spot || !machine.spot) &&
            (spec.zone == null || spec.zone == machine.zone)
    }

    private fun prepare(record: DrainRecord, step: DrainStep): Decision {
        val machines = present(step)
        reasonToYield(machines)?.let {
            return Decision.Wait(it)
        }
        val moving = machines.flatMap { tasksToMove(it, record.request) }
        val unseated = seats.unseated(moving)
        if (unseated.isEmpty()) return emptying(record, step)
        val since = context.wallTime.value - step.beganAt
        if (since >= patience(machines)) return smaller(record, step, machines)
        return waitForRoom(unseated)
    }

    /** A replacement is up by then, if one is to be had and comes up as a rule. */
    private fun patience(machines: List<Machine>): Long =
        ((machines.maxOfOrNull { it.type.bootS } ?: 0.0).seconds * ROOM_TIMEOUT_BOOTS).value +
            MIN_ROOM_TIMEOUT.value

    /**
     * The room is not to be had: the step is made as small as there is room for, and where not even
     * one machine has it, another machine is chosen.
     */
    private fun smaller(record: DrainRecord, step: DrainStep, machines: List<Machine>): Decision {
        val kept = ArrayList<Machine>()
        for (machine in machines.sortedBy { it.load }) {
            if (hasRoom(kept + machine, machines, record.request)) kept.add(machine)
        }
        if (kept.isEmpty()) return Decision.Write(record.copy(step = null))
        val smaller = step.copy(machines = kept.map { it.id.value })
        return emptying(record, smaller)
    }

    private fun hasRoom(
        leaving: List<Machine>,
        all: List<Machine>,
        request: DrainRequest,
    ): Boolean {
        val moving = leaving.flatMap { tasksToMove(it, request) }
        return seats.unseated(moving, leaving.toSet(), staying = all.toSet()).isEmpty()
    }

    /** What there is no room for now, so that machines would be rented, or null. */
    fun roomMissing(moving: List<Placement>, leaving: Set<Machine>): String? {
        val unseated = seats.unseated(moving, leaving)
        return if (unseated.isEmpty()) null
        else "no room yet for ${unseated.size} of ${moving.size} tasks; it is rented first"
    }

    private fun emptying(record: DrainRecord, step: DrainStep): Decision {
        val now = context.wallTime.value
        val next = step.copy(phase = StepPhase.EMPTYING, emptyingSince = now)
        return Decision.Write(record.copy(step = next))
    }

    private fun waitForRoom(unseated: List<Placement>): Decision {
        replacements.request(unseated.first().job)
        return Decision.Wait(
            "room for ${unseated.size} tasks, first ${unseated.first().name}, is not up yet"
        )
    }

    private fun empty(record: DrainRecord, step: DrainStep): Decision {
        val machines = present(step)
        for (machine in machines) if (isEmpty(machine)) decommission(machine, DRAINED)
        if (machines.isEmpty()) return settling(record, step)
        val open = machines.filter { !it.decommissioned }
        if (open.isEmpty()) return Decision.Wait("${machines.size} machines are being returned")
        reasonToYield(open)?.let {
            return Decision.Wait(it)
        }
        stopIntended(step)
        return stopMore(record, step, open)
    }

    private fun settling(record: DrainRecord, step: DrainStep): Decision {
        if (!knowsAllMachines()) return Decision.Wait("the list of machines")
        return Decision.Write(record.copy(step = step.copy(phase = StepPhase.SETTLING)))
    }

    /** Decides which tasks are stopped next, and has that recorded first. */
    private fun stopMore(record: DrainRecord, step: DrainStep, open: List<Machine>): Decision {
        val graceOver =
            context.wallTime.value - step.emptyingSince >= record.request.graceS.seconds.value
        val candidates =
            open
                .filter { it.confirmed }
                .flatMap { it.placements.values }
                .filter { isStoppable(it) && (it.isReplica || graceOver) && it.name !in step.moved }
        val choice = chooser.choose(candidates)
        if (choice.chosen.isEmpty()) return whyNone(choice, open)
        val onTheirWay = open.flatMap { it.placements.values }.filter { it.name in step.moved }
        val unseated = seats.unseated(onTheirWay + choice.chosen).toSet()
        val moving = unsettledTasks(step)
        val seated = choice.chosen.filter { it !in unseated }
        if (seated.isEmpty()) return waitForRoom(unseated.toList())
        val moved = seated.take((mostMoving - moving.size).coerceAtLeast(0))
        if (moved.isEmpty()) return Decision.Wait("${moving.size} tasks are on their way")
        val names = (moving + moved.map { it.name }).distinct()
        val next = step.copy(moved = names)
        return Decision.Write(record.copy(step = next, moved = record.moved + moved.size))
    }

    private fun whyNone(choice: EvictionSelection, open: List<Machine>): Decision {
        val refusal = choice.refusal
        val left = open.sumOf { it.placements.size }
        if (refusal == null) return Decision.Wait("$left tasks end, save or move")
        val isService = open.any { machine -> machine.placements.values.any { it.isReplica } }
        if (refusal is BudgetRefusal.Never)
            return if (isService) Decision.Pause(PauseReason.BUDGET, refusal.text)
            else Decision.Wait("$left tasks end by themselves: ${refusal.text}")
        val drained = steps().flatMap { unsettledTasks(it) }.count { teamOf(it) == choice.team }
        return if (disruptions.disruptedOf(choice.team) > drained)
            Decision.Pause(PauseReason.LOSS, refusal.text)
        else Decision.Wait(refusal.text)
    }

    /** Stops what the record names, as far as the budgets still have room at this moment. */
    fun stopIntended(step: DrainStep) {
        for (machine in present(step)) {
            if (machine.decommissioned || !machine.confirmed) continue
            for (placement in machine.placements.values.toList()) {
                if (placement.name !in step.moved || !isStoppable(placement)) continue
                stop(placement)
            }
        }
    }

    private fun stop(placement: Placement) {
        val units = placement.evictedTogether
        // What counts as disrupted already takes nothing more of the budget.
        val more = units.count { !disruptions.isDisrupted(it) }
        if (more > 0 && disruptions.refusal(placement.job, more) != null) return
        // Counted first: once the halt is in force they no longer count as up.
        for (unit in units) disruptions.stopped(unit)
        stopper.stop(placement, DRAINED)
    }

    private fun settle(record: DrainRecord, step: DrainStep): Decision {
        val moving = unsettledTasks(step)
        if (moving.isNotEmpty())
            return Decision.Wait(
                "${moving.size} moved tasks do not run again yet: ${moving.first()}"
            )
        val now = context.wallTime.value
        return Decision.Write(
            record.copy(
                step = null,
                stepsDone = record.stepsDone + 1,
                returned = record.returned + step.machines.size,
                stepEndedAt = now,
                lastStep = now - step.beganAt,
            )
        )
    }

    /** Machines of the step that are not gone. */
    fun present(step: DrainStep): List<Machine> =
        step.machines.mapNotNull { cluster.machines[MachineId(it)] }

    /** Tasks that were moved and neither run elsewhere nor are over. */
    fun unsettledTasks(step: DrainStep): List<String> =
        step.moved.filter { name ->
            val task = TaskId.parse(name) ?: return@filter false
            val job = cluster.jobs[task.job] ?: return@filter false
            if (job.hasEnded || job.isTaskDone(task.index)) return@filter false
            val placement = job.placements.get(task.index) ?: return@filter true
            placement.machine.value in step.machines || !disruptions.isUp(placement)
        }

    /** The team of the task that is named so, if its job is known. */
    fun teamOf(name: String): String? = TaskId.parse(name)?.let { cluster.jobs[it.job]?.spec?.team }

    /**
     * Nothing is recorded there, nothing was reported, and no start is on its way. How its last
     * tasks ended is recorded within a few seconds; until then it keeps that.
     */
    private fun isEmpty(machine: Machine) =
        machine.isEmpty &&
            machine.unconfirmedStarts.isEmpty() &&
            !machine.isCommandInFlight &&
            context.now - machine.idleSince > RECORDING_TIME

    private fun isStoppable(placement: Placement) =
        placement.committed &&
            placement.status != null &&
            !placement.isStopping &&
            !placement.job.hasEnded

    private fun remaining(placement: Placement): Micros {
        val whole = cluster.estimates.runTime(placement.job.spec)
        val since = placement.runningSince ?: return whole
        return whole - (context.now - since)
    }

    private companion object {
        const val DRAINED = "its machine is drained"
        val URGENT_WAIT = 1.seconds
        const val ROOM_TIMEOUT_BOOTS = 3.0
        val MIN_ROOM_TIMEOUT = 30.seconds
        val RECORDING_TIME = 5.seconds
    }
}
