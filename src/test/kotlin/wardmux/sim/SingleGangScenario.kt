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
    private val broken = ArrayList<String>()

    /** The machines that each attempt of each task was recorded on before it was started. */
    val recordedOn = HashMap<Pair<Int, Int>, HashSet<String>>()

    /** Called with the controller and the machine of each direct command to start. */
    var whenStarted: (by: String, machine: String) -> Unit = { _, _ -> }

    fun submit(
        tasks: Int,
        cpus: Double,
        estimateS: Double,
        oneZone: Boolean = false,
        at: Micros = SUBMITTED,
    ) {
        gang =
            simulation
                .unconstrainedGang("team-0", tasks, cpus, estimateS)
                .copy(
                    priority = PriorityClass.HIGH,
                    memoryGb = 0.1,
                    oneZone = oneZone,
                    checkpointS = CHECKPOINT_S,
                )
        simulation.onStartDecided = ::checkStart
        clock.after(at) { simulation.submit(gang) }
        clock.every(20.milliseconds) {
            val attempts = simulation.invariants.attemptsOf(gang.id)
            if (attempts.size > 1) broken.add("attempts $attempts at once at ${clock.now}")
        }
    }

    private fun checkStart(by: String, machine: String?, task: String, attempt: Int) {
        val id = TaskId.parse(task) ?: return
        if (id.job != gang.jobId) return
        val all = recorded()
        val missing = (0 until gang.tasks).filter { all[it]?.attempt != attempt }
        if (missing.isNotEmpty()) broken.add("$task try $attempt starts without $missing")
        val place = all[id.index]?.machine?.value ?: return
        if (machine != null && machine != place) broken.add("$task starts off its record")
        recordedOn.getOrPut(id.index to attempt) { HashSet() }.add(place)
        if (machine != null) whenStarted(by, machine)
    }

    private var read: Pair<List<Long?>, Map<Int, Placement>> = emptyList<Long?>() to emptyMap()

    /** What is stored of the gang's tasks that may be on machines. */
    fun recorded(): Map<Int, Placement> {
        val pages = 0..(gang.tasks - 1) / PAGE_SIZE
        val stamps = pages.map { simulation.store.version(TaskPageCodec.key(gang.jobId, it)) }
        if (stamps != read.first) read = stamps to readPages(pages)
        return read.second
    }

    private fun readPages(pages: IntRange): Map<Int, Placement> {
        val job = Job(gang, KeyVersion(0), Micros.ZERO, PAGE_SIZE)
        return pages
            .mapNotNull { simulation.store.value(TaskPageCodec.key(gang.jobId, it)) }
            .flatMap {
                val page = lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), it)
                page.placementsOf(job).orEmpty()
            }
            .associateBy { it.task.index }
    }

    /** How many pages of the gang a transaction puts. */
    fun pagesIn(transaction: JsonObject): Int =
        transaction["then"]?.jsonArray.orEmpty().count { change ->
            val key = change.jsonObject["put"]?.jsonPrimitive?.content.orEmpty()
            key.startsWith(TaskPageCodec.KEY_PREFIX + gang.id)
        }

    /** Once, [after] the gang began to run. */
    fun onceItRuns(after: Micros, action: () -> Unit) {
        if (simulation.invariants.gangsBegun > 0) clock.after(after, action)
        else clock.after(20.milliseconds) { onceItRuns(after, action) }
    }

    /** The machines that hold tasks of the gang, in the order of these tasks. */
    fun machines(): List<FakeWorker> {
        val places = simulation.invariants.placesOf(gang.id).toSortedMap().values.distinct()
        return places.mapNotNull { id -> simulation.cloud.workers().find { it.id == id } }
    }

    /** Heartbeats arrive, but neither answers nor commands reach it. */
    fun deaf(worker: String, length: Micros) {
        for (node in simulation.nodes) part(node, worker, length)
    }

    /** Its heartbeats do not arrive; commands reach it. */
    fun mute(worker: String, length: Micros) {
        simulation.network.outboundBlocked.add(worker)
        clock.after(length) { simulation.network.outboundBlocked.remove(worker) }
    }

    /** No machine can be deleted for [length]. */
    fun keepMachines(length: Micros) {
        simulation.cloud.refusesDeletions = true
        clock.after(length) { simulation.cloud.refusesDeletions = false }
    }

    /** Two more machines come up in each zone but [zone]. */
    fun roomOutside(zone: String) {
        for (other in listOf("a", "b", "c") - zone) repeat(2) {
            simulation.cloud.rent(other, false)
        }
    }

    fun cutOff(worker: String, length: Micros) {
        deaf(worker, length)
        for (node in simulation.nodes) part(worker, node, length)
    }

    fun hang(worker: FakeWorker, length: Micros) {
        worker.unresponsive = true
        clock.after(length) { worker.unresponsive = false }
    }

    private fun part(a: String, b: String, length: Micros) {
        simulation.network.blockPath(a, b)
        clock.after(length) { simulation.network.unblockPath(a, b) }
    }

    fun holds(until: Micros) {
        simulation.run(until)
        assertEquals(emptyList(), (simulation.violations() + broken).distinct().take(4))
        assertTrue(
            simulation.invariants.gangsBegun > 0,
            "the gang never ran: ${simulation.gangs.causes}",
        )
    }

    fun isDone(until: Micros) {
        holds(until)
        assertEquals(
            "done",
            simulation.invariants.finalOf(gang.id),
            "ends: ${simulation.gangs.causes}",
        )
    }

    /** An attempt after the first ran too. */
    fun beginsAgain(until: Micros) {
        holds(until)
        assertTrue(
            simulation.invariants.gangsBegun > 1,
            "it never began again: ${simulation.gangs.causes}",
        )
    }

    companion object {
        const val CHECKPOINT_S = 5.0

        /** Machines that stand idle are returned, so not long after they came up. */
        val SUBMITTED = 7.seconds

        /** Tasks that a page holds with values of up to 8 KiB. */
        private val PAGE_SIZE = TaskPageCodec.tasksPerPage(8 * 1024)
    }
}
