package wardmux.app

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import wardmux.core.BackgroundTask
import wardmux.logging.logger

/** Runs background tasks one at a time, on a thread that ends while there are none. */
class BackgroundExecutor {
    private val log = logger<BackgroundExecutor>()
    private val executor: ExecutorService =
        ThreadPoolExecutor(0, 1, IDLE_S, TimeUnit.SECONDS, LinkedBlockingQueue()) { work ->
            Thread(work, "planner").apply { isDaemon = true }
        }

    /** Runs [task]; [then] is called on the background thread, with null if the task failed. */
    fun execute(task: BackgroundTask<*>, then: (Any?) -> Unit) {
        executor.execute {
            val result =
                try {
                    task.run()
                } catch (e: RuntimeException) {
                    // The core goes on without the result: a fault in a task must not stop it.
                    log.error("background task {} failed", task.javaClass.simpleName, e)
                    null
                }
            then(result)
        }
    }

    private companion object {
        const val IDLE_S = 5L
    }
}
