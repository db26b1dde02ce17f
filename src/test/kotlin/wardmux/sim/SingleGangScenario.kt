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
 * A simulated cluster with one gang. In addition to the [Invariants] it checks that each start
 * command agrees with the stored task pages, and that tasks of two attempts are never on machines
 * at the same time, not even in different zones.
 *
 * @param txnOps the most operations in one transaction of the key-value store
 * @param gangWaitS how long a task waits for the rest of its gang, in seconds
 */
internal class SingleGangScenario(seed: Long, txnOps: Int = 8, gangWaitS: Double = 35.0) {
    val simulation = ClusterSimulation(seed, txnOps, gangWaitS = gangWaitS)
    val clock = simulation.clock
    lateinit var gang: JobSpec
    private val violations = ArrayList<String>()

    /**
     * By task number and attempt: the machines that the task pages named when a start command was
     * sent.
     */
    val recordedMachines = HashMap<Pair<Int, Int>, HashSet<String>>()

    /** Called with the controller and the machine of each start command that is sent directly. */
    var onDirectStart: (by: String, machine: String) -> Unit = { _, _ -> }

    /** Submits the gang at the simulated time [at] and starts the additional checks. */
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
        simulation.onStartDecided = ::checkStart
        clock.after(at) { simulation.submit(gang) }
        clock.every(20.milliseconds) {
            val attempts = simulation.invariants.attemptsOnMachines(gang.id)
            if (attempts.size > 1)
                violations.add("attempts $attempts on machines at ${clock.now}, expected one")
        }
    }

    /** Checks a start command, sent to [machine] or, if that is null, in a heartbeat response. */
    private fun checkStart(by: String, machine: String?, task: String, attempt: Int) {
        val id = TaskId.parse(task) ?: return
        if (id.job != gang.jobId) return
        val placements = recordedPlacements()
        val missing = (0 until gang.tasks).filter { placements[it]?.attempt != attempt }
        if (missing.isNotEmpty())
            violations.add("$task try $attempt starts, but tasks $missing are not recorded")
        val place = placements[id.index]?.machine?.value ?: return
        if (machine != null && machine != place)
            violations.add("$task starts on $machine, recorded is $place")
        recordedMachines.getOrPut(id.index to attempt) { HashSet() }.add(place)
        if (machine != null) onDirectStart(by, machine)
    }

    /** The versions of the task pages that were read last, and the placements in them. */
    private var cachedPlacements: Pair<List<Long?>, Map<Int, Placement>> =
        emptyList<Long?>() to emptyMap()

    /** The stored placements of the gang's tasks that may be on machines, by task number. */
    fun recordedPlacements(): Map<Int, Placement> {
        val pages = 0..(gang.tasks - 1) / TASKS_PER_PAGE
        val versions = pages.map { simulation.store.version(TaskPageCodec.key(gang.jobId, it)) }
        if (versions != cachedPlacements.first) cachedPlacements = versions to readPlacements(pages)
        return cachedPlacements.second
    }

    private fun readPlacements(pages: IntRange): Map<Int, Placement> {
        val job = Job(gang, KeyVersion(0), Micros.ZERO, TASKS_PER_PAGE)
        return pages
            .mapNotNull { simulation.store.value(TaskPageCodec.key(gang.jobId, it)) }
            .flatMap {
                val page = lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), it)
                page.placementsOf(job).orEmpty()
            }
            .associateBy { it.task.index }
    }

    /** How many task pages of the gang the [transaction] writes. */
    fun pagesWrittenBy(transaction: JsonObject): Int =
        transaction["then"]?.jsonArray.orEmpty().count { change ->
            val key = change.jsonObject["put"]?.jsonPrimitive?.content.orEmpty()
            key.startsWith(TaskPageCodec.KEY_PREFIX + gang.id)
        }

    /** Runs [action] once, [after] this time since the gang first started to run. */
    fun runAfterGangStart(after: Micros, action: () -> Unit) {
        if (simulation.invariants.gangStarts > 0) clock.after(after, action)
        else clock.after(20.milliseconds) { runAfterGangStart(after, action) }
    }

    /** The machines that hold tasks of the gang, in the order of the task numbers. */
    fun gangMachines(): List<FakeWorker> {
        val machines = simulation.invariants.machineByTask(gang.id).toSortedMap().values.distinct()
        return machines.mapNotNull { id -> simulation.cloud.workers().find { it.id == id } }
    }

    /** Drops responses and commands to [worker]; its heartbeats still arrive. */
    fun dropMessagesTo(worker: String, duration: Micros) {
        for (node in simulation.nodes) dropMessages(node, worker, duration)
    }

    /** Drops the heartbeats of [worker]; direct commands still reach it. */
    fun dropHeartbeatsFrom(worker: String, duration: Micros) {
        simulation.network.outboundBlocked.add(worker)
        clock.after(duration) { simulation.network.outboundBlocked.remove(worker) }
    }

    /** The cloud refuses to delete machines for [duration]. */
    fun refuseDeletions(duration: Micros) {
        simulation.cloud.refusesDeletions = true
        clock.after(duration) { simulation.cloud.refusesDeletions = false }
    }

    /** Rents two more machines in each zone except [zone]. */
    fun addMachinesOutside(zone: String) {
        for (other in listOf("a", "b", "c") - zone) repeat(2) {
            simulation.cloud.rent(other, false)
        }
    }

    /** Partitions [worker] from all controllers, in both directions. */
    fun partition(worker: String, duration: Micros) {
        dropMessagesTo(worker, duration)
        for (node in simulation.nodes) dropMessages(worker, node, duration)
    }

    /** [worker] executes nothing for [duration] and then resumes. */
    fun makeUnresponsive(worker: FakeWorker, duration: Micros) {
        worker.unresponsive = true
        clock.after(duration) { worker.unresponsive = false }
    }

    /** Drops the messages sent from one host to the other; the reverse direction works. */
    private fun dropMessages(from: String, to: String, duration: Micros) {
        simulation.network.blockPath(from, to)
        clock.after(duration) { simulation.network.unblockPath(from, to) }
    }

    /** Runs up to [until], and asserts that no rule was violated and that the gang ran. */
    fun assertNoViolationsUntil(until: Micros) {
        simulation.run(until)
        assertEquals(emptyList(), (simulation.violations() + violations).distinct().take(4))
        assertTrue(
            simulation.invariants.gangStarts > 0,
            "the gang never ran; its tasks ended by ${simulation.gangs.endCounts}",
        )
    }

    /** As [assertNoViolationsUntil]; the user must also have been told that the gang is done. */
    fun assertDoneBy(until: Micros) {
        assertNoViolationsUntil(until)
        assertEquals(
            "done",
            simulation.invariants.finalStateOf(gang.id),
            "state of the gang; its tasks ended by ${simulation.gangs.endCounts}",
        )
    }

    /** As [assertNoViolationsUntil]; an attempt after the first must have run too. */
    fun assertRestartedBy(until: Micros) {
        assertNoViolationsUntil(until)
        assertTrue(
            simulation.invariants.gangStarts > 1,
            "the gang ran only once; its tasks ended by ${simulation.gangs.endCounts}",
        )
    }

    companion object {
        const val CHECKPOINT_PERIOD_S = 5.0

        /** Soon after the first machines came up, since idle machines are returned. */
        val SUBMISSION_TIME = 7.seconds

        /** The tasks that a page holds if values may be up to 8 KiB. */
        private val TASKS_PER_PAGE = TaskPageCodec.tasksPerPage(8 * 1024)
    }
}
