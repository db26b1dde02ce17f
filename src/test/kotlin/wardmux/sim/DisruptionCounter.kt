package wardmux.sim

import wardmux.model.Micros

/** Why a worker's task no longer runs. */
enum class LossCause {
    /** A controller told it to stop. */
    STOPPED,

    /** It was told to stop on a machine that the cloud is about to take. */
    RECALLED,

    /** It failed, or its machine or incarnation ended. */
    CRASHED,
}

/**
 * Which tasks each team has lost, by the workers' own records alone: from the moment a task that
 * ran is told to stop, fails or loses its machine, until it runs again or is over.
 */
class DisruptionCounter {
    /** A task that was told to stop, and which of its team's tasks were lost with it then. */
    class Stop(val at: Micros, val team: String, val lost: Map<String, Loss>)

    class Loss(val at: Micros, val cause: LossCause)

    private val teamOf = HashMap<String, String>()
    private val lost = HashMap<String, LinkedHashMap<String, Loss>>()
    private val peaks = HashMap<String, Int>()

    /** Each stop of a task that ran, in order. */
    val stops = ArrayList<Stop>()

    /** The most that the team had lost at once. */
    fun peakOf(team: String): Int = peaks[team] ?: 0

    /** What the team has lost now. */
    fun lostNow(team: String): Set<String> = lost[team]?.keys.orEmpty()

    fun runs(now: Micros, task: String, team: String) {
        check(now >= Micros.ZERO)
        teamOf[task] = team
        lost[team]?.remove(task)
    }

    fun lost(now: Micros, task: String, cause: LossCause) {
        val team = teamOf[task] ?: return
        val own = lost.getOrPut(team) { LinkedHashMap() }
        if (task in own) return
        own[task] = Loss(now, cause)
        peaks.merge(team, own.size, ::maxOf)
        if (cause == LossCause.STOPPED) stops.add(Stop(now, team, HashMap(own)))
    }

    fun done(task: String) {
        teamOf.remove(task)?.let { lost[it]?.remove(task) }
    }

    fun cancelled(job: String) {
        for (task in teamOf.keys.filter { it.substringBefore('/') == job }) done(task)
    }

    /**
     * Stops that took a team beyond [limit]. What was lost otherwise less than [noticedAfter]
     * before could not be known yet, and does not count. Budgets bind drains, so only what is
     * stopped [during] one is held against them: without one, the scheduler moves replicas off
     * machines that it returns.
     */
    fun beyond(
        limit: (team: String) -> Int,
        noticedAfter: Micros,
        during: ClosedRange<Micros> = Micros.ZERO..Micros.NEVER,
    ): List<String> =
        stops
            .filter { it.at in during }
            .mapNotNull { stop ->
                val known =
                    stop.lost.filterValues {
                        it.cause == LossCause.STOPPED || stop.at - it.at > noticedAfter
                    }
                if (known.size <= limit(stop.team)) null
                else "${stop.team} has lost ${known.keys} at ${stop.at.inSeconds} s"
            }
}
