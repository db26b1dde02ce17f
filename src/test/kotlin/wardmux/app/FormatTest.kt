package wardmux.app

import java.io.File
import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import wardmux.election.LeaderElection
import wardmux.election.LeaderRecord
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobProgress
import wardmux.model.JobSpec
import wardmux.model.JobState
import wardmux.model.KeyVersion
import wardmux.model.MachineId
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.seconds
import wardmux.peers.PeerHeartbeatCodec
import wardmux.records.JobRecord
import wardmux.records.MachineTypeList
import wardmux.records.StoredTaskPage
import wardmux.records.TaskPageCodec
import wardmux.scheduling.FairQueue
import wardmux.serialization.lenientJson
import wardmux.sim.ControllerHarness
import wardmux.sim.ManualWorker
import wardmux.sim.plainJob

/**
 * During an upgrade processes of the version in production and of this one work on each other's
 * data. The samples are what the version in production wrote of [FormatContents], which the last
 * landing writes alike; they are never made anew with this one. Each is read here as it is and with
 * unknown fields in it, and compared with what this version writes.
 */
class FormatTest {
    private val samples = FormatSamples(FormatSamples.PRODUCTION)
    private val stored = samples.stored
    private val messages = samples.messages

    /** As production wrote it, and as a later version might. */
    private fun eachStored(key: String, check: (JsonElement) -> Unit) {
        val value = stored.getValue(key)
        check(value)
        check(
            if (FormatSamples.isPacked(key))
                FormatTree.packed(FormatTree.withMore(FormatTree.ofPacked(value)))
            else FormatTree.withMore(value)
        )
    }

    private fun eachMessage(name: String, check: (ByteArray) -> Unit) {
        val bytes = messages.getValue(name)
        check(bytes)
        check(FormatTree.toCbor(FormatTree.withMore(FormatTree.ofCbor(bytes))))
    }

    // What this version writes.

    @Test
    fun `what is stored is written as production writes it, under the same keys`() {
        val now = FormatContents.stored()
        assertEquals(stored.keys, now.keys)
        val found =
            stored.entries.flatMap { (key, value) ->
                val written = now.getValue(key)
                if (FormatSamples.isPacked(key)) {
                    val production = FormatTree.ofPacked(value)
                    FormatTree.differences(production, FormatTree.ofPacked(written), ADDED, key)
                } else {
                    FormatTree.differences(value, written, ADDED, key)
                }
            }
        assertEquals(emptyList(), found)
    }

    @Test
    fun `messages are written as production writes them`() {
        val now = FormatContents.messages()
        assertEquals(messages.keys, now.keys)
        val found =
            messages.entries.flatMap { (name, bytes) ->
                val written = FormatTree.ofCbor(now.getValue(name))
                FormatTree.differences(FormatTree.ofCbor(bytes), written, ADDED, name)
            }
        assertEquals(emptyList(), found)
    }

    /** Whoever reads bytes of this version finds those that the versions beside it write. */
    @Test
    fun `what is stored and sent is the same byte for byte`() {
        val now = FormatContents.stored()
        for ((key, value) in stored) {
            val written = now.getValue(key)
            if (FormatSamples.isPacked(key)) {
                // How well it is packed may depend on the Java version.
                val production = FormatTree.unpacked(value).toHexString()
                assertEquals(production, FormatTree.unpacked(written).toHexString(), key)
            } else {
                assertEquals(value.toString(), written.toString(), key)
            }
        }
        val sent = FormatContents.messages()
        for ((name, bytes) in messages) {
            assertEquals(bytes.toHexString(), sent.getValue(name).toHexString(), name)
        }
    }

    /** So all that holds here beside production holds beside the last landing as well. */
    @Test
    fun `the last landing writes the bytes that production writes`() {
        val landing = FormatSamples(FormatSamples.LAST_LANDING)
        for (name in listOf("stored", "messages")) {
            assertEquals(samples.text(name), landing.text(name), name)
        }
    }

    /** A version that comes into production later needs samples of its own. */
    @Test
    fun `the samples are those of the version that the deploy file names`() {
        val line = File("deploy/service.toml").readLines().single { it.startsWith("production") }
        val commit = line.substringAfter('"').substringBefore('"')
        assertTrue(commit.startsWith(FormatSamples.PRODUCTION), commit)
    }

    @Test
    fun `a field that is lost, changed or new is told as a difference`() {
        val tree = Json.parseToJsonElement("""{"a":[{"b":1}],"c":"1"}""")
        fun against(text: String, vararg additions: String) =
            FormatTree.differences(tree, Json.parseToJsonElement(text), additions.toSet())
        assertEquals(emptyList(), against("""{"c":"1","a":[{"b":1}]}"""))
        assertEquals(listOf(".c is not written"), against("""{"a":[{"b":1}]}"""))
        assertEquals(1, against("""{"a":[{"b":1}],"c":1}""").size)
        assertEquals(1, against("""{"a":[{"b":2}],"c":"1"}""").size)
        assertEquals(1, against("""{"a":[],"c":"1"}""").size)
        assertEquals(listOf(".a[].d is new"), against("""{"a":[{"b":1,"d":0}],"c":"1"}"""))
        assertEquals(emptyList(), against("""{"a":[{"b":1,"d":0}],"c":"1"}""", ".a[].d"))
    }

    // What this version reads.

    @Test
    fun `the leader's record is read`() =
        eachStored(LeaderElection.KEY) {
            val record = lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), it)
            assertEquals("n2", record.member)
            assertEquals("n2-5f3a", record.processIncarnation)
        }

    @Test
    fun `the tags are read`() =
        eachStored(FairQueue.KEY) {
            val at = Micros(FormatContents.TAGS_AT)
            val written = FormatContents.tags()
            val read = FormatContents.queue()
            read.load(it)
            assertEquals(written.virtualTime, read.virtualTime)
            assertTrue(read.virtualTime > 0)
            for (team in listOf("batch", "web")) {
                assertTrue(read.startTag(team) > read.virtualTime, team)
                assertEquals(written.startTag(team), read.startTag(team), team)
                assertTrue(read.usage(team, at) > 0, team)
                assertEquals(written.usage(team, at), read.usage(team, at), team)
            }
            // Usage goes on decaying from when it was written.
            val halved = read.usage("web", Micros(FormatContents.TAGS_AT + 600_000_000))
            assertEquals(4_000_000.0, halved)
        }

    @Test
    fun `machine types are read`() =
        eachStored(MachineTypeList.KEY) {
            assertEquals(FormatContents.TYPES, MachineTypeList.decode(it))
        }

    @Test
    fun `job records are read in each state and shape, under each of their keys`() {
        for (spec in FormatContents.SPECS) {
            for (key in listOf("j/${spec.id}", "q/${spec.id}")) {
                eachStored(key) {
                    assertEquals(FormatContents.accepted(spec), JobRecord.decode(it))
                }
            }
            eachStored("c/${spec.id}") {
                assertEquals(FormatContents.cancelled(spec), JobRecord.decode(it))
            }
        }
        eachStored("j/job-000001") { assertEquals(FormatContents.DONE, JobRecord.decode(it)) }
    }

    /** Spelled out once, so that a field that is read in another's place is noticed. */
    @Test
    fun `each field of a job record is read`() =
        eachStored("c/job-000412") {
            val record = assertNotNull(JobRecord.decode(it))
            assertEquals(JobState.CANCELLED, record.state)
            assertEquals(1_790_000_000_123_456, record.acceptedAt)
            val spec = assertNotNull(record.spec)
            assertEquals(JobId("job-000412"), spec.jobId)
            assertEquals("train", spec.jobClass)
            assertEquals("batch", spec.team)
            assertEquals(JobKind.ARRAY, spec.kind)
            assertEquals(PriorityClass.HIGH, spec.priority)
            assertEquals(40, spec.tasks)
            assertEquals(2.5, spec.cpus)
            assertEquals(1.0, spec.gpus)
            assertEquals(5.2, spec.memoryGb)
            assertEquals("img-07", spec.image)
            assertEquals(6.25, spec.imageGb)
            assertEquals(listOf("rackmid", "plain"), spec.types)
            assertEquals("east", spec.zone)
            assertTrue(spec.oneZone)
            assertFalse(spec.spread)
            assertTrue(spec.spot)
            assertEquals(35.5, spec.estimateS)
            assertEquals(20.0, spec.checkpointS)
            assertEquals(4.0, spec.saveS)
            assertEquals(900.0, spec.deadlineS)
        }

    private fun page(json: JsonElement) =
        lenientJson.decodeFromJsonElement(StoredTaskPage.serializer(), json)

    @Test
    fun `a page is read with its placements, their zones and charges`() =
        eachStored("t/job-000412/1") { json ->
            val job = FormatContents.emptyJob()
            val read =
                TaskPageCodec.restore(job, 1, KeyVersion(99), page(json)).associateBy {
                    it.task.index
                }
            val wanted = FormatContents.placements(job).associateBy { it.task.index }
            assertEquals(setOf(16, 17, 18, 22, 23), read.keys)
            for ((task, placement) in wanted) {
                val found = read.getValue(task)
                assertEquals(job.id, found.task.job)
                assertEquals(placement.attempt, found.attempt, "attempt of $task")
                assertEquals(placement.machine, found.machine, "machine of $task")
                assertEquals(placement.incarnation, found.incarnation, "session of $task")
                assertEquals(placement.zone, found.zone, "zone of $task")
                assertEquals(placement.charge, found.charge, "charge of $task")
                assertTrue(found.isRestored && found.isCommitted)
            }
            assertEquals(9_000_000_000, read.getValue(23).incarnation)
            assertEquals(MachineId("i-000003"), read.getValue(23).machine)
            assertEquals("west", read.getValue(22).zone)
            assertEquals(KeyVersion(99), job.pages.version(1))
        }

    @Test
    fun `the runs of done tasks and the tried ones are read from all pages`() {
        val more = { json: JsonElement -> FormatTree.withMore(json) }
        for (form in listOf({ json: JsonElement -> json }, more)) {
            val job = FormatContents.emptyJob()
            for (number in 0..2) {
                val json = form(stored.getValue("t/job-000412/$number"))
                TaskPageCodec.restore(job, number, KeyVersion(99), page(json))
            }
            val tasks = 0 until job.spec.tasks
            assertEquals(FormatContents.DONE_TASKS, tasks.filter { job.isTaskDone(it) })
            assertEquals(FormatContents.DONE_TASKS, tasks.filter { job.isRecordedDone(it) })
            for (task in tasks) {
                val last = FormatContents.TRIED[task] ?: job.placements.get(task)?.attempt ?: 0
                assertEquals(last + 1, job.nextAttempt(task), "next attempt of $task")
            }
            // What came back waits behind what was never tried.
            val waiting = generateSequence { job.pollWaitingTask().takeIf { it >= 0 } }.toList()
            assertEquals(FormatContents.TRIED.keys.toList(), waiting.takeLast(3))
            assertEquals(40 - 8 - 5, waiting.size)
        }
    }

    @Test
    fun `the pages of gangs are read, with one attempt number for all tasks`() {
        eachGangPages(FormatContents.GANG_SPEC, 0..2) { gang, read ->
            val wanted = FormatContents.gangPlacements(gang).map { it.task to it.machine }
            assertEquals(wanted, read.map { it.task to it.machine })
            assertEquals(setOf(FormatContents.GANG_ATTEMPT), read.map { it.attempt }.toSet())
            assertEquals(setOf("east"), read.map { it.zone }.toSet())
            assertEquals(FormatContents.GANG_ATTEMPT, gang.gangAttempt?.number)
            assertEquals(0, gang.doneCount)
        }
        eachGangPages(FormatContents.GANG_AGAIN_SPEC, 0..0) { gang, read ->
            assertEquals(0, read.size)
            assertEquals(8, gang.waiting)
            gang.startGangAttempt(Micros.ZERO)
            assertEquals(FormatContents.GANG_ATTEMPT + 1, gang.nextAttempt(0))
        }
        eachGangPages(FormatContents.GANG_DONE_SPEC, 0..0) { gang, read ->
            assertEquals((1..7).toList(), read.map { it.task.index })
            assertTrue(gang.allTasksDone)
        }
    }

    private fun eachGangPages(
        spec: JobSpec,
        pages: IntRange,
        check: (Job, List<Placement>) -> Unit,
    ) {
        val more = { json: JsonElement -> FormatTree.withMore(json) }
        for (form in listOf({ json: JsonElement -> json }, more)) {
            val gang = FormatContents.emptyGang(spec)
            val read =
                pages.flatMap { number ->
                    val json = form(stored.getValue("t/${spec.id}/$number"))
                    TaskPageCodec.restore(gang, number, KeyVersion(99), page(json))
                }
            check(gang, read.sortedBy { it.task.index })
        }
    }

    @Test
    fun `a decommissioned machine is recorded as production records it`() {
        val harness = ControllerHarness()
        harness.writeAcceptedJob(plainJob(1, "job-000001"))
        harness.writeAcceptedJob(plainJob(1, "job-000002"))
        harness.run(2.seconds)
        val machine = ManualWorker(harness, "i-000001")
        val token = machine.fetchLeaderToken()
        val failed = { job: Int ->
            """{"piece":"job-00000$job/0","try":1,"status":"ended","cause":"error"}"""
        }
        harness.run(1.seconds)
        machine.heartbeatResponse(token)
        harness.run(1.seconds)
        machine.heartbeatResponse(token, "${failed(1)},${failed(2)}")
        harness.run(1.seconds)
        val sample = stored.getValue(FormatContents.CONDEMNED_KEY)
        assertEquals(sample, harness.storedValue(FormatContents.CONDEMNED_KEY))
    }

    /**
     * What the only machine in the job's zone is told under a leader that finds [decommissioned].
     */
    private fun startsWith(decommissioned: JsonElement?): Boolean {
        val harness = ControllerHarness()
        if (decommissioned != null) harness.write(FormatContents.CONDEMNED_KEY, decommissioned)
        harness.writeAcceptedJob(plainJob(1).copy(zone = "a"))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000002", "b").fetchLeaderToken()
        val machine = ManualWorker(harness, "i-000001", "a")
        val answers =
            List(4) { machine.sendHeartbeat(token).toString().also { harness.run(0.5.seconds) } } +
                harness.directCommands
        return answers.any { "\"verb\":\"start\"" in it }
    }

    @Test
    fun `a machine that production decommissioned gets nothing more, whatever is said of it`() {
        assertTrue(startsWith(decommissioned = null))
        assertFalse(startsWith(stored.getValue(FormatContents.CONDEMNED_KEY)))
        assertFalse(startsWith(JsonObject(mapOf("later" to JsonPrimitive(1)))))
    }

    @Test
    fun `a heartbeat is read`() {
        eachMessage("beat") {
            val heartbeat = assertNotNull(PeerHeartbeatCodec.decode(it))
            assertEquals("n1", heartbeat.member)
            assertEquals(4_711, heartbeat.token)
            assertEquals(1_250_000, heartbeat.timeSinceStoreResponse)
            val progress = listOf(JobProgress("job-000412", 8, 5), JobProgress("job-000413", 0, 0))
            assertEquals(progress, heartbeat.progress)
            assertTrue(heartbeat.forwardingEnabled)
            val heard =
                heartbeat.cancellationCursors.map { h ->
                    Triple(h.member, h.processIncarnation, h.count)
                }
            assertEquals(listOf(Triple("n2", "n2-5f3a", 12L), Triple("n3", "n3-1", 0L)), heard)
        }
        eachMessage("beat of a follower") {
            assertEquals(FormatContents.FOLLOWER_BEAT, PeerHeartbeatCodec.decode(it))
        }
    }

    @Test
    fun `the answer to a heartbeat is read`() {
        eachMessage("told") {
            val told = assertNotNull(PeerHeartbeatCodec.decodeUpdate(it))
            assertEquals("n2-5f3a", told.processIncarnation)
            assertEquals(86_400_000_000, told.uptime)
            assertEquals(12, told.firstIndex)
            assertEquals(listOf("job-000412", "job-000413"), told.jobs)
            assertTrue(told.hasMore)
        }
        eachMessage("nothing told") {
            val told = assertNotNull(PeerHeartbeatCodec.decodeUpdate(it))
            assertEquals("n3-1", told.processIncarnation)
            assertEquals(0, told.uptime)
            assertEquals(0, told.firstIndex)
            assertEquals(emptyList(), told.jobs)
            assertFalse(told.hasMore)
        }
    }

    private fun assertWhole(batch: HeartbeatBatch?) {
        assertNotNull(batch)
        assertEquals("n3", batch.member)
        assertEquals("n3-1", batch.processIncarnation)
        assertEquals(41, batch.number)
        assertEquals(4_711, batch.token)
        assertEquals(55_000_000, batch.echoedClock)
        assertEquals(250_000, batch.sinceEcho)
        val report = batch.fullHeartbeats.single()
        assertEquals(6, report.number)
        assertContentEquals(FormatContents.REPORT_BODY.encodeToByteArray(), report.body)
        assertEquals(listOf<Long>(4, 90, 5, 1_000_000), batch.unchanged)
    }

    private fun assertWhole(answer: HeartbeatBatchResponse?) {
        assertNotNull(answer)
        assertEquals("n3-1", answer.processIncarnation)
        assertEquals(41, answer.number)
        assertEquals(4_711, answer.token)
        assertEquals(55_500_000, answer.leaderClock)
        assertFalse(answer.forwardingEnabled)
        assertEquals(5_280_000, answer.grantDuration)
        assertEquals(listOf<Long>(4, 5), answer.unknownNumbers)
        val mail = answer.undelivered.map { Triple(it.machine, it.incarnation, it.commands) }
        val orders = FormatContents.ORDERS
        val wanted = listOf(Triple("i-000001", 3L, orders), Triple("i-000002", 1L, emptyList()))
        assertEquals(wanted, mail)
        assertEquals(listOf("i-000007"), answer.rejectedMachines)
        assertEquals(3, answer.rebalanceCount)
        assertEquals("n1", answer.rebalanceTarget)
        assertTrue(answer.redirectsWorkers)
        assertFalse(answer.renewalAllowed)
    }

    private fun assertBare(answer: HeartbeatBatchResponse?) {
        assertNotNull(answer)
        assertEquals("n3-1", answer.processIncarnation)
        assertEquals(4_711, answer.token)
        assertEquals(5_280_000, answer.grantDuration)
        assertEquals(emptyList(), answer.unknownNumbers)
        assertEquals(emptyList(), answer.undelivered)
        assertEquals(emptyList(), answer.rejectedMachines)
        assertEquals(0, answer.rebalanceCount)
        assertNull(answer.rebalanceTarget)
    }

    private fun assertPlain(answer: HeartbeatBatchResponse?) {
        assertBare(answer)
        assertEquals(1, answer?.number)
        assertEquals(55_000_000, answer?.leaderClock)
        assertEquals(true, answer?.forwardingEnabled)
        assertEquals(false, answer?.redirectsWorkers)
        assertEquals(true, answer?.renewalAllowed)
    }

    @Test
    fun `batches are read`() {
        eachMessage("batch") { assertWhole(ForwardingCodec.decodeBatch(it)) }
        eachStored("r/n3") { assertWhole(ForwardingCodec.decodeBatch(it)) }
        eachMessage("first batch") {
            val batch = assertNotNull(ForwardingCodec.decodeBatch(it))
            assertEquals("n3", batch.member)
            assertEquals("n3-1", batch.processIncarnation)
            assertEquals(1, batch.number)
            assertEquals(4_711, batch.token)
            assertEquals(0, batch.echoedClock)
            assertEquals(0, batch.sinceEcho)
            assertEquals(0, batch.fullHeartbeats.size)
            assertEquals(emptyList(), batch.unchanged)
        }
    }

    @Test
    fun `the answers to batches are read`() {
        eachMessage("answer") { assertWhole(ForwardingCodec.decodeResponse(it)) }
        eachMessage("plain answer") { assertPlain(ForwardingCodec.decodeResponse(it)) }
        eachStored("a/relays") {
            val answers = assertNotNull(ForwardingCodec.decodeStoredResponses(it)).byMember
            assertEquals(setOf("n1", "n3", "n4"), answers.keys)
            assertPlain(answers["n1"])
            assertWhole(answers["n4"])
            val withoutCommands = answers["n3"]
            assertBare(withoutCommands)
            assertEquals(41, withoutCommands?.number)
            assertEquals(55_500_000, withoutCommands?.leaderClock)
            assertEquals(false, withoutCommands?.forwardingEnabled)
            assertEquals(true, withoutCommands?.redirectsWorkers)
            assertEquals(false, withoutCommands?.renewalAllowed)
        }
    }

    private companion object {
        /**
         * Fields that production does not write and passes over, each by the key or name of the
         * sample and the path in it, with the reason why a process of production may be shown it.
         */
        val ADDED = emptySet<String>()
    }
}
