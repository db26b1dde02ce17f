package wardmux.app

import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import wardmux.core.BackgroundTask
import wardmux.logging.logger

/** Runs background tasks one at a time. The thread ends when it has been idle for some seconds. */
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
                    // A fault in a background task must not stop the core: it continues without the
                    // result.
                    log.error(
                        "background task {} failed; the core continues without its result",
                        task.javaClass.simpleName,
                        e,
                    )
                    null
                }
            onResult(result)
        }
    }

    private companion object {
        const val THREAD_IDLE_TIMEOUT_S = 5L
    }
}
