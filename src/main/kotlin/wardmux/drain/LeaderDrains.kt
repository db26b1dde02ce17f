package wardmux.drain

import wardmux.cloud.Provisioner
import wardmux.config.DeploymentConfig
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.election.Role
import wardmux.model.Machine
import wardmux.model.MachineTypes
import wardmux.model.seconds
import wardmux.scheduling.ClusterState
import wardmux.scheduling.Eligibility
import wardmux.scheduling.TaskEvictor
import wardmux.store.KeyValueStore

/** The components of a leader's term that its drains use. */
class DrainEnvironment(
    val store: KeyValueStore,
    val role: Role.Leader,
    val term: DrainTerm,
    val cluster: ClusterState,
    val eligibility: Eligibility,
    val evictor: TaskEvictor,
    val provisioner: Provisioner,
    val types: MachineTypes,
)

/** Creates and connects the components that carry out drains in one leader's term. */
class LeaderDrains(
    private val context: CoreContext,
    private val environment: DrainEnvironment,
    private val deployment: DeploymentConfig,
    operators: OperatorSettings,
    settings: DrainSettings,
) {
    private val cluster = environment.cluster
    private val electedAt = context.now
    private val inventory = TermInventory()
    private val store = DrainStore(context, environment.store, environment.role, environment.term)
    private val budgets =
        DisruptionBudgets(
            context,
            cluster,
            settings,
            (deployment.workers.heartbeatPeriodS * operators.unresponsiveAfterHeartbeats).seconds,
        )
    private val inspector = StepInspector(context, cluster, budgets, store)
    private val selection = DrainSelection(cluster)
    private val urgentWork = UrgentWork(context, cluster)
    private val feasibility = RelocationFeasibility(cluster, environment.eligibility)
    private val replacements =
        ReplacementCapacity(
            cluster,
            environment.eligibility,
            environment.provisioner.jobProvisioner,
            environment.types,
        )
    private val plans = PlanScheduler(context, cluster, budgets, settings, inspector)
    private val admission =
        StepAdmission(context, store, inspector, urgentWork, budgets, feasibility, settings)
    private val manager =
        DrainManager(
            context,
            store,
            budgets,
            MaintenanceUpdater(cluster, inspector, urgentWork),
            StepStarter(context, inspector, selection, admission, plans, inventory),
            stepExecutor(),
        )

    /** Handles operators' requests. */
    val service = service(settings)

    /** Advances the drains if the leader may decide; called several times a second. */
    fun tick() {
        if (environment.term.mayDecide) manager.tick()
    }

    private fun stepExecutor() =
        StepExecutor(
            context,
            inspector,
            StepPreparation(context, inspector, urgentWork, feasibility, replacements),
            urgentWork,
            TaskEvictions(inspector, budgets, environment.evictor),
            EvictionPlanner(
                context,
                inspector,
                budgets,
                feasibility,
                replacements,
                maxRelocatingTasks = store.maxBytes / RECORD_PARTS / MAX_TASK_NAME_BYTES,
            ),
            inventory,
        )

    private fun service(settings: DrainSettings): DrainService {
        val statuses = DrainStatusReader(store, manager, selection, budgets, settings)
        return DrainService(
            environment.term,
            store,
            budgets,
            selection,
            DrainRequestCheck(context, selection, environment.types, deployment.zones),
            statuses,
            DrainDryRun(store, selection, inspector, plans, admission, statuses),
            inventory,
        )
    }

    private inner class TermInventory : MachineInventory {
        override val isListed: Boolean
            get() = environment.provisioner.isListRead

        /**
         * The cloud's lists lag behind, and a list may be older than the one read before it. The
         * list therefore counts as complete only once several lags have passed since the election.
         */
        override val isComplete: Boolean
            get() = isListed && context.now - electedAt > listCompletenessDelay

        private val listCompletenessDelay =
            (deployment.cloud.listLagS * LIST_COMPLETENESS_LAGS).seconds

        override fun decommission(machine: Machine, reason: String) =
            environment.term.decommission(machine, reason)
    }

    private companion object {
        /** The number of list lags after the election from which the list counts as complete. */
        const val LIST_COMPLETENESS_LAGS = 3

        /**
         * The names of evicted tasks may use one of this many equal parts of the maximum record
         * size. One part is reserved for the request and one for machine ids and notes.
         */
        const val RECORD_PARTS = 3

        /** The maximum length of a task's name in JSON, with its quotes and comma, in bytes. */
        const val MAX_TASK_NAME_BYTES = 34
    }
}
