package wardmux.sim

import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * All that may happen to a [simulation], for scenarios of every kind; [submit] brings one more job.
 */
class FaultInjector(private val simulation: ClusterSimulation, private val submit: () -> Unit) {
    private val clock = simulation.clock

    private fun someWorkers(most: Int) =
        simulation.cloud.workers().shuffled(clock.random).take(1 + clock.random.nextInt(most))

    private fun someNode() = simulation.nodes[clock.random.nextInt(simulation.nodes.size)]

    private fun members(): List<String> = simulation.nodes.shuffled(clock.random)

    val basicFaults: List<() -> Unit> =
        listOf(
            { simulation.crash(someNode(), clock.randomBetween(100.milliseconds, 8.seconds)) },
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
                for ((i, node) in members().withIndex()) {
                    clock.after((i * 7).seconds) { simulation.crash(node, 3.seconds) }
                }
            },
            { outage(null, clock.randomBetween(1.seconds, 25.seconds)) },
            { outage(someNode(), clock.randomBetween(1.seconds, 40.seconds)) },
            { simulation.leader()?.let { outage(it, clock.randomBetween(4.seconds, 40.seconds)) } },
            {
                simulation.cloud.unavailable = true
                clock.after(20.seconds) { simulation.cloud.unavailable = false }
            },
            { someWorkers(2).forEach { simulation.cloud.crash(it) } },
            { someWorkers(4).filter { it.spot }.forEach { simulation.cloud.reclaimSpot(it) } },
            {
                for (worker in someWorkers(3).filter { it.spot }) {
                    worker.recallS = 10.0
                    clock.after(10.seconds) { simulation.cloud.reclaimSpot(worker) }
                }
            },
            {
                for (worker in someWorkers(2)) {
                    worker.unresponsive = true
                    // Some go on just inside their lease, some just outside it.
                    clock.after(clock.randomBetween(2.seconds, 30.seconds)) {
                        worker.unresponsive = false
                    }
                }
            },
            {
                for (worker in someWorkers(2)) cut(
                    worker.id,
                    clock.randomBetween(3.seconds, 50.seconds),
                )
            },
            { cut(someNode(), clock.randomBetween(2.seconds, 30.seconds)) },
            { someWorkers(1).forEach { it.failsEveryTask = true } },
            {
                simulation.network.longDelayProbability = 0.05
                clock.after(30.seconds) { simulation.network.longDelayProbability = 0.0 }
            },
            {
                simulation.network.lossProbability = 0.1
                clock.after(20.seconds) { simulation.network.lossProbability = 0.0 }
            },
            { repeat(6) { submit() } },
        )

    /**
     * Deaf machines, copies and delays. A list of its own, so that earlier seeds keep their
     * scenarios.
     */
    val networkFaults: List<() -> Unit> =
        listOf(
            {
                for (worker in someWorkers(3)) deaf(
                    worker.id,
                    clock.randomBetween(5.seconds, 60.seconds),
                )
            },
            {
                for (worker in someWorkers(2)) for (node in simulation.nodes) apart(node, worker.id)
            },
            {
                simulation.network.duplicateProbability = 0.2
                clock.after(40.seconds) { simulation.network.duplicateProbability = 0.0 }
            },
            {
                // What was sent before a machine's end arrives after its deletion.
                simulation.network.duplicateProbability = 0.5
                someWorkers(2).forEach { simulation.cloud.crash(it) }
                clock.after(15.seconds) { simulation.network.duplicateProbability = 0.0 }
            },
            { simulation.leader()?.let { alone(it, clock.randomBetween(8.seconds, 50.seconds)) } },
            { alone(someNode(), clock.randomBetween(8.seconds, 50.seconds)) },
            {
                simulation.leader()?.let { unheard(it, clock.randomBetween(8.seconds, 50.seconds)) }
            },
            {
                for (node in simulation.nodes) {
                    simulation.crash(node, clock.randomBetween(20.milliseconds, 400.milliseconds))
                }
            },
            {
                // In the middle of the election that the first crash begins.
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(20.milliseconds, 300.milliseconds))
                }
                clock.after(clock.randomBetween(10.milliseconds, 5.seconds)) {
                    simulation.crash(
                        someNode(),
                        clock.randomBetween(20.milliseconds, 300.milliseconds),
                    )
                }
            },
            {
                val length = clock.randomBetween(5.seconds, 40.seconds)
                for (a in simulation.nodes) for (b in simulation.nodes) if (a != b)
                    part(a, b, length)
            },
            { slow("state", 60.milliseconds) },
            { slow(someNode(), 500.milliseconds) },
        )

    /** Frozen controllers and zones that are cut off. */
    val partitionFaults: List<() -> Unit> =
        listOf(
            { simulation.freeze(someNode(), clock.randomBetween(1.seconds, 30.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.freeze(it, clock.randomBetween(1.seconds, 30.seconds))
                }
            },
            {
                // A zone cut off with a controller in it.
                val length = clock.randomBetween(5.seconds, 47.seconds)
                val inside = simulation.cloud.workers().filter { it.zone == "a" }.map { it.id }
                for (host in inside + simulation.nodes.first()) {
                    for (other in simulation.nodes.drop(1) + "state" + "cloud" + "user") {
                        part(host, other, length)
                        part(other, host, length)
                    }
                }
            },
        )

    /** Cancellations and old messages that meet the other faults. */
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
                for (worker in someWorkers(4)) mute(
                    worker.id,
                    clock.randomBetween(5.seconds, 50.seconds),
                )
            },
            { deafZone(clock.randomBetween(5.seconds, 40.seconds)) },
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
                // The leader is cut off, and jobs are cancelled through the next one.
                simulation.leader()?.let { alone(it, clock.randomBetween(8.seconds, 50.seconds)) }
                clock.after(clock.randomBetween(1.seconds, 12.seconds)) {
                    simulation.users.cancelRunningJobs(6, Micros.ZERO)
                }
            },
            { gap(clock.randomBetween(5.seconds, 40.seconds)) },
            { gap(clock.randomBetween(40.seconds, 70.seconds)) },
            {
                // A leader ends while it does not hear some of its machines.
                for (worker in someWorkers(4)) mute(
                    worker.id,
                    clock.randomBetween(5.seconds, 40.seconds),
                )
                simulation.leader()?.let {
                    simulation.crash(it, clock.randomBetween(100.milliseconds, 6.seconds))
                }
            },
        )

    /** The key-value store refuses the leader alone, jobs are cancelled, then it refuses all. */
    private fun gap(length: Micros) {
        val alone = clock.randomBetween(1.seconds, 14.seconds)
        simulation.leader()?.let { outage(it, alone + 3.seconds) }
        clock.after(clock.randomBetween(Micros.ZERO, alone)) {
            simulation.users.cancelRunningJobs(6, Micros.ZERO)
        }
        clock.after(alone) { outage(null, length) }
    }

    private fun mute(worker: String, length: Micros) {
        simulation.network.outboundBlocked.add(worker)
        clock.after(length) { simulation.network.outboundBlocked.remove(worker) }
    }

    private fun deafZone(length: Micros) {
        val zone = listOf("a", "b", "c").random(clock.random)
        for (worker in simulation.cloud.workers().filter { it.zone == zone }) deaf(
            worker.id,
            length,
        )
    }

    private fun part(from: String, to: String, length: Micros) {
        simulation.network.blockPath(from, to)
        clock.after(length) { simulation.network.unblockPath(from, to) }
    }

    private fun apart(a: String, b: String) {
        val length = clock.randomBetween(3.seconds, 40.seconds)
        part(a, b, length)
        if (clock.chance(0.5)) part(b, a, length)
    }

    /** Its heartbeats arrive; responses and commands do not reach it. */
    private fun deaf(worker: String, length: Micros) {
        for (node in simulation.nodes) part(node, worker, length)
    }

    /** A controller without key-value store and peers, but with its workers. */
    private fun alone(member: String, length: Micros) {
        for (other in simulation.nodes - member + "state") {
            part(member, other, length)
            part(other, member, length)
        }
    }

    /** A controller that its workers do not reach, nor it them. */
    private fun unheard(member: String, length: Micros) {
        for (worker in simulation.cloud.workers()) {
            part(member, worker.id, length)
            part(worker.id, member, length)
        }
    }

    private fun slow(host: String, by: Micros) {
        simulation.network.extraLatency[host] = by
        clock.after(30.seconds) { simulation.network.extraLatency.remove(host) }
    }

    private fun outage(member: String?, length: Micros) {
        simulation.store.startOutage(member)
        clock.after(length) { simulation.store.endOutage(member) }
    }

    private fun cut(host: String, length: Micros) {
        simulation.network.isolate(host)
        clock.after(length) { simulation.network.reconnect(host) }
    }
}
