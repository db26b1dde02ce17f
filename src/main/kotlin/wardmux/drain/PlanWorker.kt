package wardmux.drain

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import wardmux.logging.logger
import wardmux.model.Micros

/** Works out plans on a thread of its own, which is there only while there is one to work on. */
class PlanWorker {
    private val log = logger<PlanWorker>()
    private val executor: ExecutorService =
        ThreadPoolExecutor(0, 1, IDLE_S, TimeUnit.SECONDS, LinkedBlockingQueue()) { work ->
            Thread(work, "planner").apply { isDaemon = true }
        }

    /** Works on [problem] for at most [limit]; [then] gets null if that failed, on the thread. */
    fun solve(problem: DrainProblem, limit: Micros, then: (DrainPlan?) -> Unit) {
        executor.execute {
            val plan =
                try {
                    SolverPlanner.plan(problem, limit)
                } catch (e: RuntimeException) {
                    // The greedy plan serves as well: a mistake in a model must not hold up a
                    // drain.
                    log.error("no plan", e)
                    null
                }
            then(plan)
        }
    }

    private companion object {
        const val IDLE_S = 5L
    }
}
