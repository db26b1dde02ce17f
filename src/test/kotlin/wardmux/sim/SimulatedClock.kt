package wardmux.sim

import java.util.PriorityQueue
import kotlin.random.Random
import wardmux.model.Micros
import wardmux.model.milliseconds

/** Simulated time: what is due is done in order, and all chance comes from one seed. */
class SimulatedClock(seed: Long) {
    private class Due(val at: Micros, val order: Long, val action: () -> Unit)

    val random = Random(seed)
    var now = Micros.ZERO
        private set

    private var order = 0L
    private val queue = PriorityQueue(compareBy<Due>({ it.at.value }, { it.order }))

    fun after(delay: Micros, action: () -> Unit) {
        queue.add(Due(now + delay, order++, action))
    }

    fun every(period: Micros, action: () -> Unit) {
        after(period) {
            action()
            every(period, action)
        }
    }

    fun run(until: Micros, afterEach: () -> Unit) {
        while (queue.isNotEmpty() && queue.peek().at <= until) {
            val due = queue.poll()
            now = due.at
            due.action()
            afterEach()
        }
        now = until
    }

    fun between(low: Micros, high: Micros): Micros =
        Micros(random.nextLong(low.value, high.value + 1))

    fun chance(probability: Double) = random.nextDouble() < probability
}

/** What may happen to a message on its way. */
class Network(private val clock: SimulatedClock) {
    /** Part of the messages that are lost. */
    var loss = 0.0

    /** Part of the requests that are carried out long after the asker has decommissioned. */
    var late = 0.0

    /** Part of the messages of which a copy arrives once more, long after. */
    var copies = 0.0

    /** Part of the workers' reports of which a copy arrives again, up to long after their lease. */
    var lateReports = 0.0

    /** Machines that open no connection to any controller; direct commands still reach them. */
    val mute = HashSet<String>()

    /** What messages to a host take longer. */
    val slow = HashMap<String, Micros>()

    /** Pairs of hosts of which the first does not reach the second; what is sent is lost. */
    private val apart = HashSet<Pair<String, String>>()

    /** Names of hosts that nobody reaches; what is sent to them is held until they are back. */
    private val cut = HashSet<String>()
    private val held = HashMap<String, MutableList<() -> Unit>>()

    fun cut(host: String) {
        cut.add(host)
    }

    fun mend(host: String) {
        cut.remove(host)
        held.remove(host)?.forEach { clock.after(delay(), it) }
    }

    /** What [from] sends no longer reaches [to]; the other way it still does. */
    fun part(from: String, to: String) {
        apart.add(from to to)
    }

    fun join(from: String, to: String) {
        apart.remove(from to to)
    }

    /** Again, from seconds to well over a lease later; nobody hears the answer. */
    fun copy(action: () -> Unit) {
        if (copies > 0 && clock.chance(copies)) {
            clock.after(clock.between(200.milliseconds, 45_000.milliseconds), action)
        }
    }

    /** A report, from 2 s to well over a lease later; nobody hears the answer. */
    fun reportAgain(action: () -> Unit) {
        if (lateReports > 0 && clock.chance(lateReports)) {
            clock.after(clock.between(2_000.milliseconds, 45_000.milliseconds), action)
        }
    }

    fun delay(): Micros = clock.between(1.milliseconds, 8.milliseconds)

    fun send(from: String, to: String, action: () -> Unit) {
        when {
            from to to in apart -> Unit
            from in cut -> held.getOrPut(from) { ArrayList() }.add(action)
            to in cut -> held.getOrPut(to) { ArrayList() }.add(action)
            clock.chance(loss) -> Unit
            clock.chance(late) ->
                clock.after(clock.between(2_000.milliseconds, 40_000.milliseconds), action)
            else -> clock.after(delay() + (slow[to] ?: Micros.ZERO), action)
        }
    }
}
