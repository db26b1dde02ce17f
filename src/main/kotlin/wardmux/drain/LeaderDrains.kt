package wardmux.drain

import wardmux.cloud.Provisioner
import wardmux.config.DeploymentConfig
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.election.Role
import wardmux.model.Job
import wardmux.model.Machine
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility
import wardmux.scheduling.TaskEvictor
import wardmux.store.KeyValueStore

/** What a leader's session lends to its drains. */
class DrainEnvironment(
    val store: KeyValueStore,
    val role: Role.Leader,
    val cluster: ClusterState,
    val eligibility: Eligibility,
    val stopper: TaskEvictor,
    val provisioner: Provisioner,
    val deployment: DeploymentConfig,
    val operators: OperatorSettings,
    val types: () -> List<MachineType>,
    /** The leader is sure of its lease and knows what is stored. */
    val mayDecide: () -> Boolean,
    val decommission: (Machine, String) -> Unit,
    val fenced: () -> Unit,
)

/** The drains of one leader's session, put together. */
class LeaderDrains(
    private val context: CoreContext,
    private val environment: DrainEnvironment,
    settings: DrainSettings,
) {
    private val cluster = environment.cluster
    private val electedAt = context.now
    private val store = DrainStore(context, environment.store, environment.role, environment.fenced)
    private val disruptions = DisruptionBudgets(context, cluster, settings, heartbeatTimeout())
    private val executor =
        StepExecutor(
            context,
            cluster,
            disruptions,
            RelocationFeasibility(cluster, environment.eligibility),
            environment.stopper,
            ::requestReplacement,
            environment.decommission,
            ::knowsAllMachines,
            { store.steps },
            mostMoving = store.maxBytes / RECORD_PARTS / MAX_TASK_NAME_BYTES,
        )
    private val plans = PlanScheduler(context, cluster, disruptions, settings, executor)
    private val manager =
        DrainManager(
            context,
            store,
            cluster,
            disruptions,
            executor,
            plans,
            settings,
            ::knowsAllMachines,
        )

    /** Answers operators. */
    val desk =
        DrainService(
            context,
            store,
            manager,
            cluster,
            disruptions,
            executor,
            plans,
            settings,
            environment.role.token,
            environment.deployment.zones,
            environment.types,
            environment.mayDecide,
            { environment.provisioner.listed },
        )

    /** Does what is due. */
    fun tick() {
        if (environment.mayDecide()) manager.tick()
    }

    private fun heartbeatTimeout(): Micros =
        (environment.deployment.workers.heartbeatPeriodS * environment.operators.quietHeartbeats)
            .seconds

    /** Lists are late, and one may be older than the one before. */
    private fun knowsAllMachines(): Boolean {
        val patience = (environment.deployment.cloud.listLagS * LIST_LAGS).seconds
        return environment.provisioner.listed && context.now - electedAt > patience
    }

    private fun requestReplacement(job: Job) {
        val jobs = environment.provisioner.jobs
        if (!jobs.isComing(job) && !isBooting(job)) jobs.rentOne(job, environment.types())
    }

    private fun isBooting(job: Job) =
        cluster.machines.values.any {
            !it.isUp &&
                !it.decommissioned &&
                environment.eligibility.suits(job, it.type, it.zone, it.spot)
        }

    private companion object {
        const val LIST_LAGS = 3

        /**
         * Of a record a third is for the request, and a third for the step's machines and notes.
         */
        const val RECORD_PARTS = 3

        /** A task's name with its quotes and comma. */
        const val MAX_TASK_NAME_BYTES = 34
    }
}
