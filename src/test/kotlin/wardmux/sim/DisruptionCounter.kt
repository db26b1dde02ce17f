package wardmux.sim

import wardmux.model.Micros

/** Why a worker's task no longer runs. */
enum class DisruptionCause {
    /** A controller commanded the worker to stop it. */
    STOPPED,

    /** It was stopped on a spot machine that the cloud is about to preempt. */
    PREEMPTED,

    /** It failed, or its machine or the worker's incarnation ended. */
    CRASHED,
}

/**
 * Counts the disrupted tasks of each team from the workers' own records alone. A task is disrupted
 * from the moment it is stopped, fails or loses its machine until it runs again, is done or is
 * cancelled.
 */
class DisruptionCounter {
    /** The stop of a running task, and the tasks of its [team] that were [disrupted] just then. */
    class Stop(val at: Micros, val team: String, val disrupted: Map<String, Disruption>)

    class Disruption(val at: Micros, val cause: DisruptionCause)

    private val teamOf = HashMap<String, String>()
    private val disruptedByTeam = HashMap<String, LinkedHashMap<String, Disruption>>()
    private val peakByTeam = HashMap<String, Int>()

    /** Each stop of a running task by a controller, in order. */
    val stops = ArrayList<Stop>()

    /** The most tasks of [team] that were disrupted at once. */
    fun peakOf(team: String): Int = peakByTeam[team] ?: 0

    /** The tasks of [team] that are disrupted now. */
    fun disruptedTasks(team: String): Set<String> = disruptedByTeam[team]?.keys.orEmpty()

    /** [task] runs from [now] on and is not disrupted any more. */
    fun recordRunning(now: Micros, task: String, team: String) {
        check(now >= Micros.ZERO)
        teamOf[task] = team
        disruptedByTeam[team]?.remove(task)
    }

    /** [task] no longer runs. Ignored for a task that never ran or is disrupted already. */
    fun recordDisruption(now: Micros, task: String, cause: DisruptionCause) {
        val team = teamOf[task] ?: return
        val disrupted = disruptedByTeam.getOrPut(team) { LinkedHashMap() }
        if (task in disrupted) return
        disrupted[task] = Disruption(now, cause)
        peakByTeam.merge(team, disrupted.size, ::maxOf)
        if (cause == DisruptionCause.STOPPED) stops.add(Stop(now, team, HashMap(disrupted)))
    }

    /** [task] is done and does not count as disrupted. */
    fun recordDone(task: String) {
        teamOf.remove(task)?.let { disruptedByTeam[it]?.remove(task) }
    }

    /** The user cancels [job], so its tasks do not count as disrupted. */
    fun recordCancellation(job: String) {
        for (task in teamOf.keys.filter { it.substringBefore('/') == job }) recordDone(task)
    }

    /**
     * Describes each stop after which a team had more than [limit] disrupted tasks.
     *
     * @param detectionDelay disruptions other than stops do not count for this time, because the
     *   leader cannot know of them yet
     * @param during the time in which stops are checked. Budgets apply to drains only: without a
     *   drain, the scheduler moves replicas off the machines that it returns to the cloud.
     */
    fun stopsOverLimit(
        limit: (team: String) -> Int,
        detectionDelay: Micros,
        during: ClosedRange<Micros> = Micros.ZERO..Micros.NEVER,
    ): List<String> =
        stops
            .filter { it.at in during }
            .mapNotNull { stop ->
                val known =
                    stop.disrupted.filterValues {
                        it.cause == DisruptionCause.STOPPED || stop.at - it.at > detectionDelay
                    }
                if (known.size <= limit(stop.team)) null
                else "${stop.team} has disrupted tasks ${known.keys} at ${stop.at.inSeconds} s"
            }
}
