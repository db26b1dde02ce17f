package wardmux.sim

import java.util.PriorityQueue
import kotlin.random.Random
import wardmux.model.Micros
import wardmux.model.milliseconds

/** Simulated time: what is due is done in order, and all chance comes from one seed. */
class SimulatedClock(seed: Long) {
    private class ScheduledAction(val at: Micros, val sequence: Long, val action: () -> Unit)

    val random = Random(seed)
    var now = Micros.ZERO
        private set

    private var sequence = 0L
    private val queue = PriorityQueue(compareBy<ScheduledAction>({ it.at.value }, { it.sequence }))

    fun after(delay: Micros, action: () -> Unit) {
        queue.add(ScheduledAction(now + delay, sequence++, action))
    }

    fun every(period: Micros, action: () -> Unit) {
        after(period) {
            action()
            every(period, action)
        }
    }

    fun run(until: Micros, afterEach: () -> Unit) {
        while (queue.isNotEmpty() && queue.peek().at <= until) {
            val next = queue.poll()
            now = next.at
            next.action()
            afterEach()
        }
        now = until
    }

    fun randomBetween(low: Micros, high: Micros): Micros =
        Micros(random.nextLong(low.value, high.value + 1))

    fun chance(probability: Double) = random.nextDouble() < probability
}

/** What may happen to a message on its way. */
class Network(private val clock: SimulatedClock) {
    /** Part of the messages that are lost. */
    var lossProbability = 0.0

    /** Part of the requests that are carried out long after the asker has decommissioned. */
    var longDelayProbability = 0.0

    /** Part of the messages of which a copy arrives once more, long after. */
    var duplicateProbability = 0.0

    /** Part of the workers' reports of which a copy arrives again, up to long after their lease. */
    var duplicateHeartbeatProbability = 0.0

    /** Machines that open no connection to any controller; direct commands still reach them. */
    val outboundBlocked = HashSet<String>()

    /** What messages to a host take longer. */
    val extraLatency = HashMap<String, Micros>()

    /** Pairs of hosts of which the first does not reach the second; what is sent is lost. */
    private val blockedPaths = HashSet<Pair<String, String>>()

    /** Names of hosts that nobody reaches; what is sent to them is held until they are back. */
    private val isolated = HashSet<String>()
    private val heldMessages = HashMap<String, MutableList<() -> Unit>>()

    fun isolate(host: String) {
        isolated.add(host)
    }

    fun reconnect(host: String) {
        isolated.remove(host)
        heldMessages.remove(host)?.forEach { clock.after(randomLatency(), it) }
    }

    /** What [from] sends no longer reaches [to]; the other way it still does. */
    fun blockPath(from: String, to: String) {
        blockedPaths.add(from to to)
    }

    fun unblockPath(from: String, to: String) {
        blockedPaths.remove(from to to)
    }

    /** Again, from seconds to well over a lease later; nobody hears the answer. */
    fun maybeDuplicate(action: () -> Unit) {
        if (duplicateProbability > 0 && clock.chance(duplicateProbability)) {
            clock.after(clock.randomBetween(200.milliseconds, 45_000.milliseconds), action)
        }
    }

    /** A report, from 2 s to well over a lease later; nobody hears the answer. */
    fun maybeDuplicateHeartbeat(action: () -> Unit) {
        if (duplicateHeartbeatProbability > 0 && clock.chance(duplicateHeartbeatProbability)) {
            clock.after(clock.randomBetween(2_000.milliseconds, 45_000.milliseconds), action)
        }
    }

    fun randomLatency(): Micros = clock.randomBetween(1.milliseconds, 8.milliseconds)

    fun send(from: String, to: String, action: () -> Unit) {
        when {
            from to to in blockedPaths -> Unit
            from in isolated -> heldMessages.getOrPut(from) { ArrayList() }.add(action)
            to in isolated -> heldMessages.getOrPut(to) { ArrayList() }.add(action)
            clock.chance(lossProbability) -> Unit
            clock.chance(longDelayProbability) ->
                clock.after(clock.randomBetween(2_000.milliseconds, 40_000.milliseconds), action)
            else -> clock.after(randomLatency() + (extraLatency[to] ?: Micros.ZERO), action)
        }
    }
}
