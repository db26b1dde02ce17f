package wardmux.cli

import wardmux.drain.BudgetStatus
import wardmux.drain.DrainCheck
import wardmux.drain.DrainError
import wardmux.drain.DrainList
import wardmux.drain.DrainRecord
import wardmux.drain.DrainStatus
import wardmux.drain.DrainStep
import wardmux.drain.Source
import wardmux.maintenance.MaintenanceWindows
import wardmux.model.Micros

/** Formats responses as text for a terminal. */
object DrainText {
    /** Formats all details of one drain. */
    fun status(status: DrainStatus): String {
        val record = status.record
        val lines = ArrayList<String>()
        lines += "drain ${record.request.id}: ${stateOf(record)}"
        lines +=
            "  ${record.stepsDone} steps done, ${record.returned} machines returned, " +
                "${record.moved} tasks moved" +
                status.remaining?.let { ", $it machines left" }.orEmpty()
        record.step?.let { lines += "  ${stepOf(it)}" }
        if (status.waitsFor.isNotEmpty()) lines += "  waits for: ${status.waitsFor}"
        for (budget in status.budgets) lines += "  ${budgetOf(budget)}"
        lines += "  started ${timeOf(record.startedAt)}, changed ${timeOf(record.changedAt)}"
        if (status.source == Source.STORE)
            lines += "  no leader could be reached: this is the stored state, ${status.ageS} s old"
        return lines.joinToString("\n")
    }

    /** Formats a list of drains, one per line. */
    fun list(list: DrainList): String {
        val lines = list.drains.map { "${it.record.request.id}  ${stateOf(it.record)}" }
        val allLines =
            lines + list.unreadable.map { "$it  failed: the stored record can't be read" }
        return if (allLines.isEmpty()) "no drains" else allLines.joinToString("\n")
    }

    /** Formats the plan of a drain that was only checked. */
    fun check(check: DrainCheck): String {
        val head = "${check.machines} machines, ${check.tasksToMove} tasks to move"
        val steps = check.steps.mapIndexed { i, step -> "  step ${i + 1}: ${step.joinToString()}" }
        val budgets = check.budgets.map { "  ${budgetOf(it)}" }
        val stop = "stopped by: ${check.stoppedBy ?: "nothing"}"
        return (listOf(head) + steps + budgets + stop).joinToString("\n")
    }

    /** Returns the message of the [DrainError] in [body], or [body] itself if it holds none. */
    fun error(body: String): String {
        val error =
            DrainError.decode(body)
                ?: return body.ifEmpty { "the request was rejected without a reason" }
        val state = error.state?.let { ": ${it.name.lowercase()}" }.orEmpty()
        return error.error + state
    }

    private fun stateOf(record: DrainRecord): String {
        val reason = record.reason?.let { " (${it.name.lowercase()})" }.orEmpty()
        val note = record.note.ifEmpty { null }?.let { ": $it" }.orEmpty()
        return record.state.name.lowercase() + reason + note
    }

    private fun stepOf(step: DrainStep) =
        "step ${step.number} is ${step.phase.name.lowercase()}: " +
            "${step.machines.joinToString()}; ${step.moved.size} tasks being moved"

    private fun budgetOf(budget: BudgetStatus) =
        "team ${budget.team}: ${budget.disrupted} of ${budget.limit} workers disrupted"

    private fun timeOf(micros: Long) = MaintenanceWindows.instantOf(Micros(micros)).toString()
}
