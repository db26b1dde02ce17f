package wardmux.sim

import java.util.PriorityQueue
import kotlin.random.Random
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Simulated time. Scheduled actions run in the order of their time, and those of the same time in
 * the order in which they were scheduled. All random values come from one seed.
 */
class SimulatedClock(seed: Long) {
    private class ScheduledAction(val at: Micros, val sequence: Long, val action: () -> Unit)

    val random = Random(seed)
    var now = Micros.ZERO
        private set

    private var sequence = 0L
    private val queue = PriorityQueue(compareBy<ScheduledAction>({ it.at.value }, { it.sequence }))

    /** Runs [action] once, [delay] from now. */
    fun after(delay: Micros, action: () -> Unit) {
        queue.add(ScheduledAction(now + delay, sequence++, action))
    }

    /** Runs [action] every [period], for the first time one [period] from now. */
    fun every(period: Micros, action: () -> Unit) {
        after(period) {
            action()
            every(period, action)
        }
    }

    /** Runs all actions that are due up to [until], and [afterEach] after each of them. */
    fun run(until: Micros, afterEach: () -> Unit) {
        while (queue.isNotEmpty() && queue.peek().at <= until) {
            val next = queue.poll()
            now = next.at
            next.action()
            afterEach()
        }
        now = until
    }

    /** A random time from [low] to [high], both inclusive. */
    fun randomBetween(low: Micros, high: Micros): Micros =
        Micros(random.nextLong(low.value, high.value + 1))

    /** Returns true with the given [probability]. */
    fun chance(probability: Double) = random.nextDouble() < probability
}

/** Delivers messages between named hosts, with the faults that are currently set. */
class Network(private val clock: SimulatedClock) {
    /** The probability that a message is lost. */
    var lossProbability = 0.0

    /**
     * The probability that a message arrives 2 to 40 s late, when the sender of a request has long
     * given up on it.
     */
    var longDelayProbability = 0.0

    /** The probability that a duplicate of a request arrives up to 45 s later. */
    var duplicateProbability = 0.0

    /**
     * The probability that a duplicate of a heartbeat arrives 2 to 45 s later, which can be long
     * after the worker's lease has expired.
     */
    var duplicateHeartbeatProbability = 0.0

    /**
     * The probability that a copy of a direct command, which also arrives in time, arrives up to
     * 300 s later, which is many times the length of a lease.
     */
    var duplicateCommandProbability = 0.0

    /**
     * Machines that cannot open a connection to any controller, so that their heartbeats are lost.
     * Direct commands still reach them.
     */
    val outboundBlocked = HashSet<String>()

    /** The extra latency of messages to a host, by host name. */
    val extraLatency = HashMap<String, Micros>()

    /** Pairs of sender and receiver whose messages are lost in this direction. */
    private val blockedPaths = HashSet<Pair<String, String>>()

    /** Isolated hosts. Messages from and to them are held until they are reconnected. */
    private val isolated = HashSet<String>()
    private val heldMessages = HashMap<String, MutableList<() -> Unit>>()

    /** Isolates [host]: messages from and to it are held until [reconnect]. */
    fun isolate(host: String) {
        isolated.add(host)
    }

    /** Ends the isolation of [host] and delivers the messages that were held meanwhile. */
    fun reconnect(host: String) {
        isolated.remove(host)
        heldMessages.remove(host)?.forEach { clock.after(randomLatency(), it) }
    }

    /** Loses all messages from [from] to [to]; the opposite direction still works. */
    fun blockPath(from: String, to: String) {
        blockedPaths.add(from to to)
    }

    /** Ends [blockPath] for this direction. */
    fun unblockPath(from: String, to: String) {
        blockedPaths.remove(from to to)
    }

    /**
     * Runs [action] a second time with [duplicateProbability], 0.2 to 45 s from now, which can be
     * well over the length of a lease. The caller drops the response.
     */
    fun maybeDuplicate(action: () -> Unit) {
        if (duplicateProbability > 0 && clock.chance(duplicateProbability)) {
            clock.after(clock.randomBetween(200.milliseconds, 45_000.milliseconds), action)
        }
    }

    /**
     * Delivers a heartbeat a second time with [duplicateHeartbeatProbability], 2 to 45 s from now,
     * which can be well over the length of a lease. The caller drops the response.
     */
    fun maybeDuplicateHeartbeat(action: () -> Unit) {
        if (duplicateHeartbeatProbability > 0 && clock.chance(duplicateHeartbeatProbability)) {
            clock.after(clock.randomBetween(2_000.milliseconds, 45_000.milliseconds), action)
        }
    }

    /**
     * Delivers a direct command a second time with [duplicateCommandProbability], 0.2 to 300 s from
     * now. The caller drops the response.
     */
    fun maybeDuplicateCommand(action: () -> Unit) {
        if (duplicateCommandProbability > 0 && clock.chance(duplicateCommandProbability)) {
            clock.after(clock.randomBetween(200.milliseconds, 300.seconds), action)
        }
    }

    /** The latency of an undisturbed message. */
    fun randomLatency(): Micros = clock.randomBetween(1.milliseconds, 8.milliseconds)

    /** Runs [action] when a message from [from] arrives at [to], unless the message is lost. */
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
