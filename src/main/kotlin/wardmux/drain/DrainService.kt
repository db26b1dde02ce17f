package wardmux.drain

import wardmux.core.HttpStatus
import wardmux.serialization.jsonBytes

/** Handles operators' requests on the leader: starts, checks, reports and controls drains. */
class DrainService(
    private val term: DrainTerm,
    private val drains: DrainStore,
    private val budgets: DisruptionBudgets,
    private val selection: DrainSelection,
    private val requestCheck: DrainRequestCheck,
    private val statuses: DrainStatusReader,
    private val dryRun: DrainDryRun,
    private val inventory: MachineInventory,
) {
    /**
     * Handles [request] and calls [respond] once. For a request that changes a drain, [respond] is
     * called after the write of the drain has finished.
     */
    fun handle(request: ForwardedRequest, respond: (OperatorResponse) -> Unit) {
        if (!term.mayDecide || !drains.isRead) return respond(OperatorResponses.UNAVAILABLE)
        budgets.recount()
        try {
            route(request, respond)
        } catch (e: InvalidDrainRequestException) {
            respond(OperatorResponses.malformed(e.problem))
        }
    }

    private fun route(request: ForwardedRequest, respond: (OperatorResponse) -> Unit) {
        val parts = request.path.substringBefore('?').removePrefix(DrainPaths.DRAINS).trim('/')
        val id = parts.substringBefore('/')
        val action = parts.substringAfter('/', "")
        when {
            request.method == "GET" && id.isEmpty() ->
                respond(OperatorResponses.list(statuses.list()))
            request.method == "GET" && action.isEmpty() -> respond(status(id))
            request.method != "POST" -> respond(OperatorResponses.wrongMethod())
            id.isEmpty() -> start(requestCheck.decode(request.body), respond)
            id == DrainPaths.CHECK && action.isEmpty() -> respond(check(request.body))
            else -> control(id, action, respond)
        }
    }

    private fun status(id: String): OperatorResponse {
        if (id in drains.unreadableIds) return unreadable()
        val record = drains[id] ?: return OperatorResponses.unknown(id)
        return OperatorResponses.status(HttpStatus.OK, statuses.of(record))
    }

    private fun unreadable() =
        OperatorResponses.conflict(
            "the stored record of the drain can't be decoded",
            DrainState.FAILED,
        )

    private fun start(request: DrainRequest, respond: (OperatorResponse) -> Unit) {
        // A repeated start returns the existing drain before the selection is validated, because
        // the selected machines may have been deleted since the first request.
        drains[request.id]?.let {
            return respond(OperatorResponses.status(HttpStatus.OK, statuses.of(it)))
        }
        requestCheck.check(request)
        // The drain only selects known machines. Before the cloud's list is read, machines may be
        // unknown, and those would never be drained.
        if (!inventory.isListed) return respond(OperatorResponses.UNAVAILABLE)
        if (request.id in drains.unreadableIds) return respond(unreadable())
        requestCheck.targets(request)
        val record = drains.newRecord(request, selection.newest)
        if (jsonBytes(record.toJson()) > drains.maxBytes / RECORD_PARTS)
            throw InvalidDrainRequestException(
                "select.machines: too many machines for one stored record"
            )
        removeOldestFinished()
        write(record, HttpStatus.CREATED, respond)
    }

    /**
     * Removes the drain that finished first if there are more than [MAX_FINISHED_DRAINS] finished
     * drains.
     */
    private fun removeOldestFinished() {
        val finished = drains.all.filter { it.state.isFinal }.sortedBy { it.changedAt }
        finished.dropLast(MAX_FINISHED_DRAINS).firstOrNull()?.let { drains.remove(it.request.id) }
    }

    private fun check(body: ByteArray): OperatorResponse {
        val request = requestCheck.decode(body)
        requestCheck.check(request)
        return OperatorResponses.check(dryRun.check(request, requestCheck.targets(request)))
    }

    private fun control(id: String, action: String, respond: (OperatorResponse) -> Unit) {
        val record = drains[id] ?: return respond(OperatorResponses.unknown(id))
        if (drains.isBusy(id)) return respond(OperatorResponses.UNAVAILABLE)
        val next =
            when (action) {
                DrainPaths.PAUSE -> pausedByOperator(record)
                DrainPaths.RESUME -> resumedByOperator(record)
                DrainPaths.CANCEL -> record.copy(state = DrainState.CANCELLED, step = null)
                else -> return respond(OperatorResponses.noSuchPath())
            }
        val isRepeat = record.state == next.state && record.reason == next.reason
        when {
            isRepeat -> respond(OperatorResponses.status(HttpStatus.OK, statuses.of(record)))
            record.state.isFinal ->
                respond(OperatorResponses.conflict("drain $id has ended", record.state))
            else -> write(next, HttpStatus.OK, respond)
        }
    }

    private fun pausedByOperator(record: DrainRecord) =
        record.copy(state = DrainState.PAUSED, reason = PauseReason.OPERATOR, note = "")

    /**
     * The record after an operator's resume. A drain that was paused at its deadline continues
     * without a deadline, because it would be paused again at once otherwise.
     */
    private fun resumedByOperator(record: DrainRecord): DrainRecord {
        if (record.state != DrainState.PAUSED && !record.state.isFinal) return record
        val isOverdue = record.reason == PauseReason.DEADLINE
        val request = if (isOverdue) record.request.copy(deadline = null) else record.request
        return record.copy(request = request).resumed()
    }

    private fun write(record: DrainRecord, status: Int, respond: (OperatorResponse) -> Unit) {
        drains.write(record) { next, outcome ->
            respond(
                when (outcome) {
                    DrainWriteOutcome.WRITTEN -> OperatorResponses.status(status, statuses.of(next))
                    DrainWriteOutcome.REFUSED -> OperatorResponses.UNAVAILABLE
                    DrainWriteOutcome.UNKNOWN -> OperatorResponses.OUTCOME_UNKNOWN
                }
            )
        }
    }

    private companion object {
        const val MAX_FINISHED_DRAINS = 20

        /**
         * A request may use one of this many equal parts of the maximum record size. The rest is
         * reserved for the current step.
         */
        const val RECORD_PARTS = 3
    }
}
