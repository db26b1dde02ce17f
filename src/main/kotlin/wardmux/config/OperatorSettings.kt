package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The operators' settings. Each has a default, a unit in its name and a range that is checked. */
@Serializable
data class OperatorSettings(
    /** The half-life of a team's past usage in fair sharing, in seconds. */
    @SerialName("half_life_s") val usageHalfLifeS: Double = 600.0,
    /**
     * The past usage that halves a team's weight in fair sharing, in CPU-seconds for each CPU of
     * its guaranteed share.
     */
    @SerialName("norm_s") val usageNormS: Double = 600.0,
    /** The length of the leader's lease, in seconds. */
    @SerialName("leader_lease_s") val leaderLeaseS: Double = 4.0,
    /** The shortest time between two writes of the leader to the key-value store, in seconds. */
    @SerialName("write_period_s") val writePeriodS: Double = 0.25,
    /** The time after the end of a worker's lease until it counts as expired, in seconds. */
    @SerialName("lease_margin_s") val leaseMarginS: Double = 1.0,
    /** The number of missed heartbeats after which a machine gets no new tasks. */
    @SerialName("quiet_reports") val unresponsiveAfterHeartbeats: Double = 2.5,
    /**
     * The number of missed heartbeats after which a machine is decommissioned and its tasks run
     * elsewhere.
     */
    @SerialName("lost_reports") val lostAfterHeartbeats: Double = 4.0,
    /** The time for which an idle machine is kept, in boot times of its type. */
    @SerialName("idle_keep_boots") val idleKeepBoots: Double = 0.9,
    /** The capacity kept free for urgent work, as a share of the capacity in use. */
    @SerialName("spare_share") val spareShare: Double = 0.15,
    /** The wait in seconds after which urgent work may preempt work of a lower priority. */
    @SerialName("preempt_after_s") val preemptAfterS: Double = 2.5,
    /**
     * The wait in seconds after which a team reclaims its guaranteed share from teams that exceed
     * theirs.
     */
    @SerialName("call_back_after_s") val reclaimAfterS: Double = 40.0,
    /**
     * The time in seconds for which no machines of a kind are requested after the cloud had no
     * capacity for it.
     */
    @SerialName("refused_pause_s") val noCapacityBackoffS: Double = 15.0,
    /**
     * The wait in seconds after which a job that has not started goes before all other jobs of its
     * team.
     */
    @SerialName("longest_wait_s") val maxWaitS: Double = 120.0,
    /**
     * The rate of heartbeats, in heartbeats a second for each whole core, above which followers
     * take heartbeats as well as the leader.
     */
    @SerialName("reports_per_core") val heartbeatsPerCore: Double = 500.0,
    /**
     * The settings of drains of machines for maintenance. If it is null, drains are switched off
     * and there is no listener for operators.
     */
    @SerialName("drain") val drain: DrainSettings? = null,
) {
    /** The first error, in one line that names the field; null if there is none. */
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

/**
 * An error in one line that names [field] if [value] is not from [low] to [high]; null otherwise.
 */
internal fun rangeProblem(field: String, value: Double, low: Double, high: Double): String? =
    if (value.isFinite() && value in low..high) null
    else "$field must be from $low to $high, but is $value"
