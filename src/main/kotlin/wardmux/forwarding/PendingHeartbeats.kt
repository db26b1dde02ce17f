package wardmux.forwarding

import it.unimi.dsi.fastutil.longs.Long2LongLinkedOpenHashMap
import org.agrona.collections.Long2ObjectHashMap
import wardmux.model.FencingToken
import wardmux.model.Micros
import wardmux.worker.WorkerHeartbeat

/** A machine that reports to this relay. */
class ForwardedMachine {
    /** The last report that the leader is told of whole, or null if there is none. */
    var report: WorkerHeartbeat? = null

    /** The bytes of [report], with its newest tick while it is still to be sent. */
    var body = ByteArray(0)

    /** The number of [report]; 0 if there is none. */
    var number = 0L

    /** When it last reported. */
    var lastHeartbeatAt = Micros.ZERO

    /** The leader wants it not to be answered any more. */
    var rejected = false

    /** What it is told with the answer to its next report. */
    var undelivered: UndeliveredCommands? = null

    /** When it was last redirected because the leader was unsure of its lease. */
    var redirectedAt = Micros.LONG_AGO

    /** The token under which a report with an older one was let pass once. */
    var passedUnder: FencingToken? = null
}

/** What one batch tells the leader. */
class BatchContent(
    /** The machines whose reports are in [reports], in the same order. */
    val machines: List<String>,
    /** Reports that changed. */
    val reports: List<FullHeartbeat>,
    /** Signs of life, two numbers each: of the report that still holds, and the tick. */
    val unchanged: List<Long>,
)

/**
 * What this relay has heard and not yet told the leader: changed reports whole, unchanged ones by
 * their number and tick.
 */
class PendingHeartbeats {
    private var lastNumber = 0L
    private val machines = HashMap<String, ForwardedMachine>()
    private val byNumber = Long2ObjectHashMap<String>()

    /** Machines whose report is to be sent changed. */
    private val changed = LinkedHashSet<String>()

    /** The newest tick by the number of the report that still holds. */
    private val unchanged = Long2LongLinkedOpenHashMap()

    /** All that was heard is in a batch that was sent. */
    val isEmpty: Boolean
        get() = changed.isEmpty() && unchanged.isEmpty()

    /** The machine of this name, or null if it has not reported here. */
    operator fun get(name: String): ForwardedMachine? = machines[name]

    /** The machine of this name, from now on one that reports here. */
    fun getOrAdd(name: String): ForwardedMachine = machines.getOrPut(name) { ForwardedMachine() }

    /**
     * Takes in a report under the leader's [token], whose answer [renewed] the lease or did not;
     * true if the leader is to hear of it soon.
     */
    fun add(
        machine: ForwardedMachine,
        report: WorkerHeartbeat,
        body: ByteArray,
        token: FencingToken?,
        renewed: Boolean,
    ): Boolean {
        val last = machine.report
        if (last != null && last.copy(tick = report.tick) == report) {
            if (report.machine !in changed) unchanged.putAndMoveToLast(machine.number, report.tick)
            else machine.body = body
            return false
        }
        if (token == null) return false
        // Renewed, it takes the token and reports once more: enough that the leader hears that.
        if (renewed && FencingToken(report.token) < token && machine.passedUnder != token) {
            machine.passedUnder = token
            return false
        }
        machine.report = report
        machine.body = body
        renumber(report.machine, machine)
        return true
    }

    /** The leader does not know the report of this number; true if it is sent whole again. */
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

    /** Another leader, which has been told nothing yet and has said nothing of the machines. */
    fun reset() {
        changed.clear()
        unchanged.clear()
        byNumber.clear()
        for (machine in machines.values) {
            machine.report = null
            machine.number = 0
            machine.rejected = false
            machine.undelivered = null
        }
    }

    /**
     * Takes out what the next batch holds: reports until [maxBytes], and at most [maxUnchanged].
     */
    fun takeBatch(maxBytes: Int, maxUnchanged: Int): BatchContent {
        val names = ArrayList<String>()
        val reports = ArrayList<FullHeartbeat>()
        var bytes = 0
        val rest = changed.iterator()
        while (rest.hasNext() && bytes < maxBytes) {
            val name = rest.next()
            rest.remove()
            val machine = machines[name] ?: continue
            names.add(name)
            reports.add(FullHeartbeat(machine.number, machine.body))
            bytes += machine.body.size
        }
        return BatchContent(names, reports, takeUnchanged(maxUnchanged))
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

    /** The batch was lost: what it told is told again, unless there is something newer. */
    fun putBack(content: BatchContent) {
        for (name in content.machines) if (name in machines) changed.add(name)
        for (i in content.unchanged.indices step 2) {
            val number = content.unchanged[i]
            if (number in byNumber && !unchanged.containsKey(number)) {
                unchanged.put(number, content.unchanged[i + 1])
            }
        }
    }

    /** Forgets machines last heard before [old]; not one of which there is more to tell. */
    fun removeSilent(old: Micros) {
        machines.entries.removeIf { (name, machine) ->
            val gone =
                machine.lastHeartbeatAt < old &&
                    name !in changed &&
                    !unchanged.containsKey(machine.number)
            if (gone) byNumber.remove(machine.number)
            gone
        }
    }
}
