package wardmux.forwarding

import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** A worker's heartbeat that can't be answered until this follower has received a grant. */
class WaitingHeartbeat(
    /** Identifies the worker's request that will be answered. */
    val call: Long,
    val heartbeat: WorkerHeartbeat,
    val body: ByteArray,
    val receivedAt: Micros,
)

/** Queue of at most [maxSize] heartbeats that wait for a grant, in the order of their arrival. */
class WaitingHeartbeats(private val maxSize: Int) {
    private val waiting = ArrayDeque<WaitingHeartbeat>()

    /** Whether the queue has reached its maximum size. The caller checks this before [add]. */
    val isFull: Boolean
        get() = waiting.size >= maxSize

    /** Adds [heartbeat] to the end of the queue. */
    fun add(heartbeat: WaitingHeartbeat) = waiting.addLast(heartbeat)

    /** Removes and returns the oldest heartbeat if it was received before [time], else null. */
    fun takeReceivedBefore(time: Micros): WaitingHeartbeat? {
        val first = waiting.firstOrNull() ?: return null
        return if (first.receivedAt < time) waiting.removeFirst() else null
    }

    /** Removes and returns all heartbeats, oldest first. */
    fun takeAll(): List<WaitingHeartbeat> {
        val all = waiting.toList()
        waiting.clear()
        return all
    }
}
