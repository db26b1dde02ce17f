package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Lists of faults for a [simulation]. Each list entry is a function that injects one fault. A fault
 * that lasts for some time ends by itself; only a machine on which every task fails stays that way.
 * Some entries submit jobs with [submitJob], which submits one more job, or cancel jobs.
 */
class FaultInjector(private val simulation: ClusterSimulation, private val submitJob: () -> Unit) {
    private val clock = simulation.clock

    /** One to [maxCount] random workers. */
    private fun randomWorkers(maxCount: Int) =
        simulation.cloud.workers().shuffled(clock.random).take(1 + clock.random.nextInt(maxCount))

    private fun randomNode() = simulation.nodes[clock.random.nextInt(simulation.nodes.size)]

    private fun shuffledNodes(): List<String> = simulation.nodes.shuffled(clock.random)

    /**
     * Crashes of controllers and machines, outages of the key-value store and the cloud,
     * preemptions, unresponsive machines, delayed and lost messages, and bursts of jobs.
     */
    val basicFaults: List<() -> Unit> =
        listOf(
            { simulation.crash(randomNode(), clock.randomBetween(100.milliseconds, 8.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(200.milliseconds, 3.seconds))
                }
            },
            {
                for (node in simulation.nodes) simulation.crash(
                    node,
                    clock.randomBetween(1.seconds, 8.seconds),
                )
            },
            {
                for ((i, node) in shuffledNodes().withIndex()) {
                    clock.after((i * 7).seconds) { simulation.crash(node, 3.seconds) }
                }
            },
            { makeStoreUnavailable(null, clock.randomBetween(1.seconds, 25.seconds)) },
            { makeStoreUnavailable(randomNode(), clock.randomBetween(1.seconds, 40.seconds)) },
            {
                simulation.leader()?.let {
                    makeStoreUnavailable(it, clock.randomBetween(4.seconds, 40.seconds))
                }
            },
            {
                simulation.cloud.unavailable = true
                clock.after(20.seconds) { simulation.cloud.unavailable = false }
            },
            { randomWorkers(2).forEach { simulation.cloud.crash(it) } },
            { randomWorkers(4).filter { it.spot }.forEach { simulation.cloud.reclaimSpot(it) } },
            {
                for (worker in randomWorkers(3).filter { it.spot }) {
                    worker.recallS = 10.0
                    clock.after(10.seconds) { simulation.cloud.reclaimSpot(worker) }
                }
            },
            {
                for (worker in randomWorkers(2)) {
                    worker.unresponsive = true
                    // Some resume before their lease ends, some after.
                    clock.after(clock.randomBetween(2.seconds, 30.seconds)) {
                        worker.unresponsive = false
                    }
                }
            },
            {
                for (worker in randomWorkers(2)) holdMessages(
                    worker.id,
                    clock.randomBetween(3.seconds, 50.seconds),
                )
            },
            { holdMessages(randomNode(), clock.randomBetween(2.seconds, 30.seconds)) },
            { randomWorkers(1).forEach { it.failsEveryTask = true } },
            {
                simulation.network.longDelayProbability = 0.05
                clock.after(30.seconds) { simulation.network.longDelayProbability = 0.0 }
            },
            {
                simulation.network.lossProbability = 0.1
                clock.after(20.seconds) { simulation.network.lossProbability = 0.0 }
            },
            { repeat(6) { submitJob() } },
        )

    /**
     * Asymmetric message loss, duplicated messages, partitions between controllers, and delays.
     * Separate from [basicFaults] so that the seeds of tests that use only those keep their
     * scenarios.
     */
    val networkFaults: List<() -> Unit> =
        listOf(
            {
                for (worker in randomWorkers(3)) dropMessagesTo(
                    worker.id,
                    clock.randomBetween(5.seconds, 60.seconds),
                )
            },
            {
                for (worker in randomWorkers(2)) for (node in
                    simulation.nodes) dropMessagesForRandomTime(node, worker.id)
            },
            {
                simulation.network.duplicateProbability = 0.2
                clock.after(40.seconds) { simulation.network.duplicateProbability = 0.0 }
            },
            {
                // Messages sent before the end of a machine arrive again after its deletion.
                simulation.network.duplicateProbability = 0.5
                randomWorkers(2).forEach { simulation.cloud.crash(it) }
                clock.after(15.seconds) { simulation.network.duplicateProbability = 0.0 }
            },
            {
                simulation.leader()?.let {
                    partitionFromStoreAndPeers(it, clock.randomBetween(8.seconds, 50.seconds))
                }
            },
            {
                partitionFromStoreAndPeers(randomNode(), clock.randomBetween(8.seconds, 50.seconds))
            },
            {
                simulation.leader()?.let {
                    partitionFromWorkers(it, clock.randomBetween(8.seconds, 50.seconds))
                }
            },
            {
                for (node in simulation.nodes) {
                    simulation.crash(node, clock.randomBetween(20.milliseconds, 400.milliseconds))
                }
            },
            {
                // The second crash falls into the election that the first one starts.
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(20.milliseconds, 300.milliseconds))
                }
                clock.after(clock.randomBetween(10.milliseconds, 5.seconds)) {
                    simulation.crash(
                        randomNode(),
                        clock.randomBetween(20.milliseconds, 300.milliseconds),
                    )
                }
            },
            {
                val duration = clock.randomBetween(5.seconds, 40.seconds)
                for (a in simulation.nodes) for (b in simulation.nodes) if (a != b)
                    dropMessages(a, b, duration)
            },
            { delayMessagesTo("state", 60.milliseconds) },
            { delayMessagesTo(randomNode(), 500.milliseconds) },
        )

    /** Frozen controllers, and a zone that is partitioned from the others. */
    val partitionFaults: List<() -> Unit> =
        listOf(
            { simulation.freeze(randomNode(), clock.randomBetween(1.seconds, 30.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.freeze(it, clock.randomBetween(1.seconds, 30.seconds))
                }
            },
            {
                // Partitions zone a, with one controller in it, from the other controllers, the
                // key-value store, the cloud and the users.
                val duration = clock.randomBetween(5.seconds, 47.seconds)
                val inside = simulation.cloud.workers().filter { it.zone == "a" }.map { it.id }
                for (host in inside + simulation.nodes.first()) {
                    for (other in simulation.nodes.drop(1) + "state" + "cloud" + "user") {
                        dropMessages(host, other, duration)
                        dropMessages(other, host, duration)
                    }
                }
            },
        )

    /**
     * Cancellations, requests that users rarely make, and delayed, duplicated or lost messages,
     * alone and combined with other faults.
     */
    val cancellationFaults: List<() -> Unit> =
        listOf(
            {
                simulation.store.delayProbability = 0.3
                clock.after(clock.randomBetween(5.seconds, 25.seconds)) {
                    simulation.store.delayProbability = 0.0
                }
            },
            {
                simulation.network.duplicateHeartbeatProbability = 0.3
                clock.after(clock.randomBetween(10.seconds, 40.seconds)) {
                    simulation.network.duplicateHeartbeatProbability = 0.0
                }
            },
            {
                for (worker in randomWorkers(4)) dropHeartbeatsFrom(
                    worker.id,
                    clock.randomBetween(5.seconds, 50.seconds),
                )
            },
            { dropMessagesToRandomZone(clock.randomBetween(5.seconds, 40.seconds)) },
            { simulation.users.cancelRunningJobs(1 + clock.random.nextInt(6), Micros.ZERO) },
            { simulation.users.cancelRunningJobs(6, clock.randomBetween(2.seconds, 30.seconds)) },
            {
                simulation.users.cancelAtEndProbability = 0.5
                clock.after(30.seconds) { simulation.users.cancelAtEndProbability = 0.0 }
            },
            {
                for (i in 1..25) clock.after((i * 1_300).milliseconds) {
                    simulation.users.sendUnusualRequest()
                }
            },
            {
                // The leader is partitioned, and jobs are cancelled through the next one.
                simulation.leader()?.let {
                    partitionFromStoreAndPeers(it, clock.randomBetween(8.seconds, 50.seconds))
                }
                clock.after(clock.randomBetween(1.seconds, 12.seconds)) {
                    simulation.users.cancelRunningJobs(6, Micros.ZERO)
                }
            },
            { storeOutageWithCancellations(clock.randomBetween(5.seconds, 40.seconds)) },
            { storeOutageWithCancellations(clock.randomBetween(40.seconds, 70.seconds)) },
            {
                // A leader crashes while the heartbeats of some machines do not arrive.
                for (worker in randomWorkers(4)) dropHeartbeatsFrom(
                    worker.id,
                    clock.randomBetween(5.seconds, 40.seconds),
                )
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(100.milliseconds, 6.seconds))
                }
            },
        )

    /**
     * The key-value store refuses the leader alone, jobs are cancelled meanwhile, and then it
     * refuses all controllers for [duration].
     */
    private fun storeOutageWithCancellations(duration: Micros) {
        val leaderOutage = clock.randomBetween(1.seconds, 14.seconds)
        simulation.leader()?.let { makeStoreUnavailable(it, leaderOutage + 3.seconds) }
        clock.after(clock.randomBetween(Micros.ZERO, leaderOutage)) {
            simulation.users.cancelRunningJobs(6, Micros.ZERO)
        }
        clock.after(leaderOutage) { makeStoreUnavailable(null, duration) }
    }

    /** Drops the heartbeats of [worker]; direct commands still reach it. */
    private fun dropHeartbeatsFrom(worker: String, duration: Micros) {
        simulation.network.outboundBlocked.add(worker)
        clock.after(duration) { simulation.network.outboundBlocked.remove(worker) }
    }

    /** Drops responses and commands to all workers of a random zone. */
    private fun dropMessagesToRandomZone(duration: Micros) {
        val zone = listOf("a", "b", "c").random(clock.random)
        for (worker in simulation.cloud.workers().filter { it.zone == zone }) dropMessagesTo(
            worker.id,
            duration,
        )
    }

    /** Drops the messages sent from [from] to [to]; the reverse direction works. */
    private fun dropMessages(from: String, to: String, duration: Micros) {
        simulation.network.blockPath(from, to)
        clock.after(duration) { simulation.network.unblockPath(from, to) }
    }

    /** Drops messages for a random time, in half of the cases in both directions. */
    private fun dropMessagesForRandomTime(from: String, to: String) {
        val duration = clock.randomBetween(3.seconds, 40.seconds)
        dropMessages(from, to, duration)
        if (clock.chance(0.5)) dropMessages(to, from, duration)
    }

    /** Drops responses and commands to [worker]; its heartbeats still arrive. */
    private fun dropMessagesTo(worker: String, duration: Micros) {
        for (node in simulation.nodes) dropMessages(node, worker, duration)
    }

    /**
     * Partitions a controller from the key-value store and its peers; it still reaches its workers.
     */
    private fun partitionFromStoreAndPeers(member: String, duration: Micros) {
        for (other in simulation.nodes - member + "state") {
            dropMessages(member, other, duration)
            dropMessages(other, member, duration)
        }
    }

    /** Partitions a controller from all workers, in both directions. */
    private fun partitionFromWorkers(member: String, duration: Micros) {
        for (worker in simulation.cloud.workers()) {
            dropMessages(member, worker.id, duration)
            dropMessages(worker.id, member, duration)
        }
    }

    /** Delays all messages to [host] by [delay] for 30 s. */
    private fun delayMessagesTo(host: String, delay: Micros) {
        simulation.network.extraLatency[host] = delay
        clock.after(30.seconds) { simulation.network.extraLatency.remove(host) }
    }

    /** The key-value store refuses the controller [member], or all if it is null. */
    private fun makeStoreUnavailable(member: String?, duration: Micros) {
        simulation.store.startOutage(member)
        clock.after(duration) { simulation.store.endOutage(member) }
    }

    /** Holds all messages to and from [host] and delivers them after [duration]. */
    private fun holdMessages(host: String, duration: Micros) {
        simulation.network.isolate(host)
        clock.after(duration) { simulation.network.reconnect(host) }
    }
}
