package wardmux.leader

import wardmux.forwarding.ForwardingCoordinator
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.model.FencingToken

/** Handles batches of worker heartbeats, over whichever route their forwarder sent them. */
class HeartbeatBatchHandler(
    private val token: FencingToken,
    private val coordinator: ForwardingCoordinator,
    private val planningLoop: PlanningLoop,
) {
    /**
     * Returns the response to [batch], or null if it is for a leader with another fencing token.
     */
    fun handle(batch: HeartbeatBatch): HeartbeatBatchResponse? {
        if (batch.token != token.value) return null
        return coordinator.handleBatch(batch).also { planningLoop.planIfChanged() }
    }
}
