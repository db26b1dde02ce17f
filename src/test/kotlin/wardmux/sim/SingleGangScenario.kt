package wardmux.sim

import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.model.Job
import wardmux.model.JobSpec
import wardmux.model.KeyVersion
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.TaskId
import wardmux.model.milliseconds
import wardmux.model.seconds
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.serialization.lenientJson

/**
 * One gang in a simulated simulation. Beyond the [Invariants], each command to start is held
 * against the stored pages, and no two attempts may be on machines at the same time, in whichever
 * zones.
 */
internal class SingleGangScenario(seed: Long, txnOps: Int = 8, gangWaitS: Double = 35.0) {
    val simulation = ClusterSimulation(seed, txnOps, gangWaitS = gangWaitS)
    val clock = simulation.clock
    lateinit var gang: JobSpec
    private val violations = ArrayList<String>()

    /** The machines that each attempt of each task was recorded on before it was started. */
    val recordedMachines = HashMap<Pair<Int, Int>, HashSet<String>>()

    /** Called with the controller and the machine of each direct command to start. */
    var onDirectStart: (by: String, machine: String) -> Unit = { _, _ -> }

    fun submit(
        tasks: Int,
        cpus: Double,
        estimateS: Double,
        oneZone: Boolean = false,
        at: Micros = SUBMISSION_TIME,
    ) {
        gang =
            simulation
                .unconstrainedGang("team-0", tasks, cpus, estimateS)
                .copy(
                    priority = PriorityClass.HIGH,
                    memoryGb = 0.1,
                    oneZone = oneZone,
                    checkpointS = CHECKPOINT_PERIOD_S,
                )
        simulation.onStartSent = ::checkStart
        clock.after(at) { simulation.submit(gang) }
        clock.every(20.milliseconds) {
            val attempts = simulation.invariants.attemptsOnMachines(gang.id)
            if (attempts.size > 1) violations.add("attempts $attempts at once at ${clock.now}")
        }
    }

    private fun checkStart(by: String, machine: String?, task: String, attempt: Int) {
        val id = TaskId.parse(task) ?: return
        if (id.job != gang.jobId) return
        val placements = recordedPlacements()
        val missing = (0 until gang.tasks).filter { placements[it]?.attempt != attempt }
        if (missing.isNotEmpty()) violations.add("$task try $attempt starts without $missing")
        val place = placements[id.index]?.machine?.value ?: return
        if (machine != null && machine != place) violations.add("$task starts off its record")
        recordedMachines.getOrPut(id.index to attempt) { HashSet() }.add(place)
        if (machine != null) onDirectStart(by, machine)
    }

    private var cachedPlacements: Pair<List<Long?>, Map<Int, Placement>> =
        emptyList<Long?>() to emptyMap()

    /** What is stored of the gang's tasks that may be on machines. */
    fun recordedPlacements(): Map<Int, Placement> {
        val pages = 0..(gang.tasks - 1) / TASKS_PER_PAGE
        val versions = pages.map { simulation.state.version(TaskPageCodec.key(gang.jobId, it)) }
        if (versions != cachedPlacements.first) cachedPlacements = versions to readPages(pages)
        return cachedPlacements.second
    }

    private fun readPages(pages: IntRange): Map<Int, Placement> {
        val job = Job(gang, KeyVersion(0), Micros.ZERO, TASKS_PER_PAGE)
        return pages
            .mapNotNull { simulation.state.value(TaskPageCodec.key(gang.jobId, it)) }
            .flatMap {
                val page = lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), it)
                page.placementsOf(job).orEmpty()
            }
            .associateBy { it.task.index }
    }

    /** How many pages of the gang a transaction puts. */
    fun pagesWrittenBy(transaction: JsonObject): Int =
        transaction["then"]?.jsonArray.orEmpty().count { change ->
            val key = change.jsonObject["put"]?.jsonPrimitive?.content.orEmpty()
            key.startsWith(TaskPageCodec.KEY_PREFIX + gang.id)
        }

    /** Once, [after] the gang began to run. */
    fun runAfterGangStart(after: Micros, action: () -> Unit) {
        if (simulation.invariants.gangStarts > 0) clock.after(after, action)
        else clock.after(20.milliseconds) { runAfterGangStart(after, action) }
    }

    /** The machines that hold tasks of the gang, in the order of these tasks. */
    fun gangMachines(): List<FakeWorker> {
        val machines = simulation.invariants.machineByTask(gang.id).toSortedMap().values.distinct()
        return machines.mapNotNull { id -> simulation.cloud.workers().find { it.id == id } }
    }

    /** Heartbeats arrive, but neither answers nor commands reach it. */
    fun dropMessagesTo(worker: String, duration: Micros) {
        for (node in simulation.nodes) dropMessages(node, worker, duration)
    }

    /** Its heartbeats do not arrive; commands reach it. */
    fun dropHeartbeatsFrom(worker: String, duration: Micros) {
        simulation.network.mute.add(worker)
        clock.after(duration) { simulation.network.mute.remove(worker) }
    }

    /** No machine can be deleted for [duration]. */
    fun refuseDeletions(duration: Micros) {
        simulation.cloud.keepsMachines = true
        clock.after(duration) { simulation.cloud.keepsMachines = false }
    }

    /** Two more machines come up in each zone but [zone]. */
    fun addMachinesOutside(zone: String) {
        for (other in listOf("a", "b", "c") - zone) repeat(2) {
            simulation.cloud.rent(other, false)
        }
    }

    fun partition(worker: String, duration: Micros) {
        dropMessagesTo(worker, duration)
        for (node in simulation.nodes) dropMessages(worker, node, duration)
    }

    fun makeUnresponsive(worker: FakeWorker, duration: Micros) {
        worker.hanging = true
        clock.after(duration) { worker.hanging = false }
    }

    private fun dropMessages(from: String, to: String, duration: Micros) {
        simulation.network.part(from, to)
        clock.after(duration) { simulation.network.join(from, to) }
    }

    fun assertNoViolationsUntil(until: Micros) {
        simulation.run(until)
        assertEquals(emptyList(), (simulation.problems() + violations).distinct().take(4))
        assertTrue(
            simulation.invariants.gangStarts > 0,
            "the gang never ran: ${simulation.gangs.endCounts}",
        )
    }

    fun assertDoneBy(until: Micros) {
        assertNoViolationsUntil(until)
        assertEquals(
            "done",
            simulation.invariants.finalStateOf(gang.id),
            "ends: ${simulation.gangs.endCounts}",
        )
    }

    /** An attempt after the first ran too. */
    fun assertRestartedBy(until: Micros) {
        assertNoViolationsUntil(until)
        assertTrue(
            simulation.invariants.gangStarts > 1,
            "it never began again: ${simulation.gangs.endCounts}",
        )
    }

    companion object {
        const val CHECKPOINT_PERIOD_S = 5.0

        /** Machines that stand idle are returned, so not long after they came up. */
        val SUBMISSION_TIME = 7.seconds

        /** Tasks that a page holds with values of up to 8 KiB. */
        private val TASKS_PER_PAGE = TaskPageCodec.tasksPerPage(8 * 1024)
    }
}
