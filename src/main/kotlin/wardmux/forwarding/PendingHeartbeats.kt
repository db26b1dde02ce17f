package wardmux.forwarding

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** The heartbeats of one batch. */
class BatchContent(
    /** The machines whose heartbeats are in [fullHeartbeats], in the same order. */
    val machines: List<String>,
    /** Heartbeats that differ from their machine's last forwarded one in more than the tick. */
    val fullHeartbeats: List<FullHeartbeat>,
    /** Unchanged heartbeats as pairs of number and tick, as in [HeartbeatBatch.unchanged]. */
    val unchanged: List<Long>,
)

/**
 * The heartbeats that this follower has answered and not yet forwarded. Changed heartbeats are
 * forwarded in full, unchanged ones by their number and tick.
 */
class PendingHeartbeats {
    private var lastNumber = 0L
    private val machines = HashMap<String, ForwardedMachine>()
    private val machineByNumber = Long2ObjectHashMap<String>()

    /** Names of the machines whose heartbeat will be forwarded in full. */
    private val changedMachines = LinkedHashSet<String>()

    /**
     * The newest tick of each unchanged heartbeat, by the number of the full heartbeat it equals.
     */
    private val tickByUnchangedNumber = Long2LongLinkedOpenHashMap()

    /** Whether no heartbeat is waiting to be put into a batch. */
    val isEmpty: Boolean
        get() = changedMachines.isEmpty() && tickByUnchangedNumber.isEmpty()

    /** The machine called [name]; null if it has sent no heartbeat to this follower. */
    operator fun get(name: String): ForwardedMachine? = machines[name]

    /** The machine called [name], which is added if it is new to this follower. */
    fun getOrAdd(name: String): ForwardedMachine = machines.getOrPut(name) { ForwardedMachine() }

    /**
     * Adds a heartbeat that was answered under the leader's [token]. [wasRenewed] says whether the
     * answer renewed the machine's lease. Returns true if the heartbeat has changed, so that it
     * should be forwarded soon.
     */
    fun addAnswered(
        machine: ForwardedMachine,
        heartbeat: WorkerHeartbeat,
        body: ByteArray,
        token: FencingToken?,
        wasRenewed: Boolean,
    ): Boolean {
        val last = machine.heartbeat
        if (last != null && last.copy(tick = heartbeat.tick) == heartbeat) {
            if (heartbeat.machine !in changedMachines)
                tickByUnchangedNumber.putAndMoveToLast(machine.heartbeatNumber, heartbeat.tick)
            else machine.heartbeatBody = body
            return false
        }
        if (token == null) return false
        // The answer gives the worker the new token, and the worker then sends another heartbeat.
        // It is enough to forward that one.
        if (
            wasRenewed &&
                FencingToken(heartbeat.token) < token &&
                machine.heldBackUnderToken != token
        ) {
            machine.heldBackUnderToken = token
            return false
        }
        machine.heartbeat = heartbeat
        machine.heartbeatBody = body
        assignNewNumber(heartbeat.machine, machine)
        return true
    }

    /**
     * Schedules the heartbeat with this [number] to be forwarded in full again. Returns false if
     * the number does not belong to the last heartbeat of a machine.
     */
    fun resend(number: Long): Boolean {
        val name = machineByNumber[number] ?: return false
        assignNewNumber(name, machines[name] ?: return false)
        return true
    }

    private fun assignNewNumber(name: String, machine: ForwardedMachine) {
        machineByNumber.remove(machine.heartbeatNumber)
        tickByUnchangedNumber.remove(machine.heartbeatNumber)
        machine.heartbeatNumber = ++lastNumber
        machineByNumber[machine.heartbeatNumber] = name
        changedMachines.add(name)
    }

    /**
     * Discards all heartbeats and instructions, because another controller has become the leader.
     * The new leader knows no heartbeat number and has sent no instructions for any machine.
     */
    fun reset() {
        changedMachines.clear()
        tickByUnchangedNumber.clear()
        machineByNumber.clear()
        for (machine in machines.values) {
            machine.heartbeat = null
            machine.heartbeatNumber = 0
            machine.isRejected = false
            machine.undeliveredCommands = null
        }
    }

    /**
     * Removes and returns the heartbeats of the next batch: full ones until their total size
     * reaches [maxBytes], and at most [maxUnchanged] unchanged ones.
     */
    fun takeBatch(maxBytes: Int, maxUnchanged: Int): BatchContent {
        val names = ArrayList<String>()
        val fullHeartbeats = ArrayList<FullHeartbeat>()
        var bytes = 0
        val remaining = changedMachines.iterator()
        while (remaining.hasNext() && bytes < maxBytes) {
            val name = remaining.next()
            remaining.remove()
            val machine = machines[name] ?: continue
            names.add(name)
            fullHeartbeats.add(FullHeartbeat(machine.heartbeatNumber, machine.heartbeatBody))
            bytes += machine.heartbeatBody.size
        }
        return BatchContent(names, fullHeartbeats, takeUnchanged(maxUnchanged))
    }

    private fun takeUnchanged(maxUnchanged: Int): List<Long> {
        val taken = ArrayList<Long>(tickByUnchangedNumber.size * 2)
        val entries = tickByUnchangedNumber.long2LongEntrySet().iterator()
        while (entries.hasNext() && taken.size / 2 < maxUnchanged) {
            val entry = entries.next()
            taken.add(entry.longKey)
            taken.add(entry.longValue)
            entries.remove()
        }
        return taken
    }

    /**
     * Makes the heartbeats of a lost batch pending again. If a machine has a newer heartbeat, that
     * one is forwarded instead.
     */
    fun putBack(content: BatchContent) {
        for (name in content.machines) if (name in machines) changedMachines.add(name)
        for (i in content.unchanged.indices step 2) {
            val number = content.unchanged[i]
            if (number in machineByNumber && !tickByUnchangedNumber.containsKey(number)) {
                tickByUnchangedNumber.put(number, content.unchanged[i + 1])
            }
        }
    }

    /** Removes machines whose last heartbeat was received before [time] and has been forwarded. */
    fun removeSilentMachines(time: Micros) {
        machines.entries.removeIf { (name, machine) ->
            val isSilent =
                machine.lastHeartbeatAt < time &&
                    name !in changedMachines &&
                    !tickByUnchangedNumber.containsKey(machine.heartbeatNumber)
            if (isSilent) machineByNumber.remove(machine.heartbeatNumber)
            isSilent
        }
    }
}
