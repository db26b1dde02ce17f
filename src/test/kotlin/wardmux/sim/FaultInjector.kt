package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * All that may happen to a [simulation], for scenarios of every kind; [submitJob] brings one more
 * job.
 */
class FaultInjector(private val simulation: ClusterSimulation, private val submitJob: () -> Unit) {
    private val clock = simulation.clock

    private fun randomWorkers(maxCount: Int) =
        simulation.cloud.workers().shuffled(clock.random).take(1 + clock.random.nextInt(maxCount))

    private fun randomNode() = simulation.nodes[clock.random.nextInt(simulation.nodes.size)]

    private fun shuffledNodes(): List<String> = simulation.nodes.shuffled(clock.random)

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
                    // Some go on just inside their lease, some just outside it.
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
     * Deaf machines, copies and delays. A list of its own, so that earlier seeds keep their
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
                    simulation.nodes) dropMessagesRandomly(node, worker.id)
            },
            {
                simulation.network.copies = 0.2
                clock.after(40.seconds) { simulation.network.copies = 0.0 }
            },
            {
                // What was sent before a machine's end arrives after its deletion.
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
                // In the middle of the election that the first crash begins.
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

    /** Frozen controllers and zones that are cut off. */
    val partitionFaults: List<() -> Unit> =
        listOf(
            { simulation.freeze(randomNode(), clock.between(1.seconds, 30.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.freeze(it, clock.between(1.seconds, 30.seconds))
                }
            },
            {
                // A zone cut off with a controller in it.
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

    /** Cancellations and old messages that meet the other faults. */
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
                // The leader is cut off, and jobs are cancelled through the next one.
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
                // A leader ends while it does not hear some of its machines.
                for (worker in randomWorkers(4)) dropHeartbeatsFrom(
                    worker.id,
                    clock.between(5.seconds, 40.seconds),
                )
                simulation.leader()?.let {
                    simulation.crash(it, clock.between(100.milliseconds, 6.seconds))
                }
            },
        )

    /** The key-value store refuses the leader alone, jobs are cancelled, then it refuses all. */
    private fun storeOutageWithCancellations(duration: Micros) {
        val leaderOutage = clock.between(1.seconds, 14.seconds)
        simulation.leader()?.let { makeStoreUnavailable(it, leaderOutage + 3.seconds) }
        clock.after(clock.between(Micros.ZERO, leaderOutage)) {
            simulation.users.cancelNow(6, Micros.ZERO)
        }
        clock.after(leaderOutage) { makeStoreUnavailable(null, duration) }
    }

    private fun dropHeartbeatsFrom(worker: String, duration: Micros) {
        simulation.network.mute.add(worker)
        clock.after(duration) { simulation.network.mute.remove(worker) }
    }

    private fun dropMessagesToRandomZone(duration: Micros) {
        val zone = listOf("a", "b", "c").random(clock.random)
        for (worker in simulation.cloud.workers().filter { it.zone == zone }) dropMessagesTo(
            worker.id,
            duration,
        )
    }

    private fun dropMessages(from: String, to: String, duration: Micros) {
        simulation.network.part(from, to)
        clock.after(duration) { simulation.network.join(from, to) }
    }

    private fun dropMessagesRandomly(from: String, to: String) {
        val duration = clock.between(3.seconds, 40.seconds)
        dropMessages(from, to, duration)
        if (clock.chance(0.5)) dropMessages(to, from, duration)
    }

    /** Its heartbeats arrive; responses and commands do not reach it. */
    private fun dropMessagesTo(worker: String, duration: Micros) {
        for (node in simulation.nodes) dropMessages(node, worker, duration)
    }

    /** A controller without key-value store and peers, but with its workers. */
    private fun partitionFromStoreAndPeers(member: String, duration: Micros) {
        for (other in simulation.nodes - member + "state") {
            dropMessages(member, other, duration)
            dropMessages(other, member, duration)
        }
    }

    /** A controller that its workers do not reach, nor it them. */
    private fun partitionFromWorkers(member: String, duration: Micros) {
        for (worker in simulation.cloud.workers()) {
            dropMessages(member, worker.id, duration)
            dropMessages(worker.id, member, duration)
        }
    }

    private fun delayMessagesTo(host: String, delay: Micros) {
        simulation.network.slow[host] = delay
        clock.after(30.seconds) { simulation.network.slow.remove(host) }
    }

    private fun makeStoreUnavailable(member: String?, duration: Micros) {
        simulation.state.outage(member)
        clock.after(duration) { simulation.state.back(member) }
    }

    private fun holdMessages(host: String, duration: Micros) {
        simulation.network.cut(host)
        clock.after(duration) { simulation.network.mend(host) }
    }
}
