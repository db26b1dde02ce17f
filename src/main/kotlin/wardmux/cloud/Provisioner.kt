package wardmux.cloud

import wardmux.config.DeploymentConfig
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.model.seconds

/** Rents, returns and deletes machines, so that their number matches the work. */
class Provisioner(
    private val context: CoreContext,
    environment: ProvisioningEnvironment,
    deployment: DeploymentConfig,
    operators: OperatorSettings,
    token: FencingToken,
) {
    private val cluster = environment.cluster
    private val machineListReader = MachineListReader(context, environment, deployment.cloud)
    private val deletion = MachineDeletion(context, environment)
    private val rentals = MachineRentals(context, environment, deployment, operators, token)
    private val capacityController =
        CapacityController(
            cluster,
            environment.pools,
            environment.planner,
            operators,
            CapacityDemand(context, cluster, deployment.objectives, environment.store),
            rentals,
            ScaleInPreparation(
                context,
                cluster,
                environment.planner.eligibility,
                environment.evictor,
            ),
            ScaleIn(context, environment.planner, operators, environment.decommissioning),
        )
    private val costReport = CostReport()
    private var nextDecisionAt = Micros.LONG_AGO

    /** Rents machines for single jobs. */
    val jobProvisioner: JobProvisioner
        get() = capacityController.jobProvisioner

    /** True if the cloud's list of machines was read in this leader's term. */
    val isListRead: Boolean
        get() = machineListReader.isRead

    /**
     * Reads the cloud's list of machines where due. With a valid leader lease also deletes
     * machines, repeats rental requests and scales the pools; the latter waits for the first list.
     */
    fun tick(leaseIsValid: Boolean) {
        machineListReader.tick()
        if (!leaseIsValid) return
        deletion.tick()
        rentals.retryIndeterminate()
        if (!machineListReader.isReadOrOverdue) return
        if (context.now >= nextDecisionAt || rentals.consumeRefusal()) {
            nextDecisionAt = context.now + DECISION_PERIOD
            capacityController.scalePools()
            costReport.update(context.now, cluster.machines.values)
        }
    }

    private companion object {
        val DECISION_PERIOD = 1.seconds
    }
}
