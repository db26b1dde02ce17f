package wardmux.fleet

import wardmux.MachineId
import wardmux.Micros
import wardmux.TaskId
import wardmux.cloud.MachineType
import wardmux.intake.JobSpec
import wardmux.secs

/** A machine as the leader knows it. */
class Machine(val id: MachineId, val type: MachineType, val zone: String, val spot: Boolean) {
    var shift = 0L
    var tick = -1L

    /** When its last report came; its lease may run from then if that was answered. */
    var heardAt: Micros? = null

    /** Where it takes direct orders. */
    var endpoint = ""

    /** A direct order is under way; one at a time. */
    var directBusy = false

    /** Direct orders went unanswered in this session, so they may be carried out at any time. */
    var directBroken = false

    /**
     * Attempts whose direct start is under way or went unanswered. While that is so, their absence
     * from a report proves nothing, and they are not forgotten: a start that is carried out after
     * it would run the attempt once more.
     */
    val loose = HashSet<Pair<TaskId, Int>>()

    /** It has reported under this leader's token, so no earlier leader can order it about. */
    var confirmed = false
    var recalledAt: Micros? = null

    /** When the cloud takes it, as its notice says. */
    var takenAt = Micros.NEVER
    var condemned = false
    var condemnedWhy = ""
    var deleting = false

    var idleSince = Micros.ZERO
    var pausedUntil = Micros.LONG_AGO

    /** Jobs whose tasks failed here since one last completed, with how many did. */
    val failures = HashMap<String, Int>()

    val placements = LinkedHashMap<TaskId, Placement>()

    /** Reported without a record: they take room until they are gone. */
    var strays = emptyList<JobSpec>()

    private val images = LinkedHashMap<String, Image>()
    private var usedCpus = 0.0
    private var usedGpus = 0.0
    private var usedMemory = 0.0

    val up: Boolean
        get() = heardAt != null

    val empty: Boolean
        get() = placements.isEmpty() && strays.isEmpty()

    /** The larger of the booked shares of CPU, GPU and memory. */
    val load: Double
        get() =
            maxOf(
                usedCpus / type.cpus,
                usedMemory / type.memoryGb,
                if (type.gpus > 0) usedGpus / type.gpus else 0.0,
            )

    val freeCpus: Double
        get() = type.cpus - usedCpus - strays.sumOf { it.cpus }

    fun fits(spec: JobSpec): Boolean {
        val slack = MachineType.EPSILON
        return spec.cpus <= freeCpus + slack &&
            spec.gpus <= type.gpus - usedGpus - strays.sumOf { it.gpus } + slack &&
            spec.memoryGb <= type.memoryGb - usedMemory - strays.sumOf { it.memoryGb } + slack
    }

    fun add(placement: Placement) {
        placements[placement.task] = placement
        book(placement.job.spec, 1)
    }

    fun remove(placement: Placement, now: Micros) {
        if (placements[placement.task] !== placement) return
        placements.remove(placement.task)
        book(placement.job.spec, -1)
        if (empty) idleSince = now
    }

    private fun book(spec: JobSpec, sign: Int) {
        usedCpus += sign * spec.cpus
        usedGpus += sign * spec.gpus
        usedMemory += sign * spec.memoryGb
        if (placements.isEmpty()) {
            usedCpus = 0.0
            usedGpus = 0.0
            usedMemory = 0.0
        }
    }

    /**
     * How long until an image is there. Fetches share the machine's rate, so one that starts now is
     * taken to come after those that are under way.
     */
    fun imageWait(image: String, gb: Double, now: Micros): Micros {
        val readyAt = images[image]?.readyAt ?: return fetchEnd(now) - now + fetchTime(gb)
        return maxOf(readyAt - now, Micros.ZERO)
    }

    /** The most recently used images stay as long as the cache holds them. */
    fun useImage(image: String, gb: Double, now: Micros) {
        val known = images.remove(image)
        images[image] = known ?: Image(gb, fetchEnd(now) + fetchTime(gb))
        var total = images.values.sumOf { it.gb }
        val oldest = images.entries.iterator()
        while (total > type.cacheGb && images.size > 1 && oldest.hasNext()) {
            total -= oldest.next().value.gb
            oldest.remove()
        }
    }

    fun needs(image: String) = placements.values.any { it.job.spec.image == image }

    /** A task with this image runs. */
    fun imageReady(image: String, gb: Double, now: Micros) {
        useImage(image, gb, now)
        images[image]?.let { if (it.readyAt > now) it.readyAt = now }
    }

    /** No task waits for the image any more, so its fetch is given up. */
    fun fetchGivenUp(image: String, now: Micros) {
        images[image]?.let { if (it.readyAt > now) images.remove(image) }
    }

    private fun fetchEnd(now: Micros): Micros =
        images.values.maxOfOrNull { it.readyAt }?.takeIf { it > now } ?: now

    private fun fetchTime(gb: Double) = (gb / type.fetchGbPerS).secs

    private class Image(val gb: Double, var readyAt: Micros)
}
