package wardmux.model

/** The leader's estimate of which images a machine of [type] has cached or is fetching. */
class ImageCache(private val type: MachineType) {
    private class Image(val sizeGb: Double, var readyAt: Micros)

    /** Images by name, ordered from the least to the most recently used. */
    private val images = LinkedHashMap<String, Image>()

    /**
     * The time at which the last known fetch ends. It is cached because it is read whenever a
     * machine is chosen for a task.
     */
    private var lastFetchEnd = Micros.LONG_AGO

    /**
     * The estimated time until [image], which has a size of [imageGb] GB, is on the machine.
     * Fetches share the machine's bandwidth, so a fetch that starts now is assumed to run after all
     * fetches in progress.
     */
    fun waitTime(image: String, imageGb: Double, now: Micros): Micros {
        val readyAt =
            images[image]?.readyAt ?: return nextFetchStart(now) - now + fetchTime(imageGb)
        return maxOf(readyAt - now, Micros.ZERO)
    }

    /**
     * Records that a task with [image] is placed on the machine. The least recently used images are
     * evicted until the remaining ones fit the machine's cache.
     */
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

    /** Records that a task with [image] runs, which shows that the image is on the machine. */
    fun markReady(image: String, imageGb: Double, now: Micros) {
        // The image is usually known to be ready already, because every heartbeat reports its task.
        if ((images[image]?.readyAt ?: Micros.NEVER) <= now) return
        recordUse(image, imageGb, now)
        val cached = images[image] ?: return
        if (cached.readyAt <= now) return
        cached.readyAt = now
        updateLastFetchEnd()
    }

    /**
     * Records that no task waits for [image] any more. Its fetch is cancelled unless it is
     * complete.
     */
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
