package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.maintenance.MaintenanceWindows
import wardmux.maintenance.WindowSettings

/**
 * The section `drain` of the operators' settings: the listener for operators, the planning of
 * drains, disruption budgets and maintenance windows.
 */
@Serializable
data class DrainSettings(
    /**
     * The address of the listener for operators: HOST:PORT, or :PORT on the loopback interface. An
     * empty address means that there is no listener.
     */
    @SerialName("address") val address: String = "",
    /** The time zone of the maintenance windows, by its IANA name. */
    @SerialName("time_zone") val timeZone: String = "UTC",
    /**
     * The Jollyday calendar, such as `hu`, of the public holidays on which no window opens; empty
     * for none.
     */
    @SerialName("holidays") val holidays: String = "",
    /** The share of one processor that planning of drains may take. */
    @SerialName("solver_share") val solverShare: Double = 0.02,
    /** The longest time for computing one plan, in seconds; with 0 all plans are greedy. */
    @SerialName("solver_time_s") val solverTimeS: Double = 0.3,
    /** The disruption budget of each team that [teams] does not list. */
    @SerialName("budget") val budget: BudgetSettings = BudgetSettings(),
    /** The disruption budgets of single teams; what they leave out is taken from [budget]. */
    @SerialName("teams") val teams: List<TeamBudgetSettings> = emptyList(),
    /** The windows in which steps of drains may start; without windows they may always start. */
    @SerialName("windows") val windows: List<WindowSettings> = emptyList(),
) {
    /** The address of the listener as HOST:PORT, or null if there is no listener. */
    val listenerAddress: String?
        get() = if (address.startsWith(":")) "$LOOPBACK$address" else address.ifEmpty { null }

    /** The disruption budget of [team]. */
    fun budgetOf(team: String): BudgetSettings =
        teams.firstOrNull { it.team == team }?.withDefaults(budget) ?: budget

    /** The first error, in one line that names the field; null if there is none. */
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

    /**
     * An error in one line for the first team that has a budget but is not one of the [known]
     * teams; null if there is none.
     */
    fun unknownTeam(known: Set<String>): String? =
        teams
            .firstOrNull { it.team !in known }
            ?.let { "drain.teams.team: the platform's configuration has no team '${it.team}'" }

    internal companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_SOLVER_TIME_S = 60.0
        const val MAX_STEP_PAUSE_S = 86_400.0
    }
}

/** A disruption budget: how much of a team's work drains may disrupt. */
@Serializable
data class BudgetSettings(
    /** The most running tasks of the team that may be disrupted at once. */
    @SerialName("most_disrupted") val maxDisrupted: Int = 1,
    /**
     * The same limit as a share of the team's running and disrupted tasks, rounded up. The smaller
     * of the two limits applies.
     */
    @SerialName("most_disrupted_share") val maxDisruptedShare: Double = 1.0,
    /** The fewest replicas of each service of the team that have to stay up. */
    @SerialName("least_replicas") val minReplicas: Int = 0,
    /**
     * The shortest time from the end of a step of any drain to the start of the next step that
     * disrupts the team, in seconds.
     */
    @SerialName("step_pause_s") val stepPauseS: Double = 30.0,
) {
    /** The first error, in one line that names the field below [prefix]; null if there is none. */
    fun problem(prefix: String): String? =
        when {
            maxDisrupted < 0 -> "$prefix.most_disrupted must not be negative, but is $maxDisrupted"
            minReplicas < 0 -> "$prefix.least_replicas must not be negative, but is $minReplicas"
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

/** The disruption budget of one team. Null fields are taken from the default budget. */
@Serializable
data class TeamBudgetSettings(
    @SerialName("team") val team: String,
    @SerialName("most_disrupted") val maxDisrupted: Int? = null,
    @SerialName("most_disrupted_share") val maxDisruptedShare: Double? = null,
    @SerialName("least_replicas") val minReplicas: Int? = null,
    @SerialName("step_pause_s") val stepPauseS: Double? = null,
) {
    /** This budget, with its null fields taken from [default]. */
    fun withDefaults(default: BudgetSettings) =
        BudgetSettings(
            maxDisrupted ?: default.maxDisrupted,
            maxDisruptedShare ?: default.maxDisruptedShare,
            minReplicas ?: default.minReplicas,
            stepPauseS ?: default.stepPauseS,
        )
}
