package wardmux.leader

import wardmux.forwarding.ForwardingCoordinator
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.model.FencingToken

/** Takes in batches of worker heartbeats, whichever way their forwarder sent them. */
class HeartbeatBatchHandler(
    private val token: FencingToken,
    private val coordinator: ForwardingCoordinator,
    private val planningLoop: PlanningLoop,
) {
    /** The response to [batch]; null if it is meant for a leader with another fencing token. */
    fun handle(batch: HeartbeatBatch): HeartbeatBatchResponse? {
        if (batch.token != token.value) return null
        return coordinator.handleBatch(batch).also { planningLoop.planIfChanged() }
    }
}
