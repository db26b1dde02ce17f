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

/** What a leader's term provides for its drains. */
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

/** The drains of one leader's term: creates and connects their parts. */
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
            (deployment.workers.heartbeatPeriodS * operators.quietHeartbeats).seconds,
        )
    private val inspector = StepInspector(context, cluster, budgets, store)
    private val selection = DrainSelection(cluster)
    private val urgentWork = UrgentWork(context, cluster)
    private val feasibility = RelocationFeasibility(cluster, environment.eligibility)
    private val replacements =
        ReplacementCapacity(
            cluster,
            environment.eligibility,
            environment.provisioner.jobs,
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

    /** Handles the requests of operators. */
    val service = service(settings)

    /** Advances the drains; called several times a second. */
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

        /** Lists lag behind, and a list may be older than the one before it. */
        override val isComplete: Boolean
            get() = isListed && context.now - electedAt > listCompletenessDelay

        private val listCompletenessDelay =
            (deployment.cloud.listLagS * LIST_COMPLETENESS_LAGS).seconds

        override fun decommission(machine: Machine, reason: String) =
            environment.term.decommission(machine, reason)
    }

    private companion object {
        const val LIST_COMPLETENESS_LAGS = 3

        /** A third of a record is for the request, a third for machines and notes. */
        const val RECORD_PARTS = 3

        /** A task's name with its quotes and comma. */
        const val MAX_TASK_NAME_BYTES = 34
    }
}
