package wardmux.drain

import kotlinx.serialization.SerializationException
import wardmux.config.DrainSettings
import wardmux.config.rangeProblem
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.model.FencingToken
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.scheduling.ClusterState
import wardmux.serialization.jsonBytes

/** What operators ask of the leader: starting, checking, looking at and steering drains. */
class DrainService(
    private val context: CoreContext,
    private val drains: DrainStore,
    private val manager: DrainManager,
    private val cluster: ClusterState,
    private val disruptions: DisruptionBudgets,
    private val executor: StepExecutor,
    private val plans: PlanScheduler,
    private val settings: DrainSettings,
    private val token: FencingToken,
    private val zones: List<String>,
    private val types: () -> List<MachineType>,
    /** This leader may decide: it is sure of its lease and knows what is stored. */
    private val mayDecide: () -> Boolean,
    /** The list of machines was had in this term. */
    private val isListed: () -> Boolean,
) {
    private val selection = DrainSelection(cluster)

    /** Answers a request, as a rule once something is written. */
    fun handle(request: ForwardedRequest, answer: (OperatorResponse) -> Unit) {
        if (!mayDecide() || !drains.isRead) return answer(OperatorResponses.UNAVAILABLE)
        disruptions.count()
        val parts = request.path.substringBefore('?').removePrefix(DrainApi.PATH).trim('/')
        val id = parts.substringBefore('/')
        val verb = parts.substringAfter('/', "")
        when {
            request.method == "GET" && id.isEmpty() -> answer(OperatorResponses.list(list()))
            request.method == "GET" && verb.isEmpty() -> status(id, answer)
            request.method != "POST" -> answer(OperatorResponses.wrongMethod())
            id.isEmpty() -> start(request.body, answer)
            id == DrainApi.CHECK && verb.isEmpty() -> check(request.body, answer)
            else -> control(id, verb, answer)
        }
    }

    private fun list() =
        DrainList(
            drains.all.map { DrainStatus(it, Source.LEADER, waitsFor = waitsFor(it)) },
            drains.unreadableIds.toList(),
        )

    private fun waitsFor(record: DrainRecord) =
        if (record.state.isFinal) "" else manager.waitsFor(record.request.id)

    private fun status(id: String, answer: (OperatorResponse) -> Unit) {
        if (id in drains.unreadableIds)
            return answer(OperatorResponses.conflict("can't be read", DrainState.FAILED))
        val record = drains[id] ?: return answer(OperatorResponses.unknown(id))
        answer(OperatorResponses.status(HttpStatus.OK, statusOf(record)))
    }

    private fun statusOf(record: DrainRecord): DrainStatus {
        val remaining = manager.remaining(record)
        val teams =
            remaining.flatMap { it.placements.values }.mapTo(sortedSetOf()) { it.job.spec.team }
        return DrainStatus(
            record,
            Source.LEADER,
            waitsFor = waitsFor(record),
            remaining = remaining.size,
            budgets = teams.map { budgetOf(it) },
        )
    }

    private fun budgetOf(team: String) =
        BudgetStatus(
            team,
            disruptions.limitOf(team),
            disruptions.disruptedOf(team),
            settings.budgetOf(team).minReplicas,
        )

    /** The request in [body], or null once [answer] has said that there is none. */
    private fun decode(body: ByteArray, answer: (OperatorResponse) -> Unit): DrainRequest? =
        try {
            operatorJson.decodeFromString(DrainRequest.serializer(), body.decodeToString())
        } catch (e: SerializationException) {
            answer(OperatorResponses.malformed(e.message.orEmpty().lineSequence().first()))
            null
        }

    private fun problem(request: DrainRequest): String? =
        DrainRequestCheck.problem(request, context.wallTime)
            ?: selection.problem(request.select, types(), zones)

    private fun start(body: ByteArray, answer: (OperatorResponse) -> Unit) {
        val request = decode(body, answer) ?: return
        // A repeat of a start is the same drain, also where its machines are gone by now.
        val known = drains[request.id]
        if (known != null) return answer(OperatorResponses.status(HttpStatus.OK, statusOf(known)))
        problem(request)?.let {
            return answer(OperatorResponses.malformed(it))
        }
        // Machines that are not listed yet would be left out for good.
        if (!isListed()) return answer(OperatorResponses.UNAVAILABLE)
        if (request.id in drains.unreadableIds)
            return answer(OperatorResponses.conflict("can't be read", DrainState.FAILED))
        if (selection.targets(request, selection.newest).isEmpty())
            return answer(OperatorResponses.malformed("select: no machine is selected"))
        val now = context.wallTime.value
        val record =
            DrainRecord(request, DrainState.PLANNED, token.value, now, now, selection.newest)
        if (jsonBytes(record.toJson()) > drains.maxBytes / RECORD_PARTS)
            return answer(OperatorResponses.malformed("select.machines: too many to be stored"))
        makeRoom()
        write(record, HttpStatus.CREATED, answer)
    }

    /** Drains that are over are kept for a while, and the oldest go first. */
    private fun makeRoom() {
        val over = drains.all.filter { it.state.isFinal }.sortedBy { it.changedAt }
        over.dropLast(MAX_FINISHED_DRAINS).firstOrNull()?.let { drains.remove(it.request.id) }
    }

    private fun check(body: ByteArray, answer: (OperatorResponse) -> Unit) {
        val request = decode(body, answer) ?: return
        problem(request)?.let {
            return answer(OperatorResponses.malformed(it))
        }
        val targets = selection.targets(request, selection.newest)
        if (targets.isEmpty())
            return answer(OperatorResponses.malformed("select: no machine is selected"))
        val plan = GreedyPlanner.plan(plans.problem(request, targets))
        val record = DrainRecord(request, DrainState.PLANNED, token.value, 0, 0, selection.newest)
        val moving = targets.flatMap { executor.tasksToMove(it, request) }
        val teams = moving.mapTo(sortedSetOf()) { it.job.spec.team }
        answer(
            OperatorResponses.check(
                DrainCheck(
                    targets.size,
                    plan.steps.map { step -> step.map { it.machine.value } },
                    moving.size,
                    teams.map { budgetOf(it) },
                    manager.firstObstacle(record),
                )
            )
        )
    }

    private fun control(id: String, verb: String, answer: (OperatorResponse) -> Unit) {
        val record = drains[id] ?: return answer(OperatorResponses.unknown(id))
        if (drains.isBusy(id)) return answer(OperatorResponses.UNAVAILABLE)
        val next =
            when (verb) {
                DrainApi.PAUSE -> paused(record)
                DrainApi.RESUME -> resumed(record)
                DrainApi.CANCEL -> record.copy(state = DrainState.CANCELLED, step = null)
                else -> return answer(OperatorResponses.noSuchPath())
            }
        val isRepeat = record.state == next.state && record.reason == next.reason
        when {
            isRepeat -> answer(OperatorResponses.status(HttpStatus.OK, statusOf(record)))
            record.state.isFinal ->
                answer(OperatorResponses.conflict("drain $id is over", record.state))
            else -> write(next, HttpStatus.OK, answer)
        }
    }

    private fun paused(record: DrainRecord) =
        record.copy(state = DrainState.PAUSED, reason = PauseReason.OPERATOR, note = "")

    /** One that is past its deadline goes on without it. */
    private fun resumed(record: DrainRecord): DrainRecord {
        if (record.state != DrainState.PAUSED && !record.state.isFinal) return record
        val past = record.reason == PauseReason.DEADLINE
        val request = if (past) record.request.copy(deadline = null) else record.request
        return record.copy(request = request).resumed()
    }

    private fun write(record: DrainRecord, status: Int, answer: (OperatorResponse) -> Unit) {
        drains.write(record) { next, outcome ->
            if (outcome == DrainWrite.WRITTEN)
                answer(OperatorResponses.status(status, statusOf(next)))
            else answer(OperatorResponses.UNAVAILABLE)
        }
    }

    private companion object {
        /** Drains that are over and still kept. */
        const val MAX_FINISHED_DRAINS = 20

        /** The rest of the record is for the step under way. */
        const val RECORD_PARTS = 3
    }
}

/** Checks drains as they are asked for. */
object DrainRequestCheck {
    private val idForm = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
    private const val MAX_GRACE_S = 86_400.0
    private const val MAX_STEP_SIZE = 20

    /** What is wrong with the request by itself, in one line that names the field, or null. */
    fun problem(request: DrainRequest, now: Micros): String? =
        idProblem(request.id)
            ?: rangeProblem("grace_s", request.graceS, 0.0, MAX_GRACE_S)
            ?: stepProblem(request.stepSize)
            ?: deadlineProblem(request.deadline, now)
            ?: selectProblem(request.select)

    private fun idProblem(id: String): String? =
        when {
            !idForm.matches(id) -> "id: letters, digits, '.', '_' and '-', at most 64: $id"
            id == DrainApi.CHECK -> "id: $id is a word of the interface"
            else -> null
        }

    private fun stepProblem(size: Int): String? =
        if (size in 1..MAX_STEP_SIZE) null
        else "step_size must be from 1 to $MAX_STEP_SIZE, but is $size"

    private fun deadlineProblem(deadline: String?, now: Micros): String? {
        val moment =
            DrainSelection.parseTime(deadline ?: return null)
                ?: return "deadline: no time with an offset: $deadline"
        return if (moment <= now) "deadline: is past: $deadline" else null
    }

    private fun selectProblem(select: DrainSelector): String? {
        val olderThan = select.olderThan
        return when {
            select == DrainSelector() -> "select: names nothing"
            olderThan != null && DrainSelection.parseTime(olderThan) == null ->
                "select.older_than: no time with an offset: $olderThan"
            else -> null
        }
    }
}
