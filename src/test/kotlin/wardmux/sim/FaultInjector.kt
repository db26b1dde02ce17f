package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * The faults that tests of all kinds inject into a [simulation]. Calling a list entry injects one
 * fault. Faults that last end by themselves, except that a machine on which tasks fail stays so.
 * Some entries submit or cancel jobs; [submitJob] submits one more job.
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
            { simulation.crash(randomNode(), clock.between(100.milliseconds, 8.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.crash(it, clock.between(200.milliseconds, 3.seconds))
                }
            },
            {
                for (node in simulation.nodes) simulation.crash(
                    node,
                    clock.between(1.seconds, 8.seconds),
                )
            },
            {
                for ((i, node) in shuffledNodes().withIndex()) {
                    clock.after((i * 7).seconds) { simulation.crash(node, 3.seconds) }
                }
            },
            { makeStoreUnavailable(null, clock.between(1.seconds, 25.seconds)) },
            { makeStoreUnavailable(randomNode(), clock.between(1.seconds, 40.seconds)) },
            {
                simulation.leader()?.let {
                    makeStoreUnavailable(it, clock.between(4.seconds, 40.seconds))
                }
            },
            {
                simulation.cloud.down = true
                clock.after(20.seconds) { simulation.cloud.down = false }
            },
            { randomWorkers(2).forEach { simulation.cloud.kill(it) } },
            { randomWorkers(4).filter { it.spot }.forEach { simulation.cloud.takeBack(it) } },
            {
                for (worker in randomWorkers(3).filter { it.spot }) {
                    worker.recallS = 10.0
                    clock.after(10.seconds) { simulation.cloud.takeBack(worker) }
                }
            },
            {
                for (worker in randomWorkers(2)) {
                    worker.hanging = true
                    // Some resume just before their lease ends, some just after.
                    clock.after(clock.between(2.seconds, 30.seconds)) { worker.hanging = false }
                }
            },
            {
                for (worker in randomWorkers(2)) holdMessages(
                    worker.id,
                    clock.between(3.seconds, 50.seconds),
                )
            },
            { holdMessages(randomNode(), clock.between(2.seconds, 30.seconds)) },
            { randomWorkers(1).forEach { it.sick = true } },
            {
                simulation.network.late = 0.05
                clock.after(30.seconds) { simulation.network.late = 0.0 }
            },
            {
                simulation.network.loss = 0.1
                clock.after(20.seconds) { simulation.network.loss = 0.0 }
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
                    clock.between(5.seconds, 60.seconds),
                )
            },
            {
                for (worker in randomWorkers(2)) for (node in
                    simulation.nodes) dropMessagesForRandomTime(node, worker.id)
            },
            {
                simulation.network.copies = 0.2
                clock.after(40.seconds) { simulation.network.copies = 0.0 }
            },
            {
                // Messages sent before the end of a machine arrive again after its deletion.
                simulation.network.copies = 0.5
                randomWorkers(2).forEach { simulation.cloud.kill(it) }
                clock.after(15.seconds) { simulation.network.copies = 0.0 }
            },
            {
                simulation.leader()?.let {
                    partitionFromStoreAndPeers(it, clock.between(8.seconds, 50.seconds))
                }
            },
            { partitionFromStoreAndPeers(randomNode(), clock.between(8.seconds, 50.seconds)) },
            {
                simulation.leader()?.let {
                    partitionFromWorkers(it, clock.between(8.seconds, 50.seconds))
                }
            },
            {
                for (node in simulation.nodes) {
                    simulation.crash(node, clock.between(20.milliseconds, 400.milliseconds))
                }
            },
            {
                // The second crash falls into the election that the first one starts.
                simulation.leader()?.let {
                    simulation.crash(it, clock.between(20.milliseconds, 300.milliseconds))
                }
                clock.after(clock.between(10.milliseconds, 5.seconds)) {
                    simulation.crash(randomNode(), clock.between(20.milliseconds, 300.milliseconds))
                }
            },
            {
                val duration = clock.between(5.seconds, 40.seconds)
                for (a in simulation.nodes) for (b in simulation.nodes) if (a != b)
                    dropMessages(a, b, duration)
            },
            { delayMessagesTo("state", 60.milliseconds) },
            { delayMessagesTo(randomNode(), 500.milliseconds) },
        )

    /** Frozen controllers, and a zone that is partitioned from the others. */
    val partitionFaults: List<() -> Unit> =
        listOf(
            { simulation.freeze(randomNode(), clock.between(1.seconds, 30.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.freeze(it, clock.between(1.seconds, 30.seconds))
                }
            },
            {
                // Partitions zone a, with one controller in it, from the other controllers, the
                // key-value store, the cloud and the users.
                val duration = clock.between(5.seconds, 47.seconds)
                val inside = simulation.cloud.workers().filter { it.zone == "a" }.map { it.id }
                for (host in inside + simulation.nodes.first()) {
                    for (other in simulation.nodes.drop(1) + "state" + "cloud" + "user") {
                        dropMessages(host, other, duration)
                        dropMessages(other, host, duration)
                    }
                }
            },
        )

    /** Cancellations and delayed messages, alone and combined with other faults. */
    val cancellationFaults: List<() -> Unit> =
        listOf(
            {
                simulation.state.lateWrites = 0.3
                clock.after(clock.between(5.seconds, 25.seconds)) {
                    simulation.state.lateWrites = 0.0
                }
            },
            {
                simulation.network.lateReports = 0.3
                clock.after(clock.between(10.seconds, 40.seconds)) {
                    simulation.network.lateReports = 0.0
                }
            },
            {
                for (worker in randomWorkers(4)) dropHeartbeatsFrom(
                    worker.id,
                    clock.between(5.seconds, 50.seconds),
                )
            },
            { dropMessagesToRandomZone(clock.between(5.seconds, 40.seconds)) },
            { simulation.users.cancelNow(1 + clock.random.nextInt(6), Micros.ZERO) },
            { simulation.users.cancelNow(6, clock.between(2.seconds, 30.seconds)) },
            {
                simulation.users.cancelAtEnd = 0.5
                clock.after(30.seconds) { simulation.users.cancelAtEnd = 0.0 }
            },
            {
                for (i in 1..25) clock.after((i * 1_300).milliseconds) {
                    simulation.users.oddRequest()
                }
            },
            {
                // The leader is partitioned, and jobs are cancelled through the next one.
                simulation.leader()?.let {
                    partitionFromStoreAndPeers(it, clock.between(8.seconds, 50.seconds))
                }
                clock.after(clock.between(1.seconds, 12.seconds)) {
                    simulation.users.cancelNow(6, Micros.ZERO)
                }
            },
            { storeOutageWithCancellations(clock.between(5.seconds, 40.seconds)) },
            { storeOutageWithCancellations(clock.between(40.seconds, 70.seconds)) },
            {
                // A leader crashes while the heartbeats of some machines do not arrive.
                for (worker in randomWorkers(4)) dropHeartbeatsFrom(
                    worker.id,
                    clock.between(5.seconds, 40.seconds),
                )
                simulation.leader()?.let {
                    simulation.crash(it, clock.between(100.milliseconds, 6.seconds))
                }
            },
        )

    /**
     * The key-value store refuses the leader alone, jobs are cancelled meanwhile, and then it
     * refuses all controllers for [duration].
     */
    private fun storeOutageWithCancellations(duration: Micros) {
        val leaderOutage = clock.between(1.seconds, 14.seconds)
        simulation.leader()?.let { makeStoreUnavailable(it, leaderOutage + 3.seconds) }
        clock.after(clock.between(Micros.ZERO, leaderOutage)) {
            simulation.users.cancelNow(6, Micros.ZERO)
        }
        clock.after(leaderOutage) { makeStoreUnavailable(null, duration) }
    }

    /** Drops the heartbeats of [worker]; direct commands still reach it. */
    private fun dropHeartbeatsFrom(worker: String, duration: Micros) {
        simulation.network.mute.add(worker)
        clock.after(duration) { simulation.network.mute.remove(worker) }
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
        simulation.network.part(from, to)
        clock.after(duration) { simulation.network.join(from, to) }
    }

    /** Drops messages for a random time, in half of the cases in both directions. */
    private fun dropMessagesForRandomTime(from: String, to: String) {
        val duration = clock.between(3.seconds, 40.seconds)
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
        simulation.network.slow[host] = delay
        clock.after(30.seconds) { simulation.network.slow.remove(host) }
    }

    /** The key-value store refuses the controller [member], or all if it is null. */
    private fun makeStoreUnavailable(member: String?, duration: Micros) {
        simulation.state.outage(member)
        clock.after(duration) { simulation.state.back(member) }
    }

    /** Holds all messages to and from [host] and delivers them after [duration]. */
    private fun holdMessages(host: String, duration: Micros) {
        simulation.network.cut(host)
        clock.after(duration) { simulation.network.mend(host) }
    }
}
