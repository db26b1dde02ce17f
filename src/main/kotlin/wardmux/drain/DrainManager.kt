package wardmux.drain

import java.time.Duration
import java.time.ZoneId
import wardmux.config.DrainSettings
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.maintenance.MaintenanceWindows
import wardmux.model.Machine
import wardmux.model.Maintenance
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.scheduling.ClusterState

/**
 * Carries out the drains while this controller leads. What it decides is written first and acted on
 * only once that is stored; what it acts on follows from what is stored, so that the next leader
 * goes on in the middle of any step. Several drains go on side by side and share the budgets.
 */
class DrainManager(
    private val context: CoreContext,
    private val drains: DrainStore,
    private val cluster: ClusterState,
    private val disruptions: DisruptionBudgets,
    private val executor: StepExecutor,
    private val plans: PlanScheduler,
    private val settings: DrainSettings,
    /** All machines are known, so that one which is not is gone. */
    private val knowsAllMachines: () -> Boolean,
) {
    private val log = logger<DrainManager>()
    private val selection = DrainSelection(cluster)

    /** Made once there is a drain: a calendar takes long to read, and a take-over has no time. */
    private val windows by lazy {
        MaintenanceWindows(ZoneId.of(settings.timeZone), settings.holidays, settings.windows)
    }
    private val marked = HashSet<Machine>()
    private val waitsFor = HashMap<String, String>()

    /** Machines for which there was no room lately, and until when others go first. */
    private val withoutRoomUntil = HashMap<String, Micros>()
    private var nextAt = Micros.LONG_AGO

    /** What the drain waits for, as operators read it. */
    fun waitsFor(id: String): String = waitsFor[id].orEmpty()

    /** Machines that the drain still has to take out. */
    fun remaining(record: DrainRecord): List<Machine> =
        if (record.state.isFinal) emptyList() else selection.targets(record.request, record.newest)

    /** Does what is due; only a leader that is sure of its lease and knows all calls it. */
    fun tick() {
        drains.tick()
        if (!drains.isRead || context.now < nextAt) return
        nextAt = context.now + PERIOD
        val active = drains.all.filter { !it.state.isFinal }
        cluster.hasDrains = active.isNotEmpty()
        if (active.isEmpty()) return clearMarks()
        disruptions.count()
        mark(active)
        for (record in active) if (!drains.isBusy(record.request.id)) advance(record)
    }

    /** Nothing is left of an earlier reading; the marks are made anew from what is read next. */
    private fun clearMarks() {
        for (machine in marked) machine.maintenance = Maintenance.NONE
        if (marked.isNotEmpty()) cluster.changed()
        marked.clear()
    }

    /** Derives what the machines may take from the records alone. */
    private fun mark(active: List<DrainRecord>) {
        val wanted = HashMap<Machine, Maintenance>()
        for (record in active) {
            val step = record.step ?: continue
            val machines = executor.present(step)
            val mark = markFor(step, machines)
            for (machine in machines) wanted[machine] = mark
        }
        for (machine in marked - wanted.keys) set(machine, Maintenance.NONE)
        for ((machine, mark) in wanted) set(machine, mark)
        marked.clear()
        marked.addAll(wanted.keys)
    }

    private fun markFor(step: DrainStep, machines: List<Machine>): Maintenance =
        when {
            step.phase == StepPhase.PREPARING -> Maintenance.LEAVING
            executor.urgentWaiting(machines) != null -> Maintenance.YIELDING
            else -> Maintenance.CORDONED
        }

    private fun set(machine: Machine, maintenance: Maintenance) {
        if (machine.maintenance == maintenance) return
        machine.maintenance = maintenance
        cluster.changed()
    }

    private fun advance(record: DrainRecord) {
        val decision = decide(record)
        waitsFor[record.request.id] = (decision as? Decision.Wait)?.text.orEmpty()
        when (decision) {
            is Decision.Wait -> if (record.isPausedAutomatically) goOn(record)
            is Decision.Write -> {
                noteWithoutRoom(record, decision.record)
                write(goingOn(decision.record))
            }
            is Decision.Pause -> pause(record, decision)
            null -> Unit
        }
    }

    /** Machines that left a step before it emptied them. */
    private fun noteWithoutRoom(before: DrainRecord, after: DrainRecord) {
        val step = before.step?.takeIf { it.phase == StepPhase.PREPARING } ?: return
        for (machine in step.machines - after.step?.machines.orEmpty().toSet()) {
            withoutRoomUntil[machine] = context.now + WITHOUT_ROOM_PAUSE
        }
    }

    /** Those that were not without room lately, if there are any. */
    private fun withRoom(machines: List<Machine>): List<Machine> {
        withoutRoomUntil.values.removeIf { it <= context.now }
        return machines.filter { it.id.value !in withoutRoomUntil }.ifEmpty { machines }
    }

    private fun goingOn(record: DrainRecord): DrainRecord {
        val next = record.copy(reason = null, note = "")
        return if (next.state.isFinal) next else next.copy(state = DrainState.RUNNING)
    }

    /** Null for a drain that waits for its operators. */
    private fun decide(record: DrainRecord): Decision? {
        if (record.state == DrainState.PAUSED && !record.isPausedAutomatically) return null
        if (isOverdue(record))
            return Decision.Pause(PauseReason.DEADLINE, "the deadline ${record.request.deadline}")
        val step = record.step ?: return begin(record)
        return executor.decide(record, step)
    }

    private fun isOverdue(record: DrainRecord): Boolean {
        val request = record.request
        val deadline = request.deadline?.let { DrainSelection.parseTime(it) } ?: return false
        return request.atDeadline == DeadlineAction.PAUSE && context.wallTime > deadline
    }

    /** The next step, if anything is left and nothing speaks against it. */
    private fun begin(record: DrainRecord): Decision {
        val targets = remaining(record)
        if (targets.isEmpty()) return finish(record)
        reasonToWait(record, targets)?.let {
            return Decision.Wait(it)
        }
        val inSteps = drains.steps.flatMapTo(HashSet()) { it.machines }
        val free = targets.filter { it.id.value !in inSteps }
        if (free.isEmpty()) return Decision.Wait("another drain takes the same machines out")
        val machines =
            plans.nextStep(record.request, withRoom(free))
                ?: return Decision.Wait("a plan is worked out")
        refusalOf(record, machines)?.let {
            return it
        }
        val step =
            DrainStep(
                record.stepsDone + 1,
                StepPhase.PREPARING,
                machines.map { it.id.value },
                beganAt = context.wallTime.value,
            )
        return Decision.Write(record.copy(step = step))
    }

    /** The first thing that would keep a drain from beginning a step now, or null. */
    fun firstObstacle(record: DrainRecord): String? {
        val targets = remaining(record)
        reasonToWait(record, targets)?.let {
            return it
        }
        val moving = targets.flatMap { executor.tasksToMove(it, record.request) }
        return pauseBetweenSteps(moving.mapTo(sortedSetOf()) { it.job.spec.team })
            ?: moving.firstNotNullOfOrNull { disruptions.refusal(it.job, 1)?.text }
            ?: executor.roomMissing(moving, targets.toSet())
    }

    private fun finish(record: DrainRecord): Decision {
        if (!knowsAllMachines()) return Decision.Wait("the list of machines")
        return Decision.Write(record.copy(state = DrainState.DONE))
    }

    private fun reasonToWait(record: DrainRecord, targets: List<Machine>): String? {
        executor.reasonToYield(targets)?.let {
            return it
        }
        val at = MaintenanceWindows.instantOf(context.wallTime)
        if (windows.isOpenFor(at, expectedLength(record))) return null
        return "a maintenance window; the next is from ${windows.next(at)?.from}"
    }

    /** As long as the step before, or its grace period and the time to boot and to settle. */
    private fun expectedLength(record: DrainRecord): Duration {
        val usual = record.request.graceS.seconds + USUAL_STEP
        return Duration.ofSeconds(maxOf(usual, Micros(record.lastStep)).inSeconds.toLong())
    }

    /** Why a step with these machines may not begin now, by what it would move. */
    private fun refusalOf(record: DrainRecord, machines: List<Machine>): Decision? {
        val moving = machines.flatMap { executor.tasksToMove(it, record.request) }
        val teams = moving.mapTo(sortedSetOf()) { it.job.spec.team }
        pauseBetweenSteps(teams)?.let {
            return Decision.Wait(it)
        }
        for (placement in moving.distinctBy { it.job.id }) {
            val refusal = disruptions.refusal(placement.job, 1) as? BudgetRefusal.NotNow ?: continue
            return if (isInAnyStep(placement.job.spec.team)) Decision.Wait(refusal.text)
            else Decision.Pause(PauseReason.LOSS, refusal.text)
        }
        return null
    }

    private fun pauseBetweenSteps(teams: Set<String>): String? {
        val last = drains.all.maxOfOrNull { it.stepEndedAt } ?: 0
        for (team in teams) {
            val pause = settings.budgetOf(team).stepPauseS.seconds
            if (pause == Micros.ZERO) continue
            if (isInAnyStep(team)) return "another step that disrupts $team is under way"
            val since = context.wallTime - Micros(last)
            if (last > 0 && since < pause)
                return "the pause between two steps of $team, ${(pause - since).inSeconds.toInt()} s"
        }
        return null
    }

    /** A step of some drain that is under way holds workers of [team]. */
    private fun isInAnyStep(team: String): Boolean =
        drains.steps.any { step ->
            executor.unsettledTasks(step).any { executor.teamOf(it) == team } ||
                executor.present(step).any { machine ->
                    machine.placements.values.any { it.job.spec.team == team }
                }
        }

    private fun pause(record: DrainRecord, decision: Decision.Pause) {
        waitsFor[record.request.id] = decision.text
        if (record.state == DrainState.PAUSED && record.reason == decision.reason) return
        if (isTooSoon(record) && decision.reason.resumesAutomatically) return
        log.info("drain {} pauses: {}", record.request.id, decision.text)
        write(
            record.copy(
                state = DrainState.PAUSED,
                reason = decision.reason,
                note = decision.text.take(MAX_NOTE_CHARS),
            )
        )
    }

    private fun goOn(record: DrainRecord) {
        if (isTooSoon(record)) return
        write(record.resumed())
    }

    /** A pause that comes and goes with single losses is not written each time. */
    private fun isTooSoon(record: DrainRecord) =
        context.wallTime.value - record.changedAt < MIN_BETWEEN_PAUSE_CHANGES.value

    private val DrainRecord.isPausedAutomatically: Boolean
        get() = state == DrainState.PAUSED && reason?.resumesAutomatically == true

    private fun write(record: DrainRecord) {
        drains.write(record) { next, outcome -> if (outcome == DrainWrite.WRITTEN) written(next) }
    }

    private fun written(record: DrainRecord) {
        val step = record.step
        log.info(
            "drain {} is {}: step {} {}, {} machines returned, {} tasks moved",
            record.request.id,
            record.state,
            step?.number ?: record.stepsDone,
            step?.phase ?: "over",
            record.returned,
            record.moved,
        )
        // At once, so that a cancelled drain gives its machines back and a new step takes them.
        nextAt = Micros.LONG_AGO
    }

    private companion object {
        val PERIOD = 500.milliseconds
        val MIN_BETWEEN_PAUSE_CHANGES = 3.seconds

        /** Boot of a replacement and start of what was moved, beside the grace period. */
        val USUAL_STEP = 120.seconds
        const val MAX_NOTE_CHARS = 200
        val WITHOUT_ROOM_PAUSE = 180.seconds
    }
}
