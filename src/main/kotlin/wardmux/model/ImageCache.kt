package wardmux.model

/** The leader's estimate of which images a machine of [type] holds or fetches. */
class ImageCache(private val type: MachineType) {
    private class Image(val sizeGb: Double, var readyAt: Micros)

    /** The least recently used one first. */
    private val images = LinkedHashMap<String, Image>()

    /** When all known fetches are over; kept, since each choice of a machine asks for it. */
    private var lastFetchEnd = Micros.LONG_AGO

    /**
     * How long until [image] of [imageGb] GB is there. Fetches share the machine's rate, so one
     * that starts now is taken to come after those in progress.
     */
    fun waitTime(image: String, imageGb: Double, now: Micros): Micros {
        val readyAt =
            images[image]?.readyAt ?: return nextFetchStart(now) - now + fetchTime(imageGb)
        return maxOf(readyAt - now, Micros.ZERO)
    }

    /** A task with [image] is placed: the least recently used images give way to it. */
    fun recordUse(image: String, imageGb: Double, now: Micros) {
        val cached = images.remove(image)
        images[image] = cached ?: Image(imageGb, nextFetchStart(now) + fetchTime(imageGb))
        var totalGb = images.values.sumOf { it.sizeGb }
        val leastRecentlyUsed = images.entries.iterator()
        while (totalGb > type.cacheGb && images.size > 1 && leastRecentlyUsed.hasNext()) {
            totalGb -= leastRecentlyUsed.next().value.sizeGb
            leastRecentlyUsed.remove()
        }
        updateLastFetchEnd()
    }

    /** A task with [image] runs, so the image is there. */
    fun markReady(image: String, imageGb: Double, now: Micros) {
        // Known already, as with most heartbeats.
        if ((images[image]?.readyAt ?: Micros.NEVER) <= now) return
        recordUse(image, imageGb, now)
        val cached = images[image] ?: return
        if (cached.readyAt <= now) return
        cached.readyAt = now
        updateLastFetchEnd()
    }

    /** No task waits for [image] any more, so its fetch is cancelled if it is not over. */
    fun cancelFetch(image: String, now: Micros) {
        val cached = images[image] ?: return
        if (cached.readyAt <= now) return
        images.remove(image)
        updateLastFetchEnd()
    }

    private fun updateLastFetchEnd() {
        lastFetchEnd = images.values.maxOfOrNull { it.readyAt } ?: Micros.LONG_AGO
    }

    private fun nextFetchStart(now: Micros): Micros = maxOf(lastFetchEnd, now)

    private fun fetchTime(imageGb: Double) = (imageGb / type.fetchGbPerS).seconds
}
