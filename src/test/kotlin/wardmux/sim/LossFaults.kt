package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Faults for a [simulation] that take machines away before or while they are used, and late copies
 * of direct commands: machines that hang beyond their leases while the stored state cannot be read,
 * machines that are lost while they start, and copies that arrive after the task was stopped.
 * Faults that last for some time end by themselves.
 */
class LossFaults(private val simulation: ClusterSimulation) {
    private val clock = simulation.clock

    val all: List<() -> Unit> =
        listOf(
            ::hangDuringStoreOutage,
            ::hangMany,
            ::reclaimStartingMachines,
            ::muteStartingMachines,
            { copyCommands {} },
            { copyCommands(::restartController) },
            { copyCommands { hang(randomWorkers(3), clock.randomBetween(1.seconds, 3.seconds)) } },
            { copyCommands(::announcePreemptions) },
        )

    private fun randomWorkers(maxCount: Int) =
        simulation.cloud.workers().shuffled(clock.random).take(1 + clock.random.nextInt(maxCount))

    private fun hang(workers: List<FakeWorker>, duration: Micros) {
        for (worker in workers) worker.unresponsive = true
        clock.after(duration) { for (worker in workers) worker.unresponsive = false }
    }

    /**
     * Machines hang beyond their leases. Meanwhile writes go unanswered, so that the stored state
     * has to be loaded again, and then the key-value store is down.
     */
    private fun hangDuringStoreOutage() {
        val outage = clock.randomBetween(12.seconds, 25.seconds)
        hang(randomWorkers(3), outage + clock.randomBetween(3.seconds, 12.seconds))
        simulation.store.delayProbability = 1.0
        clock.after(1.seconds) {
            simulation.store.delayProbability = 0.0
            simulation.store.startOutage(null)
        }
        clock.after(1.seconds + outage) { simulation.store.endOutage(null) }
    }

    /** More machines hang than are decommissioned together. */
    private fun hangMany() {
        val workers = simulation.cloud.workers().shuffled(clock.random)
        hang(workers.take((workers.size + 1) / 2), clock.randomBetween(14.seconds, 45.seconds))
    }

    /** Machines start slowly, and spot machines are taken back meanwhile, at any age. */
    private fun reclaimStartingMachines() {
        simulation.cloud.bootTimes = 1.seconds..14.seconds
        clock.after(40.seconds) { simulation.cloud.bootTimes = 1.seconds..6.seconds }
        repeat(5) {
            clock.after(clock.randomBetween(Micros.ZERO, 40.seconds)) {
                simulation.cloud.reclaimStartingSpot(clock.randomBetween(Micros.ZERO, 10.seconds))
            }
        }
    }

    /** Machines that start from now on reach no controller for a time. */
    private fun muteStartingMachines() {
        val known = simulation.cloud.workers().mapTo(HashSet()) { it.id }
        for (at in 0..300) {
            clock.after((at * 100).milliseconds) {
                for (worker in simulation.cloud.workers()) {
                    if (!known.add(worker.id) || clock.chance(0.5)) continue
                    simulation.network.outboundBlocked.add(worker.id)
                    clock.after(clock.randomBetween(5.seconds, 70.seconds)) {
                        simulation.network.outboundBlocked.remove(worker.id)
                    }
                }
            }
        }
    }

    /**
     * Copies of direct commands arrive up to minutes late. [event] and cancellations of running
     * jobs fall between.
     */
    private fun copyCommands(event: () -> Unit) {
        simulation.network.duplicateCommandProbability = 0.5
        clock.after(30.seconds) { simulation.network.duplicateCommandProbability = 0.0 }
        clock.after(clock.randomBetween(1.seconds, 30.seconds)) {
            event()
            simulation.users.cancelRunningJobs(6, Micros.ZERO)
        }
    }

    /** The leader or another controller is back within a fraction of a second. */
    private fun restartController() {
        val node =
            simulation.leader()?.takeIf { clock.chance(0.5) }
                ?: simulation.nodes.random(clock.random)
        simulation.crash(node, clock.randomBetween(20.milliseconds, 900.milliseconds))
    }

    /** Spot machines get a preemption notice, so that tasks are moved from them. */
    private fun announcePreemptions() {
        for (worker in randomWorkers(3).filter { it.spot }) {
            worker.recallS = 20.0
            clock.after(20.seconds) { simulation.cloud.reclaimSpot(worker) }
        }
    }
}
