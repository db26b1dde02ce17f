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
        ThreadPoolExecutor(0, 1, THREAD_IDLE_TIMEOUT_S, TimeUnit.SECONDS, LinkedBlockingQueue()) {
            runnable ->
            Thread(runnable, "planner").apply { isDaemon = true }
        }

    /** Runs [task]; [onResult] is called on the background thread, with null if the task failed. */
    fun execute(task: BackgroundTask<*>, onResult: (Any?) -> Unit) {
        executor.execute {
            val result =
                try {
                    task.run()
                } catch (e: RuntimeException) {
                    // The core goes on without the result: a fault in a task must not stop it.
                    log.error("background task {} failed", task.javaClass.simpleName, e)
                    null
                }
            onResult(result)
        }
    }

    private companion object {
        const val THREAD_IDLE_TIMEOUT_S = 5L
    }
}
