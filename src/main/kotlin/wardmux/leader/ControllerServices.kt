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

/** Is told of each cancellation that this process did not know of before. */
fun interface CancellationListener {
    /** [job] was cancelled, here or on another controller. */
    fun jobCancelled(job: JobId)
}

/**
 * What a controller has for as long as its process runs, whether or not it leads. Each [LeaderTerm]
 * is built on these. [processIncarnation] differs between any two processes, also of the same
 * member.
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
