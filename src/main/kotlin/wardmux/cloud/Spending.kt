package wardmux.cloud

import wardmux.Micros
import wardmux.fleet.Machine
import wardmux.fleet.TaskStatus
import wardmux.logger
import wardmux.secs

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
    private val spent = DoubleArray(Use.entries.size)
    private var last: Micros? = null
    private var tellAt = Micros.LONG_AGO

    fun tell(now: Micros, machines: Collection<Machine>) {
        if (!log.isInfoEnabled) return
        val elapsed = (now - (last ?: now)).seconds
        last = now
        for (machine in machines) add(machine, elapsed)
        if (now < tellAt) return
        tellAt = now + PERIOD
        val sum = spent.sum()
        if (sum <= 0) return
        log.info(
            "spent {} an hour on {}",
            Math.round(sum / PERIOD.seconds * 10) / 10.0,
            Use.entries.joinToString { use ->
                "${use.name.lowercase()} ${Math.round(spent[use.ordinal] / sum * 100)} %"
            },
        )
        spent.fill(0.0)
    }

    private fun add(machine: Machine, elapsed: Double) {
        val price = if (machine.spot) machine.type.spotPrice else machine.type.price
        val cost = price * elapsed
        when {
            !machine.up -> spend(Use.BOOTING, cost)
            machine.empty -> spend(Use.IDLE, cost)
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

    private fun spend(use: Use, cost: Double) {
        spent[use.ordinal] += cost
    }

    private companion object {
        val PERIOD = 10.secs
    }
}
