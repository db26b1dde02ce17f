package wardmux.sim

import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.PriorityClass
import wardmux.model.milliseconds

/**
 * A cancelled task must end within 36 s, the cancellation time of the simulated cluster. The other
 * 200 ms are needed because workers check their leases, and the tests check the tasks, ten times a
 * second.
 */
val CANCELLATION_LIMIT = 36_200.milliseconds

/** A copy of this job without placement constraints: its tasks may run on any machine. */
fun JobSpec.unconstrained(): JobSpec =
    copy(zone = null, oneZone = false, spread = false, spot = true)

/** A job without placement constraints and without checkpoints. */
fun ClusterSimulation.unconstrainedJob(
    kind: JobKind,
    team: String,
    tasks: Int,
    cpus: Double,
    estimateS: Double,
    priority: PriorityClass = PriorityClass.NORMAL,
): JobSpec =
    randomJob()
        .unconstrained()
        .copy(
            kind = kind,
            team = team,
            priority = priority,
            tasks = tasks,
            cpus = cpus,
            estimateS = estimateS,
            checkpointS = 0.0,
            saveS = 0.0,
        )

/** A gang without placement constraints whose tasks save a checkpoint every 5 s. */
fun ClusterSimulation.unconstrainedGang(
    team: String,
    tasks: Int,
    cpus: Double,
    estimateS: Double,
): JobSpec =
    unconstrainedJob(JobKind.GANG, team, tasks, cpus, estimateS)
        .copy(jobClass = "gang", checkpointS = 5.0, saveS = 2.0)
