package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.maintenance.MaintenanceWindows
import wardmux.maintenance.WindowSettings

/** The section `drain` of the operators' settings: listener, budgets and maintenance windows. */
@Serializable
data class DrainSettings(
    /** The operators' listener: HOST:PORT, or :PORT on loopback; none if empty. */
    @SerialName("address") val address: String = "",
    /** The time zone of the windows, by its IANA name. */
    @SerialName("time_zone") val timeZone: String = "UTC",
    /** Public holidays without windows: a Jollyday calendar such as `hu`, or empty. */
    @SerialName("holidays") val holidays: String = "",
    /** The share of a processor that planning may take. */
    @SerialName("solver_share") val solverShare: Double = 0.02,
    /** The most time for computing one plan; with 0 all plans are greedy. */
    @SerialName("solver_time_s") val solverTimeS: Double = 0.3,
    /** The disruption budget of each team without one of its own. */
    @SerialName("budget") val budget: BudgetSettings = BudgetSettings(),
    @SerialName("teams") val teams: List<TeamBudgetSettings> = emptyList(),
    /** When steps may start; at all times if there are none. */
    @SerialName("windows") val windows: List<WindowSettings> = emptyList(),
) {
    /** The listener's address with its host, or null if there is none. */
    val listenerAddress: String?
        get() = if (address.startsWith(":")) "$LOOPBACK$address" else address.ifEmpty { null }

    /** The disruption budget of [team]. */
    fun budgetOf(team: String): BudgetSettings =
        teams.firstOrNull { it.team == team }?.withDefaults(budget) ?: budget

    /** The first error, in one line that names the field, or null. */
    fun problem(): String? =
        listOfNotNull(
                rangeProblem("drain.solver_share", solverShare, 0.0, 1.0),
                rangeProblem("drain.solver_time_s", solverTimeS, 0.0, MAX_SOLVER_TIME_S),
                budget.problem("drain.budget"),
            )
            .firstOrNull()
            ?: teams.firstNotNullOfOrNull {
                it.withDefaults(budget).problem("drain.teams.${it.team}")
            }
            ?: MaintenanceWindows.problem(timeZone, holidays, windows)?.let { "drain.$it" }

    /** The first team with a budget that is not one of [known], in one line, or null. */
    fun unknownTeam(known: Set<String>): String? =
        teams
            .firstOrNull { it.team !in known }
            ?.let { "drain.teams.team: no such team: ${it.team}" }

    internal companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_SOLVER_TIME_S = 60.0
        const val MAX_STEP_PAUSE_S = 86_400.0
    }
}

/** How much of a team's work drains may disrupt: its disruption budget. */
@Serializable
data class BudgetSettings(
    /** The most workers (running tasks) of the team that are disrupted at once. */
    @SerialName("most_disrupted") val maxDisrupted: Int = 1,
    /** The same as a share of the team's workers, rounded up; the smaller of both holds. */
    @SerialName("most_disrupted_share") val maxDisruptedShare: Double = 1.0,
    /** The fewest replicas of each service that stay up. */
    @SerialName("least_replicas") val minReplicas: Int = 0,
    /** The shortest time between two steps that disrupt the team. */
    @SerialName("step_pause_s") val stepPauseS: Double = 30.0,
) {
    /** The first error, in one line that names the field below [prefix], or null. */
    fun problem(prefix: String): String? =
        when {
            maxDisrupted < 0 -> "$prefix.most_disrupted must not be negative"
            minReplicas < 0 -> "$prefix.least_replicas must not be negative"
            else ->
                rangeProblem("$prefix.most_disrupted_share", maxDisruptedShare, 0.0, 1.0)
                    ?: rangeProblem(
                        "$prefix.step_pause_s",
                        stepPauseS,
                        0.0,
                        DrainSettings.MAX_STEP_PAUSE_S,
                    )
        }
}

/** The disruption budget of one team; what it leaves out is as in the default budget. */
@Serializable
data class TeamBudgetSettings(
    @SerialName("team") val team: String,
    @SerialName("most_disrupted") val maxDisrupted: Int? = null,
    @SerialName("most_disrupted_share") val maxDisruptedShare: Double? = null,
    @SerialName("least_replicas") val minReplicas: Int? = null,
    @SerialName("step_pause_s") val stepPauseS: Double? = null,
) {
    /** This budget with what it leaves out taken from [default]. */
    fun withDefaults(default: BudgetSettings) =
        BudgetSettings(
            maxDisrupted ?: default.maxDisrupted,
            maxDisruptedShare ?: default.maxDisruptedShare,
            minReplicas ?: default.minReplicas,
            stepPauseS ?: default.stepPauseS,
        )
}
