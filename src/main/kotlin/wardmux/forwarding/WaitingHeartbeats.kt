package wardmux.forwarding

import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** A worker's heartbeat that waits for the grant that is being requested. */
class WaitingHeartbeat(
    /** The request to be answered. */
    val call: Long,
    val heartbeat: WorkerHeartbeat,
    val body: ByteArray,
    val receivedAt: Micros,
)

/** Heartbeats that wait for a grant, in their order; at most [maxSize]. */
class WaitingHeartbeats(private val maxSize: Int) {
    private val waiting = ArrayDeque<WaitingHeartbeat>()

    /** Whether no more may wait. */
    val isFull: Boolean
        get() = waiting.size >= maxSize

    /** Adds [heartbeat] behind the others. */
    fun add(heartbeat: WaitingHeartbeat) = waiting.addLast(heartbeat)

    /** Takes out the first if it was received before [time]; null if it was not. */
    fun takeReceivedBefore(time: Micros): WaitingHeartbeat? {
        val first = waiting.firstOrNull() ?: return null
        return if (first.receivedAt < time) waiting.removeFirst() else null
    }

    /** Takes out all. */
    fun takeAll(): List<WaitingHeartbeat> {
        val all = waiting.toList()
        waiting.clear()
        return all
    }
}
