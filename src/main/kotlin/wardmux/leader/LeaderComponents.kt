package wardmux.leader

import wardmux.cloud.Provisioner
import wardmux.cloud.ProvisioningEnvironment
import wardmux.drain.DrainEnvironment
import wardmux.drain.LeaderDrains
import wardmux.election.LeaderElection
import wardmux.election.Role
import wardmux.fleet.CommandReachability
import wardmux.fleet.DirectCommandSender
import wardmux.fleet.HeartbeatCommands
import wardmux.fleet.HeartbeatHandler
import wardmux.fleet.HeartbeatReconciler
import wardmux.fleet.HeartbeatTimeouts
import wardmux.fleet.LeaseExpiry
import wardmux.fleet.MachineDecommissioner
import wardmux.fleet.MachineHealthMonitor
import wardmux.fleet.MachineProber
import wardmux.fleet.MachineRegistry
import wardmux.fleet.TaskFailures
import wardmux.fleet.TaskReconciler
import wardmux.fleet.UnconfirmedMachineMonitor
import wardmux.fleet.WorkerClient
import wardmux.fleet.WorkerRedirects
import wardmux.forwarding.ForwardingCoordinator
import wardmux.forwarding.StoredBatchServer
import wardmux.lease.LeaderCancellationView
import wardmux.model.seconds
import wardmux.records.TaskPageCodec
import wardmux.scheduling.ClusterState
import wardmux.scheduling.FairQueue
import wardmux.scheduling.MachinePools
import wardmux.scheduling.PlacementStore
import wardmux.scheduling.Planner
import wardmux.scheduling.Preemption
import wardmux.scheduling.TaskEvictor

/**
 * Creates the components of one leader term and connects them. This class does no other work. A
 * component that depends on one created later accesses it through this class.
 */
class LeaderComponents(
    services: ControllerServices,
    private val leadership: LeaderElection,
    val role: Role.Leader,
    completionListener: JobCompletionListener,
) {
    private val context = services.context
    private val store = services.store
    private val types = services.machineTypes
    private val cloud = services.cloud
    private val platform = services.platform
    private val operators = services.operators
    private val reader = services.heartbeatReader
    private val cancellations = services.cancellations
    private val renewals = services.renewals
    private val deployment = platform.deployment

    val queue =
        FairQueue(
            deployment.teams.associate { it.name to it.cpus },
            operators.usageHalfLifeS.seconds,
            operators.usageNormS,
        )
    val cluster = ClusterState(context, deployment.teams, queue)
    private val cancellationView =
        LeaderCancellationView(context, cluster, cancellations, role.token, deployment.workers)
    val status = TermStatus(leadership, cancellationView)
    val pools = MachinePools(context) { types.types.orEmpty() }
    val planner =
        Planner(context, cluster, operators, deployment.workers, deployment.objectives, pools)
    private val evictor = TaskEvictor(cluster, deployment.workers)
    val preemption = Preemption(context, cluster, planner, evictor, operators)
    private val writeListener =
        PlacementWriteListener(services, leadership, this, completionListener)
    val placementStore =
        PlacementStore(context, store, cluster, role, operators.writePeriodS.seconds, writeListener)
    val planningLoop = PlanningLoop(context, cluster, planner, placementStore, status)
    private val decommissioner = MachineDecommissioner(placementStore)
    val registry = MachineRegistry(context, cluster, types)
    private val reconciler =
        HeartbeatReconciler(
            context,
            cluster,
            TaskReconciler(
                context,
                cluster,
                evictor,
                TaskFailures(context, decommissioner),
                role.token,
            ),
            cancellationView,
        )
    private val workerClient =
        WorkerClient(
            context,
            cluster,
            leadership,
            reconciler,
            deployment.limits.sockets.directCommands,
        )
    private val reachability = CommandReachability(context)
    val directCommands =
        DirectCommandSender(context, cluster, workerClient, reachability, leadership, role.token)
    val heartbeats =
        HeartbeatHandler(
            context,
            registry,
            reconciler,
            HeartbeatCommands(context, cluster, leadership, cancellationView),
            directCommands,
            renewals,
            cancellationView,
            WorkerRedirects(context, leadership, deployment.workers, ::redirectTarget),
        )
    val forwardingCoordinator =
        ForwardingCoordinator(
            context,
            cluster,
            heartbeats,
            reader,
            role.token,
            platform,
            operators,
            cancellationView,
        )
    val batchHandler = HeartbeatBatchHandler(role.token, forwardingCoordinator, planningLoop)
    val storedBatchServer = StoredBatchServer(context, store, role, batchHandler::handle)
    private val timeouts = HeartbeatTimeouts(deployment.workers, operators)
    val healthMonitor =
        MachineHealthMonitor(
            context,
            cluster,
            timeouts,
            LeaseExpiry(
                context,
                deployment.workers,
                operators,
                forwardingCoordinator::latestPossibleRenewal,
            ),
            MachineProber(context, workerClient),
            UnconfirmedMachineMonitor(
                context,
                cluster,
                registry,
                decommissioner,
                cancellationView,
                timeouts,
                deployment.workers,
            ),
            decommissioner,
        )
    private val machineLifecycle =
        MachineLifecycle(status, decommissioner, placementStore, leadership)
    val provisioner =
        Provisioner(
            context,
            ProvisioningEnvironment(
                cloud,
                store,
                cluster,
                registry,
                planner,
                pools,
                evictor,
                machineLifecycle,
            ),
            deployment,
            operators,
            role.token,
        )
    /** The drains that operators requested, or null if the settings do not enable drains. */
    val drains: LeaderDrains? =
        operators.drain?.let {
            LeaderDrains(context, drainEnvironment(), deployment, operators, it)
        }
    val jobs = JobRegistry(cluster, TaskPageCodec.tasksPerPage(store.pageLayoutBytes))
    val cancellationHandler = JobCancellationHandler(cluster, directCommands, cancellations)
    val resignationCheck = ResignationCheck(services, leadership, reachability, healthMonitor)
    val openJobWatcher = OpenJobWatcher(services, this)
    val loader = StoredStateLoader(services, this)

    private fun drainEnvironment() =
        DrainEnvironment(
            store,
            role,
            machineLifecycle,
            cluster,
            planner.eligibility,
            evictor,
            provisioner,
            types,
        )

    /** Treats the stored state as unknown until it has been loaded again. */
    fun reload() {
        status.markStale()
        openJobWatcher.stop()
        loader.reload()
    }

    private fun redirectTarget(): String? = forwardingCoordinator.takeRedirectTarget()
}
