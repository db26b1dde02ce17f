package wardmux.forwarding

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** The heartbeats of one batch. */
class BatchContent(
    /** The machines whose heartbeats are in [full], in the same order. */
    val machines: List<String>,
    /** Heartbeats that differ from the last one. */
    val full: List<FullHeartbeat>,
    /** Unchanged heartbeats, as in [HeartbeatBatch.unchanged]. */
    val unchanged: List<Long>,
)

/**
 * The heartbeats that this follower has answered and not yet forwarded: changed ones in full,
 * unchanged ones by their number and tick.
 */
class PendingHeartbeats {
    private var lastNumber = 0L
    private val machines = HashMap<String, ForwardedMachine>()
    private val byNumber = Long2ObjectHashMap<String>()

    /** Machines whose heartbeat is to be sent in full. */
    private val changed = LinkedHashSet<String>()

    /** The newest tick, by the number of the full heartbeat that is still the same. */
    private val unchanged = Long2LongLinkedOpenHashMap()

    /** Whether all heartbeats are in a batch that was sent. */
    val isEmpty: Boolean
        get() = changed.isEmpty() && unchanged.isEmpty()

    /** The machine of this name, or null if it has sent no heartbeat here. */
    operator fun get(name: String): ForwardedMachine? = machines[name]

    /** The machine of this name; it is added if it is new here. */
    fun getOrAdd(name: String): ForwardedMachine = machines.getOrPut(name) { ForwardedMachine() }

    /**
     * Adds a heartbeat that was answered under the leader's [token]; [renewed] says whether the
     * answer renewed the lease. True if it is to be forwarded soon.
     */
    fun add(
        machine: ForwardedMachine,
        heartbeat: WorkerHeartbeat,
        body: ByteArray,
        token: FencingToken?,
        renewed: Boolean,
    ): Boolean {
        val last = machine.heartbeat
        if (last != null && last.copy(tick = heartbeat.tick) == heartbeat) {
            if (heartbeat.machine !in changed)
                unchanged.putAndMoveToLast(machine.number, heartbeat.tick)
            else machine.body = body
            return false
        }
        if (token == null) return false
        // Its worker takes the new token and sends another heartbeat, which is enough to forward.
        if (renewed && FencingToken(heartbeat.token) < token && machine.heldBackUnder != token) {
            machine.heldBackUnder = token
            return false
        }
        machine.heartbeat = heartbeat
        machine.body = body
        renumber(heartbeat.machine, machine)
        return true
    }

    /** Has the heartbeat of this number sent in full again; false if it is no longer the last. */
    fun resend(number: Long): Boolean {
        val name = byNumber[number] ?: return false
        renumber(name, machines[name] ?: return false)
        return true
    }

    private fun renumber(name: String, machine: ForwardedMachine) {
        byNumber.remove(machine.number)
        unchanged.remove(machine.number)
        machine.number = ++lastNumber
        byNumber[machine.number] = name
        changed.add(name)
    }

    /** Another controller leads: it knows no heartbeat, and has said nothing of the machines. */
    fun reset() {
        changed.clear()
        unchanged.clear()
        byNumber.clear()
        for (machine in machines.values) {
            machine.heartbeat = null
            machine.number = 0
            machine.isRejected = false
            machine.undelivered = null
        }
    }

    /**
     * Takes out the heartbeats of the next batch: full ones until they take [maxBytes], and at most
     * [maxUnchanged] unchanged ones.
     */
    fun takeBatch(maxBytes: Int, maxUnchanged: Int): BatchContent {
        val names = ArrayList<String>()
        val full = ArrayList<FullHeartbeat>()
        var bytes = 0
        val rest = changed.iterator()
        while (rest.hasNext() && bytes < maxBytes) {
            val name = rest.next()
            rest.remove()
            val machine = machines[name] ?: continue
            names.add(name)
            full.add(FullHeartbeat(machine.number, machine.body))
            bytes += machine.body.size
        }
        return BatchContent(names, full, takeUnchanged(maxUnchanged))
    }

    private fun takeUnchanged(maxUnchanged: Int): List<Long> {
        val taken = ArrayList<Long>(unchanged.size * 2)
        val entries = unchanged.long2LongEntrySet().iterator()
        while (entries.hasNext() && taken.size / 2 < maxUnchanged) {
            val entry = entries.next()
            taken.add(entry.longKey)
            taken.add(entry.longValue)
            entries.remove()
        }
        return taken
    }

    /** Returns the heartbeats of a batch that was lost, unless there are newer ones. */
    fun putBack(content: BatchContent) {
        for (name in content.machines) if (name in machines) changed.add(name)
        for (i in content.unchanged.indices step 2) {
            val number = content.unchanged[i]
            if (number in byNumber && !unchanged.containsKey(number)) {
                unchanged.put(number, content.unchanged[i + 1])
            }
        }
    }

    /** Removes machines whose last heartbeat came before [time] and was forwarded. */
    fun removeSilent(time: Micros) {
        machines.entries.removeIf { (name, machine) ->
            val isSilent =
                machine.lastHeartbeatAt < time &&
                    name !in changed &&
                    !unchanged.containsKey(machine.number)
            if (isSilent) byNumber.remove(machine.number)
            isSilent
        }
    }
}
