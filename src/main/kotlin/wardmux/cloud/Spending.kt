package wardmux.cloud

import wardmux.logging.logger
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.TaskStatus
import wardmux.model.seconds

/** Tells now and then what the money goes to: work, or what machines do beside it. */
class Spending {
    private enum class Use {
        BOOTING,
        IDLE,
        FREE,
        WAITING,
        RUNNING,
    }

    private val log = logger<Spending>()
    private val spent = sortedMapOf<String, DoubleArray>()
    private var last: Micros? = null
    private var tellAt = Micros.LONG_AGO

    fun tell(now: Micros, machines: Collection<Machine>) {
        if (!log.isInfoEnabled) return
        val elapsed = (now - (last ?: now)).inSeconds
        last = now
        for (machine in machines) add(machine, elapsed)
        if (now < tellAt) return
        tellAt = now + PERIOD
        val all = DoubleArray(Use.entries.size) { use -> spent.values.sumOf { it[use] } }
        if (all.sum() <= 0) return
        describe("all", all)
        for ((kind, uses) in spent) describe(kind, uses)
        spent.clear()
    }

    private fun describe(kind: String, uses: DoubleArray) {
        val sum = uses.sum()
        log.info(
            "spent {} an hour on {}: {}",
            Math.round(sum / PERIOD.inSeconds * 10) / 10.0,
            kind,
            Use.entries.joinToString { use ->
                "${use.name.lowercase()} ${Math.round(uses[use.ordinal] / sum * 100)} %"
            },
        )
    }

    private fun add(machine: Machine, elapsed: Double) {
        val price = if (machine.spot) machine.type.spotPrice else machine.type.price
        val cost = price * elapsed
        val kind = "${machine.type.label} ${if (machine.spot) "spot" else "ordinary"}"
        val uses = spent.getOrPut(kind) { DoubleArray(Use.entries.size) }
        fun spend(use: Use, part: Double) {
            uses[use.ordinal] += part
        }
        when {
            !machine.isUp -> spend(Use.BOOTING, cost)
            machine.isEmpty -> spend(Use.IDLE, cost)
            else -> {
                var running = 0.0
                var waiting = 0.0
                for (placement in machine.placements.values) {
                    val cpus = placement.job.spec.cpus / machine.type.cpus
                    if (placement.status == TaskStatus.RUNNING) running += cpus else waiting += cpus
                }
                spend(Use.RUNNING, cost * running)
                spend(Use.WAITING, cost * waiting)
                spend(Use.FREE, cost * (1 - running - waiting))
            }
        }
    }

    private companion object {
        val PERIOD = 10.seconds
    }
}
