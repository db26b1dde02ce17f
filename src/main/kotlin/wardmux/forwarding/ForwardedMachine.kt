package wardmux.forwarding

import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** A machine whose worker sends its heartbeats to this follower. */
class ForwardedMachine {
    /** The last heartbeat that the leader gets in full, or null if there is none. */
    var heartbeat: WorkerHeartbeat? = null

    /** The bytes of [heartbeat], with its newest tick while it is still to be sent. */
    var heartbeatBody = ByteArray(0)

    /** The number of [heartbeat]; 0 if there is none. */
    var heartbeatNumber = 0L

    /** When its last heartbeat came. */
    var lastHeartbeatAt = Micros.ZERO

    /** The leader wants it not to be answered any more. */
    var isRejected = false

    /** Commands to be delivered with the response to its next heartbeat. */
    var undeliveredCommands: UndeliveredCommands? = null

    /** When it was last redirected because the leader was unsure of its lease. */
    var redirectedAt = Micros.LONG_AGO

    /** The leader's token under which a heartbeat with an older token was held back once. */
    var heldBackUnderToken: FencingToken? = null
}
