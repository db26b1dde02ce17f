package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import wardmux.maintenance.MaintenanceWindows
import wardmux.maintenance.WindowSettings

/** The section `drain` of the operators' settings: listener, budgets and maintenance windows. */
@Serializable
data class DrainSettings(
    /** Where the operators' listener is: HOST:PORT, or :PORT on loopback; empty: nowhere. */
    @SerialName("address") val address: String = "",
    /** The time zone in which windows are meant, as in the IANA database. */
    @SerialName("time_zone") val timeZone: String = "UTC",
    /** The public holidays on which no window opens: a Jollyday calendar such as `hu`; or empty. */
    @SerialName("holidays") val holidays: String = "",
    /** The part of a processor that planning may take. */
    @SerialName("solver_share") val solverShare: Double = 0.02,
    /** How long one plan may be worked on; 0: all plans are greedy. */
    @SerialName("solver_time_s") val solverTimeS: Double = 0.3,
    /** What holds for each team without a budget of its own. */
    @SerialName("budget") val budget: BudgetSettings = BudgetSettings(),
    @SerialName("teams") val teams: List<TeamBudgetSettings> = emptyList(),
    /** When steps may begin; without any, at all times. */
    @SerialName("windows") val windows: List<WindowSettings> = emptyList(),
) {
    /** The listener's address with its host, or null if there is none. */
    val listener: String?
        get() = if (address.startsWith(":")) "$LOOPBACK$address" else address.ifEmpty { null }

    /** The budget of [team]. */
    fun budgetOf(team: String): BudgetSettings =
        teams.firstOrNull { it.team == team }?.over(budget) ?: budget

    /** What is wrong, in one line that names the field, or null. */
    fun problem(): String? =
        listOfNotNull(
                outside("drain.solver_share", solverShare, 0.0, 1.0),
                outside("drain.solver_time_s", solverTimeS, 0.0, LONGEST_SOLVE_S),
                budget.problem("drain.budget"),
            )
            .firstOrNull()
            ?: teams.firstNotNullOfOrNull { it.over(budget).problem("drain.teams.${it.team}") }
            ?: MaintenanceWindows.problem(timeZone, holidays, windows)?.let { "drain.$it" }

    /** A team with a budget that is none of [known], in one line, or null. */
    fun unknownTeam(known: Set<String>): String? =
        teams
            .firstOrNull { it.team !in known }
            ?.let { "drain.teams.team: no such team: ${it.team}" }

    internal companion object {
        const val LOOPBACK = "127.0.0.1"
        const val LONGEST_SOLVE_S = 60.0
        const val LONGEST_PAUSE_S = 86_400.0

        fun outside(field: String, value: Double, low: Double, high: Double): String? =
            if (value.isFinite() && value in low..high) null
            else "$field must be from $low to $high, but is $value"
    }
}

/** How much of a team's work drains may disrupt. */
@Serializable
data class BudgetSettings(
    /** The most workers (running tasks) of the team that are disrupted at once. */
    @SerialName("most_disrupted") val mostDisrupted: Int = 1,
    /** The same as a share of the team's workers, rounded up; the smaller of both holds. */
    @SerialName("most_disrupted_share") val mostDisruptedShare: Double = 1.0,
    /** Replicas of each service that stay up. */
    @SerialName("least_replicas") val leastReplicas: Int = 0,
    /** The least time between two steps that disrupt the team. */
    @SerialName("step_pause_s") val stepPauseS: Double = 30.0,
) {
    /** What is wrong, in one line that names the field below [prefix], or null. */
    fun problem(prefix: String): String? =
        when {
            mostDisrupted < 0 -> "$prefix.most_disrupted must not be negative"
            leastReplicas < 0 -> "$prefix.least_replicas must not be negative"
            else ->
                DrainSettings.outside("$prefix.most_disrupted_share", mostDisruptedShare, 0.0, 1.0)
                    ?: DrainSettings.outside(
                        "$prefix.step_pause_s",
                        stepPauseS,
                        0.0,
                        DrainSettings.LONGEST_PAUSE_S,
                    )
        }
}

/** The budget of one team; what it leaves out is as in the default budget. */
@Serializable
data class TeamBudgetSettings(
    @SerialName("team") val team: String,
    @SerialName("most_disrupted") val mostDisrupted: Int? = null,
    @SerialName("most_disrupted_share") val mostDisruptedShare: Double? = null,
    @SerialName("least_replicas") val leastReplicas: Int? = null,
    @SerialName("step_pause_s") val stepPauseS: Double? = null,
) {
    /** This budget with what it leaves out taken from [default]. */
    fun over(default: BudgetSettings) =
        BudgetSettings(
            mostDisrupted ?: default.mostDisrupted,
            mostDisruptedShare ?: default.mostDisruptedShare,
            leastReplicas ?: default.leastReplicas,
            stepPauseS ?: default.stepPauseS,
        )
}
