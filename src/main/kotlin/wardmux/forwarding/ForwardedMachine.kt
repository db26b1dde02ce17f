package wardmux.forwarding

import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** State of a machine whose worker sends its heartbeats to this follower. */
class ForwardedMachine {
    /**
     * The last heartbeat that was or will be forwarded in full; null if there is none. Later
     * heartbeats that differ from it only in their tick are forwarded as unchanged.
     */
    var heartbeat: WorkerHeartbeat? = null

    /**
     * The encoded [heartbeat]. While the heartbeat has not been sent, this is replaced by each
     * unchanged heartbeat, so that the leader gets the newest tick.
     */
    var heartbeatBody = ByteArray(0)

    /** The [FullHeartbeat.number] of [heartbeat]; 0 if there is none. */
    var heartbeatNumber = 0L

    /** When the last heartbeat of the machine was received. */
    var lastHeartbeatAt = Micros.ZERO

    /** Whether the leader has asked this follower to reject the machine's heartbeats. */
    var isRejected = false

    /** Commands to deliver with the response to the machine's next heartbeat; null if none. */
    var undeliveredCommands: UndeliveredCommands? = null

    /**
     * When the worker was last redirected because the leader was unsure of its own leader lease
     * (see [HeartbeatBatchResponse.redirectsWorkers]).
     */
    var redirectedAt = Micros.LONG_AGO

    /**
     * The leader's fencing token under which a heartbeat with an older token was not forwarded.
     * This happens once per token; see [PendingHeartbeats.addAnswered].
     */
    var heldBackUnderToken: FencingToken? = null
}
