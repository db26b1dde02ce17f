package wardmux.worker

import it.unimi.dsi.fastutil.objects.Object2ObjectLinkedOpenHashMap
import java.util.Arrays

/**
 * Reads workers' heartbeats. Most heartbeats differ from the machine's previous one only in the
 * tick. The reader recognizes these by comparing bytes and does not parse them; their
 * [WorkerHeartbeat.tasks] is the same list object as in the previous heartbeat.
 */
class WorkerHeartbeatReader(
    /** The maximum total size of all cached heartbeats, in bytes. */
    private val maxCachedBytes: Long = Long.MAX_VALUE
) {
    private class CachedHeartbeat(
        val body: ByteArray,
        /** The index of the tick's first digit in [body]. */
        val tickStart: Int,
        /** The index after the tick's last digit in [body]. */
        val tickEnd: Int,
        val heartbeat: WorkerHeartbeat,
    )

    /** The newest parsed heartbeats by machine id, the least recently read first. */
    private val cache = Object2ObjectLinkedOpenHashMap<String, CachedHeartbeat>()

    private var cachedBytes = 0L

    /** The number of heartbeats that were parsed, including invalid ones. */
    var parsedCount = 0L
        private set

    /** Returns the heartbeat in [body], or null if [body] is not a valid heartbeat. */
    fun read(body: ByteArray): WorkerHeartbeat? {
        val machine = stringAfter(body, MACHINE_FIELD)
        val tickStart = indexOfNumberAfter(body, TICK_FIELD)
        if (machine == null || tickStart < 0) return parse(body)
        val tickEnd = indexAfterDigits(body, tickStart)
        val previous = cache.getAndMoveToLast(machine)
        if (previous != null && differsOnlyInTick(body, tickStart, tickEnd, previous)) {
            val tick = parseNumber(body, tickStart, tickEnd)
            if (tick != null) return previous.heartbeat.copy(tick = tick)
        }
        val heartbeat = parse(body) ?: return null
        val scannedFieldsMatch =
            heartbeat.machine == machine && heartbeat.tick == parseNumber(body, tickStart, tickEnd)
        if (scannedFieldsMatch) {
            addToCache(machine, CachedHeartbeat(body, tickStart, tickEnd, heartbeat))
        }
        return heartbeat
    }

    private fun addToCache(machine: String, entry: CachedHeartbeat) {
        val replaced = cache.putAndMoveToLast(machine, entry)
        cachedBytes += entry.body.size - (replaced?.body?.size ?: 0)
        while (cachedBytes > maxCachedBytes) cachedBytes -= cache.removeFirst().body.size
    }

    private fun parse(body: ByteArray): WorkerHeartbeat? {
        parsedCount++
        return WorkerHeartbeat.parse(body)
    }

    private fun differsOnlyInTick(
        body: ByteArray,
        tickStart: Int,
        tickEnd: Int,
        previous: CachedHeartbeat,
    ) =
        tickStart == previous.tickStart &&
            Arrays.equals(body, 0, tickStart, previous.body, 0, tickStart) &&
            Arrays.equals(
                body,
                tickEnd,
                body.size,
                previous.body,
                previous.tickEnd,
                previous.body.size,
            )

    private fun parseNumber(body: ByteArray, from: Int, to: Int): Long? =
        String(body, from, to - from, Charsets.ISO_8859_1).toLongOrNull()

    private fun indexAfterDigits(body: ByteArray, from: Int): Int {
        var index = from
        while (index < body.size && body[index] in ZERO..NINE) index++
        return index
    }

    /**
     * Returns the index of the number after the first [field] in [body], or -1 if there is none.
     */
    private fun indexOfNumberAfter(body: ByteArray, field: ByteArray): Int {
        val index = indexOfValueAfter(body, field)
        return if (index in body.indices && body[index] in ZERO..NINE) index else -1
    }

    private fun stringAfter(body: ByteArray, field: ByteArray): String? {
        val index = indexOfValueAfter(body, field)
        if (index !in body.indices || body[index] != QUOTE) return null
        var end = index + 1
        while (end < body.size && body[end] != QUOTE) end++
        return String(body, index + 1, end - index - 1, Charsets.ISO_8859_1)
    }

    private fun indexOfValueAfter(body: ByteArray, field: ByteArray): Int {
        var index = indexOf(body, field)
        if (index < 0) return -1
        index += field.size
        while (index < body.size && (body[index] == SPACE || body[index] == COLON)) index++
        return index
    }

    private fun indexOf(body: ByteArray, field: ByteArray): Int {
        val last = body.size - field.size
        for (index in 0..last) {
            if (
                body[index] == QUOTE &&
                    Arrays.equals(body, index, index + field.size, field, 0, field.size)
            )
                return index
        }
        return -1
    }

    private companion object {
        val MACHINE_FIELD = "\"box\"".encodeToByteArray()
        val TICK_FIELD = "\"tick\"".encodeToByteArray()
        const val QUOTE = '"'.code.toByte()
        const val SPACE = ' '.code.toByte()
        const val COLON = ':'.code.toByte()
        const val ZERO = '0'.code.toByte()
        const val NINE = '9'.code.toByte()
    }
}
