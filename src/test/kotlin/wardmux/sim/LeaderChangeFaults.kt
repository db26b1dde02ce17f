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
    private var hasEnded = false

    /** From now for [duration]; then all is well again. */
    fun injectFor(duration: Micros) {
        hasEnded = false
        for (worker in simulation.cloud.workers()) worker.wanders =
            clock.chance(CONTROLLER_SWITCHING_CHANCE)
        delayCommands()
        crashLeaders()
        repeatedly(2.seconds, 7.seconds) { partitionSomeWorkers() }
        repeatedly(4.seconds, 15.seconds) {
            makeStoreUnavailable(null, clock.between(1.seconds, 8.seconds))
        }
        repeatedly(3.seconds, 10.seconds) {
            makeStoreUnavailable(randomNode(), clock.between(2.seconds, 10.seconds))
        }
        repeatedly(3.seconds, 12.seconds) { simulation.crash(randomNode(), shortDelay()) }
        clock.after(duration) { endFaults() }
    }

    private fun endFaults() {
        hasEnded = true
        simulation.delayedCommands.clear()
        for (worker in simulation.cloud.workers()) worker.wanders = false
    }

    private fun repeatedly(shortestPause: Micros, longestPause: Micros, action: () -> Unit) {
        clock.after(clock.between(shortestPause, longestPause)) {
            if (hasEnded) return@after
            action()
            repeatedly(shortestPause, longestPause, action)
        }
    }

    private fun crashLeaders() =
        repeatedly(3.seconds, 8.seconds) {
            if (clock.chance(ALL_CONTROLLERS_CRASH_CHANCE)) {
                for (node in simulation.nodes) simulation.crash(
                    node,
                    clock.between(1.seconds, 4.seconds),
                )
            } else {
                simulation.leader()?.let { simulation.crash(it, shortDelay()) }
            }
        }

    /** Most machines carry out direct commands late, or never in the time of the leader. */
    private fun delayCommands() {
        for (worker in simulation.cloud.workers()) {
            if (clock.chance(DELAYED_COMMANDS_CHANCE)) {
                simulation.delayedCommands[worker.id] = clock.between(2.seconds, 16.seconds)
            }
        }
    }

    /** One way or both; what was sent to the machine meanwhile may come when it is back. */
    private fun partitionSomeWorkers() {
        for (worker in simulation.cloud.workers()) {
            if (!clock.chance(PARTITION_CHANCE)) continue
            val duration = clock.between(2.seconds, 14.seconds)
            when (clock.random.nextInt(3)) {
                0 -> holdMessages(worker.id, duration)
                1 -> for (node in simulation.nodes) dropMessages(node, worker.id, duration)
                else ->
                    for (node in simulation.nodes) {
                        dropMessages(node, worker.id, duration)
                        dropMessages(worker.id, node, duration)
                    }
            }
        }
    }

    private fun holdMessages(host: String, duration: Micros) {
        simulation.network.cut(host)
        clock.after(duration) { simulation.network.mend(host) }
    }

    private fun dropMessages(from: String, to: String, duration: Micros) {
        simulation.network.part(from, to)
        clock.after(duration) { simulation.network.join(from, to) }
    }

    private fun makeStoreUnavailable(member: String?, duration: Micros) {
        simulation.state.outage(member)
        clock.after(duration) { simulation.state.back(member) }
    }

    private fun randomNode() = simulation.nodes.random(clock.random)

    private fun shortDelay() = clock.between(100.milliseconds, 3.seconds)

    private companion object {
        const val CONTROLLER_SWITCHING_CHANCE = 0.5
        const val DELAYED_COMMANDS_CHANCE = 0.8
        const val PARTITION_CHANCE = 0.25

        /** Rather than the leader alone. */
        const val ALL_CONTROLLERS_CRASH_CHANCE = 0.25
    }
}
