package wardmux.cloud

import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.TaskStatus
import wardmux.model.seconds

/**
 * Logs the cost of machines by machine type and [Use]: how much of it pays for running tasks, and
 * how much for capacity that does no work.
 */
class CostReport {
    private enum class Use {
        /** The machine has not sent a heartbeat to this leader yet. */
        BOOTING,

        /** The machine is up and holds no tasks. */
        IDLE,

        /** CPUs without a task on a machine that holds tasks. */
        FREE,

        /** CPUs of tasks that wait for their image or gang, or that are being stopped. */
        WAITING,

        /** CPUs of running tasks. */
        RUNNING,
    }

    private val log = logger<CostReport>()
    /** The cost since the last report of each [Use] by its ordinal, by machine type. */
    private val costs = sortedMapOf<String, DoubleArray>()
    private var lastUpdateAt: Micros? = null
    private var nextReportAt = Micros.LONG_AGO

    /** Adds the cost of [machines] since the last call, and logs the sums each [REPORT_PERIOD]. */
    fun update(now: Micros, machines: Collection<Machine>) {
        if (!log.isInfoEnabled) return
        val elapsed = (now - (lastUpdateAt ?: now)).inSeconds
        lastUpdateAt = now
        for (machine in machines) addMachine(machine, elapsed)
        if (now < nextReportAt) return
        nextReportAt = now + REPORT_PERIOD
        val total = DoubleArray(Use.entries.size) { use -> costs.values.sumOf { it[use] } }
        if (total.sum() <= 0) return
        logCosts("all", total)
        for ((kind, uses) in costs) logCosts(kind, uses)
        costs.clear()
    }

    private fun logCosts(kind: String, uses: DoubleArray) {
        val sum = uses.sum()
        log.info(
            "cost of {} an hour for {}: {}",
            Math.round(sum / REPORT_PERIOD.inSeconds * TENTHS) / TENTHS,
            kind,
            Use.entries.joinToString { use ->
                "${use.name.lowercase()} ${Math.round(uses[use.ordinal] / sum * PERCENT)} %"
            },
        )
    }

    private fun addMachine(machine: Machine, elapsed: Double) {
        val price = if (machine.spot) machine.type.spotPrice else machine.type.price
        val cost = price * elapsed
        val kind = "${machine.type.label} ${if (machine.spot) "spot" else "ordinary"}"
        val uses = costs.getOrPut(kind) { DoubleArray(Use.entries.size) }
        fun addCost(use: Use, part: Double) {
            uses[use.ordinal] += part
        }
        when {
            !machine.isUp -> addCost(Use.BOOTING, cost)
            machine.isEmpty -> addCost(Use.IDLE, cost)
            else -> {
                var running = 0.0
                var waiting = 0.0
                for (placement in machine.placements.values) {
                    val cpus = placement.job.spec.cpus / machine.type.cpus
                    if (placement.status == TaskStatus.RUNNING) running += cpus else waiting += cpus
                }
                addCost(Use.RUNNING, cost * running)
                addCost(Use.WAITING, cost * waiting)
                addCost(Use.FREE, cost * (1 - running - waiting))
            }
        }
    }

    private companion object {
        val REPORT_PERIOD = 10.seconds
        const val TENTHS = 10.0
        const val PERCENT = 100
    }
}
