package wardmux.cloud

import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.TaskStatus
import wardmux.model.seconds

/** Logs the cost of machines by what they do: running tasks, waiting, idle, booting. */
class CostReport {
    private enum class Use {
        BOOTING,
        IDLE,
        FREE,
        WAITING,
        RUNNING,
    }

    private val log = logger<CostReport>()
    private val costs = sortedMapOf<String, DoubleArray>()
    private var last: Micros? = null
    private var reportAt = Micros.LONG_AGO

    /** Adds the cost since the last call, and logs the sums every [PERIOD]. */
    fun update(now: Micros, machines: Collection<Machine>) {
        if (!log.isInfoEnabled) return
        val elapsed = (now - (last ?: now)).inSeconds
        last = now
        for (machine in machines) add(machine, elapsed)
        if (now < reportAt) return
        reportAt = now + PERIOD
        val all = DoubleArray(Use.entries.size) { use -> costs.values.sumOf { it[use] } }
        if (all.sum() <= 0) return
        report("all", all)
        for ((kind, uses) in costs) report(kind, uses)
        costs.clear()
    }

    private fun report(kind: String, uses: DoubleArray) {
        val sum = uses.sum()
        log.info(
            "cost of {} an hour for {}: {}",
            Math.round(sum / PERIOD.inSeconds * TENTHS) / TENTHS,
            kind,
            Use.entries.joinToString { use ->
                "${use.name.lowercase()} ${Math.round(uses[use.ordinal] / sum * PERCENT)} %"
            },
        )
    }

    private fun add(machine: Machine, elapsed: Double) {
        val price = if (machine.spot) machine.type.spotPrice else machine.type.price
        val cost = price * elapsed
        val kind = "${machine.type.label} ${if (machine.spot) "spot" else "ordinary"}"
        val uses = costs.getOrPut(kind) { DoubleArray(Use.entries.size) }
        fun charge(use: Use, part: Double) {
            uses[use.ordinal] += part
        }
        when {
            !machine.isUp -> charge(Use.BOOTING, cost)
            machine.isEmpty -> charge(Use.IDLE, cost)
            else -> {
                var running = 0.0
                var waiting = 0.0
                for (placement in machine.placements.values) {
                    val cpus = placement.job.spec.cpus / machine.type.cpus
                    if (placement.status == TaskStatus.RUNNING) running += cpus else waiting += cpus
                }
                charge(Use.RUNNING, cost * running)
                charge(Use.WAITING, cost * waiting)
                charge(Use.FREE, cost * (1 - running - waiting))
            }
        }
    }

    private companion object {
        val PERIOD = 10.seconds
        const val TENTHS = 10.0
        const val PERCENT = 100
    }
}
