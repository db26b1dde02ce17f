package wardmux.fleet

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.model.Micros
import wardmux.model.seconds

/** How long machines may send no heartbeat, by the workers' heartbeat period. */
class HeartbeatTimeouts(workers: WorkerTiming, operators: OperatorSettings) {
    /** A machine that was silent for longer is decommissioned. */
    val lost: Micros = (workers.heartbeatPeriodS * operators.lostAfterHeartbeats).seconds

    /** A machine that was silent for longer is probed. */
    val overdue: Micros = (workers.heartbeatPeriodS * OVERDUE_HEARTBEATS).seconds

    /** A machine that was silent for longer and answered no probe is decommissioned. */
    val unreachable: Micros =
        maxOf((workers.heartbeatPeriodS * UNREACHABLE_HEARTBEATS).seconds, MIN_UNREACHABLE)

    /** If most machines were silent for longer, they may be talking to other controllers. */
    val quiet: Micros = (workers.heartbeatPeriodS * operators.unresponsiveAfterHeartbeats).seconds

    /** A start that was sent this long ago is listed in a heartbeat, if it was carried out. */
    val startListed: Micros =
        maxOf((workers.heartbeatPeriodS * START_LISTED_HEARTBEATS).seconds, MIN_START_LISTED)

    private companion object {
        /** A heartbeat comes after at most one and a quarter of its usual time. */
        const val OVERDUE_HEARTBEATS = 1.5
        const val UNREACHABLE_HEARTBEATS = 2.0

        /** Short hangs and network cuts pass by themselves. */
        val MIN_UNREACHABLE = 8.seconds
        const val START_LISTED_HEARTBEATS = 2.5
        val MIN_START_LISTED = 8.seconds
    }
}
