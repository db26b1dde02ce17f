package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Leaders that change every few seconds, beside machines that can be reached for moments only:
 * direct commands lost, late or held up, workers that report to another controller each time,
 * forwarders that restart, and a key-value store that refuses one controller or all.
 */
class LeaderChangeFaults(private val simulation: ClusterSimulation) {
    private val clock = simulation.clock
    private var over = false

    /** From now for [length]; then all is well again. */
    fun begin(length: Micros) {
        over = false
        for (worker in simulation.cloud.workers()) worker.rotatesControllers =
            clock.chance(WANDERING)
        holdUpCommands()
        changeLeaders()
        repeatedly(2.seconds, 7.seconds) { cutOffSome() }
        repeatedly(4.seconds, 15.seconds) {
            refuse(null, clock.randomBetween(1.seconds, 8.seconds))
        }
        repeatedly(3.seconds, 10.seconds) {
            refuse(someNode(), clock.randomBetween(2.seconds, 10.seconds))
        }
        repeatedly(3.seconds, 12.seconds) { simulation.crash(someNode(), shortly()) }
        clock.after(length) { end() }
    }

    private fun end() {
        over = true
        simulation.commandDelays.clear()
        for (worker in simulation.cloud.workers()) worker.rotatesControllers = false
    }

    private fun repeatedly(least: Micros, most: Micros, action: () -> Unit) {
        clock.after(clock.randomBetween(least, most)) {
            if (over) return@after
            action()
            repeatedly(least, most, action)
        }
    }

    private fun changeLeaders() =
        repeatedly(3.seconds, 8.seconds) {
            if (clock.chance(ALL_END)) {
                for (node in simulation.nodes) simulation.crash(
                    node,
                    clock.randomBetween(1.seconds, 4.seconds),
                )
            } else {
                simulation.leader()?.let { simulation.crash(it, shortly()) }
            }
        }

    /** Most machines carry out direct commands late, or never in the time of the leader. */
    private fun holdUpCommands() {
        for (worker in simulation.cloud.workers()) {
            if (clock.chance(LATE)) {
                simulation.commandDelays[worker.id] = clock.randomBetween(2.seconds, 16.seconds)
            }
        }
    }

    /** One way or both; what was sent to the machine meanwhile may come when it is back. */
    private fun cutOffSome() {
        for (worker in simulation.cloud.workers()) {
            if (!clock.chance(CUT_OFF)) continue
            val length = clock.randomBetween(2.seconds, 14.seconds)
            when (clock.random.nextInt(3)) {
                0 -> hold(worker.id, length)
                1 -> for (node in simulation.nodes) part(node, worker.id, length)
                else ->
                    for (node in simulation.nodes) {
                        part(node, worker.id, length)
                        part(worker.id, node, length)
                    }
            }
        }
    }

    private fun hold(host: String, length: Micros) {
        simulation.network.isolate(host)
        clock.after(length) { simulation.network.reconnect(host) }
    }

    private fun part(from: String, to: String, length: Micros) {
        simulation.network.blockPath(from, to)
        clock.after(length) { simulation.network.unblockPath(from, to) }
    }

    private fun refuse(member: String?, length: Micros) {
        simulation.store.startOutage(member)
        clock.after(length) { simulation.store.endOutage(member) }
    }

    private fun someNode() = simulation.nodes.random(clock.random)

    private fun shortly() = clock.randomBetween(100.milliseconds, 3.seconds)

    private companion object {
        const val WANDERING = 0.5
        const val LATE = 0.8
        const val CUT_OFF = 0.25

        /** Rather than the leader alone. */
        const val ALL_END = 0.25
    }
}
