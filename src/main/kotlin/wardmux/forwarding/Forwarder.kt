package wardmux.forwarding

import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/**
 * The leader's record of a follower process that forwards heartbeats. A restarted follower has
 * another [processIncarnation] and therefore a record of its own.
 */
class Forwarder(val member: String, val processIncarnation: String) {
    /**
     * The time, by the leader's clock, from which this process no longer answers workers unless its
     * grant is extended.
     */
    var grantValidUntil = Micros.LONG_AGO
        private set

    /**
     * The time, by the leader's clock, before which this process has forwarded every heartbeat that
     * it answered.
     */
    var reportedUntil = Micros.LONG_AGO
        private set

    /** When the last batch of this process was received. */
    var lastBatchAt = Micros.LONG_AGO
        private set

    /** The member to which this process redirects workers; null if none has been chosen. */
    var rebalanceTarget: String? = null
        private set

    private var rebalanceCount = 0
    private val heartbeatByNumber = Long2ObjectHashMap<WorkerHeartbeat>()
    private val numberByMachine = HashMap<String, Long>()

    /** Records that a batch was received at [now]. */
    fun recordBatch(now: Micros) {
        lastBatchAt = now
    }

    /** Records that this process may answer workers until [time]. */
    fun extendGrant(time: Micros) {
        grantValidUntil = maxOf(grantValidUntil, time)
    }

    /** Records that this process has forwarded every heartbeat that it answered before [time]. */
    fun recordAllReportedUntil(time: Micros) {
        reportedUntil = maxOf(reportedUntil, time)
    }

    /** Stores a full heartbeat by its [number] and removes the previous one of its machine. */
    fun storeHeartbeat(number: Long, heartbeat: WorkerHeartbeat) {
        numberByMachine.put(heartbeat.machine, number)?.let { heartbeatByNumber.remove(it) }
        heartbeatByNumber[number] = heartbeat
    }

    /** The full heartbeat stored under [number]; null if there is none. */
    fun heartbeat(number: Long): WorkerHeartbeat? = heartbeatByNumber[number]

    /** Removes the stored heartbeat of [machine], if any. */
    fun removeHeartbeat(machine: String) {
        numberByMachine.remove(machine)?.let { heartbeatByNumber.remove(it) }
    }

    /** Has this process redirect [count] workers to the member [target]. */
    fun assignRebalancing(count: Int, target: String) {
        rebalanceCount = count
        rebalanceTarget = target
    }

    /** Returns the number of workers that this process is to redirect, and resets it to 0. */
    fun takeRebalanceCount(): Int = rebalanceCount.also { rebalanceCount = 0 }
}
