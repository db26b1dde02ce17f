package wardmux.app

import java.net.URLDecoder
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.http.ApiPaths
import wardmux.http.HttpRequestHandler
import wardmux.jobs.SubmissionReader
import wardmux.model.JobId

/** Handles requests whose path contains the id of a job. */
fun interface JobRequestHandler {
    /** Handles [request], whose path contains the id [job]. */
    fun handle(request: Input.Request, job: JobId)
}

/** A path and the only method that is allowed for it. */
sealed interface Route {
    val method: String
    val path: String

    /** A path without parameters. */
    class Fixed(
        override val method: String,
        override val path: String,
        val handler: HttpRequestHandler,
    ) : Route

    /** A path that contains the id of a job in place of [ApiPaths.JOB_PARAMETER]. */
    class OfJob(
        override val method: String,
        override val path: String,
        val handler: JobRequestHandler,
    ) : Route {
        private val pattern = segments(path)

        /**
         * Returns the id, still URL-encoded, from the [segments] of a request's path; null if the
         * path does not match this route.
         */
        fun jobIdIn(segments: List<String>): String? {
            if (segments.size != pattern.size) return null
            var id: String? = null
            for ((expected, segment) in pattern.zip(segments)) {
                if (expected == ApiPaths.JOB_PARAMETER) id = segment
                else if (expected != segment) return null
            }
            return id
        }
    }

    companion object {
        /** Splits [path] at its slashes. The leading slash is optional. */
        fun segments(path: String): List<String> = path.removePrefix("/").split('/')
    }
}

/**
 * Finds the handler of a request by its path. Answers 404 if no route matches, and 405 if the
 * method is not the one of the route.
 */
class RouteTable(private val context: CoreContext, routes: List<Route>) {
    private val fixedRoutes = routes.filterIsInstance<Route.Fixed>().associateBy { it.path }
    private val jobRoutes = routes.filterIsInstance<Route.OfJob>()

    /** Handles [request]; [path] is its path without the query. */
    fun handle(request: Input.Request, path: String) {
        val fixed = fixedRoutes[path]
        if (fixed != null) {
            if (checkMethod(request, fixed)) fixed.handler.handle(request)
            return
        }
        val segments = Route.segments(path)
        for (route in jobRoutes) {
            val id = route.jobIdIn(segments) ?: continue
            if (checkMethod(request, route)) handleForJob(request, route, id)
            return
        }
        answerError(request, HttpStatus.NOT_FOUND, "no such path")
    }

    /** Returns whether [request] has the method of [route]; otherwise answers 405. */
    private fun checkMethod(request: Input.Request, route: Route): Boolean {
        if (request.method == route.method) return true
        answerError(request, HttpStatus.METHOD_NOT_ALLOWED, "use ${route.method}")
        return false
    }

    /**
     * Answers 404 to an id that is not well formed, because no job was accepted with such an id.
     * Otherwise passes the request to the handler of [route].
     */
    private fun handleForJob(request: Input.Request, route: Route.OfJob, encodedId: String) {
        val id =
            try {
                URLDecoder.decode(encodedId, Charsets.UTF_8)
            } catch (e: IllegalArgumentException) {
                encodedId
            }
        if (SubmissionReader.isId(id)) route.handler.handle(request, JobId(id))
        else answerError(request, HttpStatus.NOT_FOUND, "unknown job")
    }

    private fun answerError(request: Input.Request, status: Int, error: String) =
        context.answer(request.id, status, """{"error":"$error"}""")
}
