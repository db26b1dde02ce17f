package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operators' own settings; each has a default, a unit in its name and a checked range. */
@Serializable
data class OperatorSettings(
    /** Time after which half of a team's past usage is forgotten. */
    @SerialName("half_life_s") val halfLifeS: Double = 600.0,
    /** Usage that halves a team's weight, in CPU-seconds for each CPU of its guarantee. */
    @SerialName("norm_s") val normS: Double = 600.0,
    /** How long the leader's lease lasts. */
    @SerialName("leader_lease_s") val leaderLeaseS: Double = 4.0,
    /** Shortest time between two writes of the leader. */
    @SerialName("write_period_s") val writePeriodS: Double = 0.25,
    /** What a worker's lease is stretched by before it counts as over. */
    @SerialName("lease_margin_s") val leaseMarginS: Double = 1.0,
    /** Reports missed before a machine gets no new tasks. */
    @SerialName("quiet_reports") val quietReports: Double = 2.5,
    /** Reports missed before a machine is given up and deleted; its tasks run elsewhere. */
    @SerialName("lost_reports") val lostReports: Double = 4.0,
    /** Time an idle machine is kept, in boot times of its type. */
    @SerialName("idle_keep_boots") val idleKeepBoots: Double = 0.9,
    /** Room kept free for urgent work, as a share of what is in use. */
    @SerialName("spare_share") val spareShare: Double = 0.15,
    /** Wait after which urgent work may stop work of a lower urgency. */
    @SerialName("preempt_after_s") val preemptAfterS: Double = 2.5,
    /** Wait after which a team below its guarantee may stop what another runs beyond its own. */
    @SerialName("call_back_after_s") val callBackAfterS: Double = 40.0,
    /** How long a kind of machine that was refused is left alone. */
    @SerialName("refused_pause_s") val refusedPauseS: Double = 15.0,
    /** Wait after which a job that has not begun goes before all others of its team. */
    @SerialName("longest_wait_s") val longestWaitS: Double = 120.0,
    /** Reports a second for each whole core above which followers take reports too. */
    @SerialName("reports_per_core") val reportsPerCore: Double = 500.0,
    /**
     * Drains of machines for maintenance; without it there are none, and no operators' listener.
     */
    @SerialName("drain") val drain: DrainSettings? = null,
) {
    /** What is wrong, in one line that names the field, or null. */
    fun problem(): String? = rangeProblem() ?: addressProblem()

    private fun addressProblem(): String? {
        val address = drain?.listener ?: return null
        return if (SettingsFiles.address(address) != null) null
        else "drain.address must be HOST:PORT or :PORT, but is '${drain.address}'"
    }

    private fun rangeProblem(): String? =
        listOf(
                range("half_life_s", halfLifeS, 1.0, 1e9),
                range("norm_s", normS, 1.0, 1e12),
                range("leader_lease_s", leaderLeaseS, 1.0, 600.0),
                range("write_period_s", writePeriodS, 0.01, 10.0),
                range("lease_margin_s", leaseMarginS, 0.1, 60.0),
                range("quiet_reports", quietReports, 1.5, 100.0),
                range("lost_reports", lostReports, quietReports, 1000.0),
                range("idle_keep_boots", idleKeepBoots, 0.0, 1000.0),
                range("spare_share", spareShare, 0.0, 10.0),
                range("preempt_after_s", preemptAfterS, 0.0, 3600.0),
                range("call_back_after_s", callBackAfterS, 0.0, 3600.0),
                range("refused_pause_s", refusedPauseS, 0.5, 3600.0),
                range("longest_wait_s", longestWaitS, 1.0, 86400.0),
                range("reports_per_core", reportsPerCore, 0.0, 1e9),
            )
            .firstOrNull { it != null } ?: drain?.problem()

    private fun range(name: String, value: Double, low: Double, high: Double): String? =
        if (value.isFinite() && value in low..high) null
        else "$name must be from $low to $high, but is $value"
}
