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
            { simulation.crash(someNode(), clock.between(100.milliseconds, 8.seconds)) },
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
                for ((i, node) in members().withIndex()) {
                    clock.after((i * 7).seconds) { simulation.crash(node, 3.seconds) }
                }
            },
            { outage(null, clock.between(1.seconds, 25.seconds)) },
            { outage(someNode(), clock.between(1.seconds, 40.seconds)) },
            { simulation.leader()?.let { outage(it, clock.between(4.seconds, 40.seconds)) } },
            {
                simulation.cloud.down = true
                clock.after(20.seconds) { simulation.cloud.down = false }
            },
            { someWorkers(2).forEach { simulation.cloud.kill(it) } },
            { someWorkers(4).filter { it.spot }.forEach { simulation.cloud.takeBack(it) } },
            {
                for (worker in someWorkers(3).filter { it.spot }) {
                    worker.recallS = 10.0
                    clock.after(10.seconds) { simulation.cloud.takeBack(worker) }
                }
            },
            {
                for (worker in someWorkers(2)) {
                    worker.hanging = true
                    // Some go on just inside their lease, some just outside it.
                    clock.after(clock.between(2.seconds, 30.seconds)) { worker.hanging = false }
                }
            },
            { for (worker in someWorkers(2)) cut(worker.id, clock.between(3.seconds, 50.seconds)) },
            { cut(someNode(), clock.between(2.seconds, 30.seconds)) },
            { someWorkers(1).forEach { it.sick = true } },
            {
                simulation.network.late = 0.05
                clock.after(30.seconds) { simulation.network.late = 0.0 }
            },
            {
                simulation.network.loss = 0.1
                clock.after(20.seconds) { simulation.network.loss = 0.0 }
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
                for (worker in someWorkers(3)) deaf(worker.id, clock.between(5.seconds, 60.seconds))
            },
            {
                for (worker in someWorkers(2)) for (node in simulation.nodes) apart(node, worker.id)
            },
            {
                simulation.network.copies = 0.2
                clock.after(40.seconds) { simulation.network.copies = 0.0 }
            },
            {
                // What was sent before a machine's end arrives after its deletion.
                simulation.network.copies = 0.5
                someWorkers(2).forEach { simulation.cloud.kill(it) }
                clock.after(15.seconds) { simulation.network.copies = 0.0 }
            },
            { simulation.leader()?.let { alone(it, clock.between(8.seconds, 50.seconds)) } },
            { alone(someNode(), clock.between(8.seconds, 50.seconds)) },
            { simulation.leader()?.let { unheard(it, clock.between(8.seconds, 50.seconds)) } },
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
                    simulation.crash(someNode(), clock.between(20.milliseconds, 300.milliseconds))
                }
            },
            {
                val length = clock.between(5.seconds, 40.seconds)
                for (a in simulation.nodes) for (b in simulation.nodes) if (a != b)
                    part(a, b, length)
            },
            { slow("state", 60.milliseconds) },
            { slow(someNode(), 500.milliseconds) },
        )

    /** Frozen controllers and zones that are cut off. */
    val partitionFaults: List<() -> Unit> =
        listOf(
            { simulation.freeze(someNode(), clock.between(1.seconds, 30.seconds)) },
            {
                simulation.leader()?.let {
                    simulation.freeze(it, clock.between(1.seconds, 30.seconds))
                }
            },
            {
                // A zone cut off with a controller in it.
                val length = clock.between(5.seconds, 47.seconds)
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
                for (worker in someWorkers(4)) mute(worker.id, clock.between(5.seconds, 50.seconds))
            },
            { deafZone(clock.between(5.seconds, 40.seconds)) },
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
                simulation.leader()?.let { alone(it, clock.between(8.seconds, 50.seconds)) }
                clock.after(clock.between(1.seconds, 12.seconds)) {
                    simulation.users.cancelNow(6, Micros.ZERO)
                }
            },
            { gap(clock.between(5.seconds, 40.seconds)) },
            { gap(clock.between(40.seconds, 70.seconds)) },
            {
                // A leader ends while it does not hear some of its machines.
                for (worker in someWorkers(4)) mute(worker.id, clock.between(5.seconds, 40.seconds))
                simulation.leader()?.let {
                    simulation.crash(it, clock.between(100.milliseconds, 6.seconds))
                }
            },
        )

    /** The key-value store refuses the leader alone, jobs are cancelled, then it refuses all. */
    private fun gap(length: Micros) {
        val alone = clock.between(1.seconds, 14.seconds)
        simulation.leader()?.let { outage(it, alone + 3.seconds) }
        clock.after(clock.between(Micros.ZERO, alone)) {
            simulation.users.cancelNow(6, Micros.ZERO)
        }
        clock.after(alone) { outage(null, length) }
    }

    private fun mute(worker: String, length: Micros) {
        simulation.network.mute.add(worker)
        clock.after(length) { simulation.network.mute.remove(worker) }
    }

    private fun deafZone(length: Micros) {
        val zone = listOf("a", "b", "c").random(clock.random)
        for (worker in simulation.cloud.workers().filter { it.zone == zone }) deaf(
            worker.id,
            length,
        )
    }

    private fun part(from: String, to: String, length: Micros) {
        simulation.network.part(from, to)
        clock.after(length) { simulation.network.join(from, to) }
    }

    private fun apart(a: String, b: String) {
        val length = clock.between(3.seconds, 40.seconds)
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
        simulation.network.slow[host] = by
        clock.after(30.seconds) { simulation.network.slow.remove(host) }
    }

    private fun outage(member: String?, length: Micros) {
        simulation.state.outage(member)
        clock.after(length) { simulation.state.back(member) }
    }

    private fun cut(host: String, length: Micros) {
        simulation.network.cut(host)
        clock.after(length) { simulation.network.mend(host) }
    }
}
