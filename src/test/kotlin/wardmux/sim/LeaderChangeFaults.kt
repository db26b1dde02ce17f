package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Injects leader changes every few seconds together with machines that are reachable only for short
 * times: direct commands are lost or delayed, workers send each heartbeat to another controller,
 * forwarding followers restart, and the key-value store refuses one controller or all.
 */
class LeaderChangeFaults(private val simulation: ClusterSimulation) {
    private val clock = simulation.clock
    private var hasEnded = false

    /** Injects faults for [duration] from now on, and then ends those that would last. */
    fun injectFor(duration: Micros) {
        hasEnded = false
        for (worker in simulation.cloud.workers()) worker.rotatesControllers =
            clock.chance(CONTROLLER_SWITCHING_CHANCE)
        delayCommands()
        crashLeaders()
        repeatedly(2.seconds, 7.seconds) { partitionSomeWorkers() }
        repeatedly(4.seconds, 15.seconds) {
            makeStoreUnavailable(null, clock.randomBetween(1.seconds, 8.seconds))
        }
        repeatedly(3.seconds, 10.seconds) {
            makeStoreUnavailable(randomNode(), clock.randomBetween(2.seconds, 10.seconds))
        }
        repeatedly(3.seconds, 12.seconds) { simulation.crash(randomNode(), shortDelay()) }
        clock.after(duration) { endFaults() }
    }

    private fun endFaults() {
        hasEnded = true
        simulation.commandDelays.clear()
        for (worker in simulation.cloud.workers()) worker.rotatesControllers = false
    }

    /** Runs [action] again and again, after random pauses, until the faults end. */
    private fun repeatedly(shortestPause: Micros, longestPause: Micros, action: () -> Unit) {
        clock.after(clock.randomBetween(shortestPause, longestPause)) {
            if (hasEnded) return@after
            action()
            repeatedly(shortestPause, longestPause, action)
        }
    }

    /** Crashes the leader every few seconds, or all controllers at once. */
    private fun crashLeaders() =
        repeatedly(3.seconds, 8.seconds) {
            if (clock.chance(ALL_CONTROLLERS_CRASH_CHANCE)) {
                for (node in simulation.nodes) simulation.crash(
                    node,
                    clock.randomBetween(1.seconds, 4.seconds),
                )
            } else {
                simulation.leader()?.let { simulation.crash(it, shortDelay()) }
            }
        }

    /** Delays direct commands to most machines, often until their sender no longer leads. */
    private fun delayCommands() {
        for (worker in simulation.cloud.workers()) {
            if (clock.chance(DELAYED_COMMANDS_CHANCE)) {
                simulation.commandDelays[worker.id] = clock.randomBetween(2.seconds, 16.seconds)
            }
        }
    }

    /**
     * Partitions some workers for a random time. Either messages to and from the worker are held
     * until the partition ends, or those to it are dropped, or those in both directions are.
     */
    private fun partitionSomeWorkers() {
        for (worker in simulation.cloud.workers()) {
            if (!clock.chance(PARTITION_CHANCE)) continue
            val duration = clock.randomBetween(2.seconds, 14.seconds)
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

    /** Holds all messages to and from [host] and delivers them after [duration]. */
    private fun holdMessages(host: String, duration: Micros) {
        simulation.network.isolate(host)
        clock.after(duration) { simulation.network.reconnect(host) }
    }

    /** Drops the messages sent from [from] to [to]; the reverse direction works. */
    private fun dropMessages(from: String, to: String, duration: Micros) {
        simulation.network.blockPath(from, to)
        clock.after(duration) { simulation.network.unblockPath(from, to) }
    }

    /** The key-value store refuses the controller [member], or all if it is null. */
    private fun makeStoreUnavailable(member: String?, duration: Micros) {
        simulation.store.startOutage(member)
        clock.after(duration) { simulation.store.endOutage(member) }
    }

    private fun randomNode() = simulation.nodes.random(clock.random)

    private fun shortDelay() = clock.randomBetween(100.milliseconds, 3.seconds)

    private companion object {
        /** Chance that a worker sends each heartbeat to another controller. */
        const val CONTROLLER_SWITCHING_CHANCE = 0.5

        /** Chance that direct commands to a machine are delayed. */
        const val DELAYED_COMMANDS_CHANCE = 0.8

        /** Chance that a worker is partitioned, each time that some are. */
        const val PARTITION_CHANCE = 0.25

        /** Chance that all controllers crash rather than the leader alone. */
        const val ALL_CONTROLLERS_CRASH_CHANCE = 0.25
    }
}
