package wardmux.leader

import wardmux.cloud.CloudClient
import wardmux.cloud.MachineTypeCatalog
import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.core.CoreContext
import wardmux.lease.LeaseRenewals
import wardmux.lease.RenewalCounters
import wardmux.model.JobId
import wardmux.model.seconds
import wardmux.peers.CancellationTracker
import wardmux.peers.PeerHeartbeats
import wardmux.store.KeyValueStore
import wardmux.worker.WorkerHeartbeatReader

/** Receives each cancellation that this process did not know before. */
fun interface CancellationListener {
    /** Called when [job] was cancelled through this controller or another one. */
    fun jobCancelled(job: JobId)
}

/**
 * The components that a controller has for the lifetime of its process, whether or not it leads.
 * Each [LeaderTerm] uses them. [processIncarnation] differs between any two processes, also of the
 * same member.
 */
class ControllerServices(
    val platform: PlatformConfig,
    val operators: OperatorSettings,
    val processIncarnation: String,
    cancellationListener: CancellationListener,
) {
    val context = CoreContext()
    val store = KeyValueStore(context, platform.deployment.state, platform.deployment.nodes)
    val cloud = CloudClient(context, platform.deployment.cloud.rps)
    val machineTypes = MachineTypeCatalog(context, store, cloud)
    private val peerNames = platform.peers.map { it.member }
    val cancellations =
        CancellationTracker(
            context,
            store,
            processIncarnation,
            peerNames,
            CancellationTracker.retention(platform.deployment.workers.cancelS.seconds),
        ) {
            cancellationListener.jobCancelled(it)
        }
    val renewalCounters = RenewalCounters(context)
    val renewals = LeaseRenewals(context, renewalCounters)
    val peerHeartbeats = PeerHeartbeats(context, platform.member, peerNames, cancellations)
    val heartbeatReader = WorkerHeartbeatReader(platform.deployment.limits.heartbeatCacheBytes)
}
