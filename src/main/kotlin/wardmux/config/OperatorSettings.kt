package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operators' own settings; each has a default, a unit in its name and a checked range. */
@Serializable
data class OperatorSettings(
    /** Half-life of a team's past usage in fair sharing. */
    @SerialName("half_life_s") val usageHalfLifeS: Double = 600.0,
    /** Usage that halves a team's weight, in CPU-seconds for each CPU of its guaranteed share. */
    @SerialName("norm_s") val usageNormS: Double = 600.0,
    /** How long the leader's lease lasts. */
    @SerialName("leader_lease_s") val leaderLeaseS: Double = 4.0,
    /** Shortest time between two writes of the leader. */
    @SerialName("write_period_s") val writePeriodS: Double = 0.25,
    /** Added to a worker's lease before it counts as expired. */
    @SerialName("lease_margin_s") val leaseMarginS: Double = 1.0,
    /** Heartbeats missed before a machine gets no new tasks. */
    @SerialName("quiet_reports") val unresponsiveAfterHeartbeats: Double = 2.5,
    /** Heartbeats missed before a machine is decommissioned; its tasks run elsewhere. */
    @SerialName("lost_reports") val lostAfterHeartbeats: Double = 4.0,
    /** Time for which an idle machine is kept, in boot times of its type. */
    @SerialName("idle_keep_boots") val idleKeepBoots: Double = 0.9,
    /** Capacity kept free for urgent work, as a share of what is in use. */
    @SerialName("spare_share") val spareShare: Double = 0.15,
    /** Wait after which urgent work may preempt work of a lower urgency. */
    @SerialName("preempt_after_s") val preemptAfterS: Double = 2.5,
    /** Wait after which a team reclaims its guaranteed share from teams that exceed theirs. */
    @SerialName("call_back_after_s") val reclaimAfterS: Double = 40.0,
    /** Back-off after the cloud had no capacity for a kind of machine. */
    @SerialName("refused_pause_s") val noCapacityBackoffS: Double = 15.0,
    /** Wait after which a job that has not started goes before all others of its team. */
    @SerialName("longest_wait_s") val maxWaitS: Double = 120.0,
    /** Heartbeats a second for each whole core above which followers take heartbeats too. */
    @SerialName("reports_per_core") val heartbeatsPerCore: Double = 500.0,
    /**
     * Drains of machines for maintenance; without it there are none, and no operators' listener.
     */
    @SerialName("drain") val drain: DrainSettings? = null,
) {
    /** The first error, in one line that names the field, or null. */
    fun problem(): String? = valueProblem() ?: addressProblem()

    private fun addressProblem(): String? {
        val address = drain?.listenerAddress ?: return null
        return if (SettingsFiles.parseAddress(address) != null) null
        else "drain.address must be HOST:PORT or :PORT, but is '${drain.address}'"
    }

    private fun valueProblem(): String? =
        listOf(
                rangeProblem("half_life_s", usageHalfLifeS, 1.0, 1e9),
                rangeProblem("norm_s", usageNormS, 1.0, 1e12),
                rangeProblem("leader_lease_s", leaderLeaseS, 1.0, 600.0),
                rangeProblem("write_period_s", writePeriodS, 0.01, 10.0),
                rangeProblem("lease_margin_s", leaseMarginS, 0.1, 60.0),
                rangeProblem("quiet_reports", unresponsiveAfterHeartbeats, 1.5, 100.0),
                rangeProblem(
                    "lost_reports",
                    lostAfterHeartbeats,
                    unresponsiveAfterHeartbeats,
                    1000.0,
                ),
                rangeProblem("idle_keep_boots", idleKeepBoots, 0.0, 1000.0),
                rangeProblem("spare_share", spareShare, 0.0, 10.0),
                rangeProblem("preempt_after_s", preemptAfterS, 0.0, 3600.0),
                rangeProblem("call_back_after_s", reclaimAfterS, 0.0, 3600.0),
                rangeProblem("refused_pause_s", noCapacityBackoffS, 0.5, 3600.0),
                rangeProblem("longest_wait_s", maxWaitS, 1.0, 86400.0),
                rangeProblem("reports_per_core", heartbeatsPerCore, 0.0, 1e9),
            )
            .firstOrNull { it != null } ?: drain?.problem()
}

/** Why [value] is outside [low] to [high], in one line that names [field], or null. */
internal fun rangeProblem(field: String, value: Double, low: Double, high: Double): String? =
    if (value.isFinite() && value in low..high) null
    else "$field must be from $low to $high, but is $value"
