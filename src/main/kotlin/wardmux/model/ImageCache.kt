package wardmux.model

/** The leader's estimate of which images a machine of [type] holds or fetches. */
class ImageCache(private val type: MachineType) {
    private class Image(val gb: Double, var readyAt: Micros)

    /** The least recently used one first. */
    private val images = LinkedHashMap<String, Image>()

    /** When all known fetches are over; kept, since each choice of a machine asks for it. */
    private var fetchesEnd = Micros.LONG_AGO

    /**
     * How long until [image] of [gb] GB is there. Fetches share the machine's rate, so one that
     * starts now is taken to come after those in progress.
     */
    fun waitTime(image: String, gb: Double, now: Micros): Micros {
        val readyAt = images[image]?.readyAt ?: return fetchesEnd(now) - now + fetchTime(gb)
        return maxOf(readyAt - now, Micros.ZERO)
    }

    /** A task with [image] is placed: the least recently used images give way to it. */
    fun recordUse(image: String, gb: Double, now: Micros) {
        val known = images.remove(image)
        images[image] = known ?: Image(gb, fetchesEnd(now) + fetchTime(gb))
        var total = images.values.sumOf { it.gb }
        val leastRecentlyUsed = images.entries.iterator()
        while (total > type.cacheGb && images.size > 1 && leastRecentlyUsed.hasNext()) {
            total -= leastRecentlyUsed.next().value.gb
            leastRecentlyUsed.remove()
        }
        updateFetchesEnd()
    }

    /** A task with [image] runs, so the image is there. */
    fun markReady(image: String, gb: Double, now: Micros) {
        // Known already, as with most heartbeats.
        if ((images[image]?.readyAt ?: Micros.NEVER) <= now) return
        recordUse(image, gb, now)
        val fetched = images[image] ?: return
        if (fetched.readyAt <= now) return
        fetched.readyAt = now
        updateFetchesEnd()
    }

    /** No task waits for [image] any more, so its fetch is cancelled if it is not over. */
    fun cancelFetch(image: String, now: Micros) {
        val fetched = images[image] ?: return
        if (fetched.readyAt <= now) return
        images.remove(image)
        updateFetchesEnd()
    }

    private fun updateFetchesEnd() {
        fetchesEnd = images.values.maxOfOrNull { it.readyAt } ?: Micros.LONG_AGO
    }

    private fun fetchesEnd(now: Micros): Micros = maxOf(fetchesEnd, now)

    private fun fetchTime(gb: Double) = (gb / type.fetchGbPerS).seconds
}
