package wardmux.fleet

import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.election.LeaderElection
import wardmux.model.FencingToken
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.worker.DirectCommands
import wardmux.worker.WorkerHeartbeat

/**
 * Sends requests to workers. Callers check [hasCapacity] first, so that at most [maxOpenRequests]
 * requests are open at once.
 */
class WorkerClient(
    private val context: CoreContext,
    private val cluster: ClusterState,
    private val leadership: LeaderElection,
    private val reconciler: HeartbeatReconciler,
    private val maxOpenRequests: Int,
) {
    private var openRequests = 0

    /** Whether the limit on open requests allows another one. */
    val hasCapacity: Boolean
        get() = openRequests < maxOpenRequests

    /**
     * Requests the state of [machine] and updates the leader's view of it from the response.
     * [onFailure] runs if there is no response with status 200 within [timeout].
     */
    fun requestStatus(machine: Machine, timeout: Micros, onFailure: () -> Unit) {
        openRequests++
        val target = Target.Worker(machine.endpoint)
        context.send(target, "GET", STATUS_PATH, ByteArray(0), timeout) { outcome ->
            openRequests--
            if (outcome is Outcome.Response && outcome.status == HttpStatus.OK) {
                accept(machine, outcome)
            } else onFailure()
        }
    }

    /** Sends [commands] to [machine] and passes the outcome to [onOutcome]. */
    fun sendCommands(machine: Machine, commands: DirectCommands, onOutcome: (Outcome) -> Unit) {
        openRequests++
        val target = Target.Worker(machine.endpoint)
        context.send(target, "POST", COMMAND_PATH, commands.encode(), COMMAND_TIMEOUT) { outcome ->
            openRequests--
            onOutcome(outcome)
        }
    }

    /** Updates [machine] from the heartbeat in its worker's [response]. */
    fun accept(machine: Machine, response: Outcome.Response) {
        val heartbeat = WorkerHeartbeat.parse(response.body) ?: return
        leadership.observeToken(FencingToken(heartbeat.token))
        // The machine was deleted while the request was open.
        if (cluster.machines[machine.id] !== machine) return
        reconciler.acceptDirectResponse(machine, heartbeat)
    }

    private companion object {
        const val STATUS_PATH = "/status"
        const val COMMAND_PATH = "/do"
        val COMMAND_TIMEOUT = 4.seconds
    }
}
