package wardmux.forwarding

import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** The process [processIncarnation] of a follower, as the leader that granted it time sees it. */
class Forwarder(val member: String, val processIncarnation: String) {
    /** By the leader's clock, from when on it surely answers no worker unless granted more time. */
    var grantValidUntil = Micros.LONG_AGO
        private set

    /** It has forwarded every heartbeat that it answered before then, by the leader's clock. */
    var reportedUntil = Micros.LONG_AGO
        private set

    /** When its last batch came. */
    var lastBatchAt = Micros.LONG_AGO
        private set

    /** The member that it is to redirect workers to, or null if none was chosen yet. */
    var rebalanceTarget: String? = null
        private set

    private var rebalanceCount = 0
    private val heartbeatByNumber = Long2ObjectHashMap<WorkerHeartbeat>()
    private val numberByMachine = HashMap<String, Long>()

    /** A batch came now. */
    fun recordBatch(now: Micros) {
        lastBatchAt = now
    }

    /** It may answer workers until [time]. */
    fun extendGrant(time: Micros) {
        grantValidUntil = maxOf(grantValidUntil, time)
    }

    /** It has forwarded every heartbeat that it answered before [time]. */
    fun recordAllReportedUntil(time: Micros) {
        reportedUntil = maxOf(reportedUntil, time)
    }

    /** Remembers a full heartbeat by its [number], in place of the machine's last one. */
    fun storeHeartbeat(number: Long, heartbeat: WorkerHeartbeat) {
        numberByMachine.put(heartbeat.machine, number)?.let { heartbeatByNumber.remove(it) }
        heartbeatByNumber[number] = heartbeat
    }

    /** The full heartbeat of this [number], or null if it is not known. */
    fun heartbeat(number: Long): WorkerHeartbeat? = heartbeatByNumber[number]

    /** Forgets the heartbeat of [machine]. */
    fun removeHeartbeat(machine: String) {
        numberByMachine.remove(machine)?.let { heartbeatByNumber.remove(it) }
    }

    /** It is to redirect [count] workers to [target]. */
    fun assignRebalancing(count: Int, target: String) {
        rebalanceCount = count
        rebalanceTarget = target
    }

    /** How many workers it is to redirect; 0 once this was read. */
    fun takeRebalanceCount(): Int = rebalanceCount.also { rebalanceCount = 0 }
}
