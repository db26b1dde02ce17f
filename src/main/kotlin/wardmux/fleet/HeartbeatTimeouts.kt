package wardmux.fleet

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.model.Micros
import wardmux.model.seconds

/**
 * Time limits for missing heartbeats, and for started tasks that heartbeats do not list, derived
 * from the workers' heartbeat period.
 */
class HeartbeatTimeouts(workers: WorkerTiming, operators: OperatorSettings) {
    /** A machine that is silent for longer than this is decommissioned. */
    val lost: Micros = (workers.heartbeatPeriodS * operators.lostAfterHeartbeats).seconds

    /** A machine that is silent for longer than this is probed. */
    val overdue: Micros = (workers.heartbeatPeriodS * OVERDUE_HEARTBEATS).seconds

    /** A machine that is silent for longer than this and failed a probe is decommissioned. */
    val unreachable: Micros =
        maxOf((workers.heartbeatPeriodS * UNREACHABLE_HEARTBEATS).seconds, MIN_UNREACHABLE_SILENCE)

    /**
     * If most machines are silent for longer than this, they may be sending their heartbeats to
     * other controllers.
     */
    val quiet: Micros = (workers.heartbeatPeriodS * operators.unresponsiveAfterHeartbeats).seconds

    /**
     * A heartbeat lists every task whose start was sent at least this long before and was carried
     * out.
     */
    val unlistedStart: Micros =
        maxOf((workers.heartbeatPeriodS * UNLISTED_START_HEARTBEATS).seconds, MIN_UNLISTED_START)

    private companion object {
        /** A heartbeat on time arrives after at most 1.25 heartbeat periods. */
        const val OVERDUE_HEARTBEATS = 1.5
        const val UNREACHABLE_HEARTBEATS = 2.0

        /**
         * Shorter hangs of a machine and shorter network faults usually pass without intervention.
         */
        val MIN_UNREACHABLE_SILENCE = 8.seconds
        const val UNLISTED_START_HEARTBEATS = 2.5
        val MIN_UNLISTED_START = 8.seconds
    }
}
