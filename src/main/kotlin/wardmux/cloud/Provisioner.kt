package wardmux.cloud

import wardmux.config.DeploymentConfig
import wardmux.config.OperatorSettings
import wardmux.core.CoreContext
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.model.seconds

/** Keeps the number of machines in line with the work: rents, returns and deletes them. */
class Provisioner(
    private val context: CoreContext,
    environment: ProvisioningEnvironment,
    deployment: DeploymentConfig,
    operators: OperatorSettings,
    token: FencingToken,
) {
    private val cluster = environment.cluster
    private val list = MachineListReader(context, environment, deployment.cloud)
    private val deletion = MachineDeletion(context, environment)
    private val rentals = MachineRentals(context, environment, deployment, operators, token)
    private val controller =
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
    private var decideAt = Micros.LONG_AGO

    /** Rents for single jobs. */
    val jobs: JobProvisioner
        get() = controller.jobs

    /** The cloud's list of machines was read in this term. */
    val isListRead: Boolean
        get() = list.isRead

    /** Does what is due; without a valid lease only the list is read. */
    fun tick(leaseIsValid: Boolean) {
        list.tick()
        if (!leaseIsValid) return
        deletion.tick()
        rentals.retry()
        if (!list.isReadOrOverdue) return
        if (context.now >= decideAt || rentals.consumeRefusal()) {
            decideAt = context.now + PERIOD
            controller.decide()
            costReport.update(context.now, cluster.machines.values)
        }
    }

    private companion object {
        val PERIOD = 1.seconds
    }
}
