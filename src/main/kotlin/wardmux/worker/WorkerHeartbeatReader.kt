package wardmux.worker

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import java.util.Arrays

/**
 * Reads workers' reports. Most say what the machine's last one said, but for the tick: these are
 * told by comparing bytes, and cost no parsing. Their [WorkerHeartbeat.tasks] is the very list of
 * the last.
 */
class WorkerHeartbeatReader(
    /** What the reports that are kept may take together. */
    private val mostBytes: Long = Long.MAX_VALUE
) {
    private class Last(
        val body: ByteArray,
        /** Where the digits of the tick begin and end. */
        val from: Int,
        val to: Int,
        val report: WorkerHeartbeat,
    )

    private val lasts = Object2ObjectLinkedOpenHashMap<String, Last>()

    private var keptBytes = 0L

    /** How many reports had to be parsed: what reading costs. */
    var parsed = 0L
        private set

    /** Null if it is no report. */
    fun read(body: ByteArray): WorkerHeartbeat? {
        val name = textAfter(body, BOX)
        val from = numberAfter(body, TICK)
        if (name == null || from < 0) return parse(body)
        val to = digitsEnd(body, from)
        val last = lasts.getAndMoveToLast(name)
        if (last != null && isSame(body, from, to, last)) {
            val tick = number(body, from, to)
            if (tick != null) return last.report.copy(tick = tick)
        }
        val report = parse(body) ?: return null
        val asRead = report.machine == name && report.tick == number(body, from, to)
        if (asRead && body.size <= MOST_KEPT_BYTES) keep(name, Last(body, from, to, report))
        return report
    }

    private fun keep(name: String, last: Last) {
        val before = lasts.putAndMoveToLast(name, last)
        keptBytes += last.body.size - (before?.body?.size ?: 0)
        while (keptBytes > mostBytes) keptBytes -= lasts.removeFirst().body.size
    }

    private fun parse(body: ByteArray): WorkerHeartbeat? {
        parsed++
        return WorkerHeartbeat.parse(body)
    }

    private fun isSame(body: ByteArray, from: Int, to: Int, last: Last) =
        from == last.from &&
            Arrays.equals(body, 0, from, last.body, 0, last.from) &&
            Arrays.equals(body, to, body.size, last.body, last.to, last.body.size)

    private fun number(body: ByteArray, from: Int, to: Int): Long? =
        String(body, from, to - from, Charsets.ISO_8859_1).toLongOrNull()

    private fun digitsEnd(body: ByteArray, from: Int): Int {
        var at = from
        while (at < body.size && body[at] in ZERO..NINE) at++
        return at
    }

    /** Where the number begins that follows the first [field], or -1. */
    private fun numberAfter(body: ByteArray, field: ByteArray): Int {
        val at = valueAfter(body, field)
        return if (at in body.indices && body[at] in ZERO..NINE) at else -1
    }

    private fun textAfter(body: ByteArray, field: ByteArray): String? {
        val at = valueAfter(body, field)
        if (at !in body.indices || body[at] != QUOTE) return null
        var end = at + 1
        while (end < body.size && body[end] != QUOTE) end++
        return String(body, at + 1, end - at - 1, Charsets.ISO_8859_1)
    }

    private fun valueAfter(body: ByteArray, field: ByteArray): Int {
        var at = indexOf(body, field)
        if (at < 0) return -1
        at += field.size
        while (at < body.size && (body[at] == SPACE || body[at] == COLON)) at++
        return at
    }

    private fun indexOf(body: ByteArray, field: ByteArray): Int {
        val last = body.size - field.size
        for (at in 0..last) {
            if (body[at] == QUOTE && Arrays.equals(body, at, at + field.size, field, 0, field.size))
                return at
        }
        return -1
    }

    private companion object {
        val BOX = "\"box\"".encodeToByteArray()
        val TICK = "\"tick\"".encodeToByteArray()
        const val QUOTE = '"'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val COLON = ':'.code.toByte()
        const val ZERO = '0'.code.toByte()
        const val NINE = '9'.code.toByte()
        const val MOST_KEPT_BYTES = 8 * 1024
    }
}
