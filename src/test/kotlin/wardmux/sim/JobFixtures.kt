package wardmux.sim

import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.PriorityClass

/** This job without placement constraints: any machine in any zone may take its tasks. */
fun JobSpec.unconstrained(): JobSpec =
    copy(zone = null, oneZone = false, spread = false, spot = true)

/** A job without placement constraints whose tasks are alike and save no checkpoints. */
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

/** A gang without placement constraints whose tasks save checkpoints. */
fun ClusterSimulation.unconstrainedGang(
    team: String,
    tasks: Int,
    cpus: Double,
    estimateS: Double,
): JobSpec =
    unconstrainedJob(JobKind.GANG, team, tasks, cpus, estimateS)
        .copy(jobClass = "gang", checkpointS = 5.0, saveS = 2.0)
