package wardmux.sim

import wardmux.model.Micros

/** Why a worker's task no longer runs. */
enum class DisruptionCause {
    /** A controller told it to stop. */
    STOPPED,

    /** It was told to stop on a machine that the cloud is about to take. */
    PREEMPTED,

    /** It failed, or its machine or incarnation ended. */
    CRASHED,
}

/**
 * Which tasks each team has lost, by the workers' own records alone: from the moment a task that
 * ran is told to stop, fails or loses its machine, until it runs again or is over.
 */
class DisruptionCounter {
    /** A task that was told to stop, and which of its team's tasks were lost with it then. */
    class Stop(val at: Micros, val team: String, val disrupted: Map<String, Disruption>)

    class Disruption(val at: Micros, val cause: DisruptionCause)

    private val teamOf = HashMap<String, String>()
    private val disruptedByTeam = HashMap<String, LinkedHashMap<String, Disruption>>()
    private val peakByTeam = HashMap<String, Int>()

    /** Each stop of a task that ran, in order. */
    val stops = ArrayList<Stop>()

    /** The most that the team had lost at once. */
    fun peakOf(team: String): Int = peakByTeam[team] ?: 0

    /** What the team has lost now. */
    fun disruptedTasks(team: String): Set<String> = disruptedByTeam[team]?.keys.orEmpty()

    fun recordRunning(now: Micros, task: String, team: String) {
        check(now >= Micros.ZERO)
        teamOf[task] = team
        disruptedByTeam[team]?.remove(task)
    }

    fun recordDisruption(now: Micros, task: String, cause: DisruptionCause) {
        val team = teamOf[task] ?: return
        val disrupted = disruptedByTeam.getOrPut(team) { LinkedHashMap() }
        if (task in disrupted) return
        disrupted[task] = Disruption(now, cause)
        peakByTeam.merge(team, disrupted.size, ::maxOf)
        if (cause == DisruptionCause.STOPPED) stops.add(Stop(now, team, HashMap(disrupted)))
    }

    fun recordDone(task: String) {
        teamOf.remove(task)?.let { disruptedByTeam[it]?.remove(task) }
    }

    fun recordCancellation(job: String) {
        for (task in teamOf.keys.filter { it.substringBefore('/') == job }) recordDone(task)
    }

    /**
     * Stops that took a team beyond [limit]. What was lost otherwise less than [detectionDelay]
     * before could not be known yet, and does not count. Budgets bind drains, so only what is
     * stopped [during] one is held against them: without one, the scheduler moves replicas off
     * machines that it returns.
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
                else "${stop.team} has lost ${known.keys} at ${stop.at.inSeconds} s"
            }
}
