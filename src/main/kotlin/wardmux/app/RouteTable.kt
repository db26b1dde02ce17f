package wardmux.app

import java.net.URLDecoder
import wardmux.core.CoreContext
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.http.ApiPaths
import wardmux.http.HttpRequestHandler
import wardmux.jobs.SubmissionReader
import wardmux.model.JobId

/** Handles the requests for one job. */
fun interface JobRequestHandler {
    /** Handles [request], whose path names [job]. */
    fun handle(request: Input.Request, job: JobId)
}

/** One path with the only method that it is called with. */
sealed interface Route {
    val method: String
    val path: String

    /** A path without parameters. */
    class Fixed(
        override val method: String,
        override val path: String,
        val handler: HttpRequestHandler,
    ) : Route

    /** A path with the id of a job at [ApiPaths.JOB_PARAMETER]. */
    class OfJob(
        override val method: String,
        override val path: String,
        val handler: JobRequestHandler,
    ) : Route {
        private val pattern = segments(path)

        /** The id as it stands in the path of these [segments]; null if that is another path. */
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
        /** The parts of [path] between its slashes; the leading slash may be missing. */
        fun segments(path: String): List<String> = path.removePrefix("/").split('/')
    }
}

/** Finds the handler of a request by its path, and answers requests that have none. */
class RouteTable(private val context: CoreContext, routes: List<Route>) {
    private val fixedRoutes = routes.filterIsInstance<Route.Fixed>().associateBy { it.path }
    private val jobRoutes = routes.filterIsInstance<Route.OfJob>()

    /** Handles [request], whose [path] is without its query. */
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

    private fun checkMethod(request: Input.Request, route: Route): Boolean {
        if (request.method == route.method) return true
        answerError(request, HttpStatus.METHOD_NOT_ALLOWED, "use ${route.method}")
        return false
    }

    /** An id that has not the form of one was never accepted. */
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
