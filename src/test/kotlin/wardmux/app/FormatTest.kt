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
 * Guards against stored data and messages that one version can't read from another: during an
 * upgrade, processes of the version in production and of this version work on each other's data.
 * The samples are what the version in production wrote for [FormatContents]; the version merged
 * after it writes the same. They are never regenerated. Each sample is read as it is and with
 * unknown fields, and is compared with what this version writes.
 */
class FormatTest {
    private val samples = FormatSamples(FormatSamples.PRODUCTION)
    private val stored = samples.stored
    private val messages = samples.messages

    /** Runs [check] on a stored value as it is and with unknown fields, as of a later version. */
    private fun checkStored(key: String, check: (JsonElement) -> Unit) {
        val value = stored.getValue(key)
        check(value)
        check(
            if (FormatSamples.isPacked(key))
                FormatTree.packed(FormatTree.withUnknownFields(FormatTree.parsePacked(value)))
            else FormatTree.withUnknownFields(value)
        )
    }

    /** Runs [check] on a message as it is and with unknown fields, as of a later version. */
    private fun checkMessage(name: String, check: (ByteArray) -> Unit) {
        val bytes = messages.getValue(name)
        check(bytes)
        check(FormatTree.toCbor(FormatTree.withUnknownFields(FormatTree.parseCbor(bytes))))
    }

    // What this version writes.

    @Test
    fun `stored values have the keys and fields that production writes`() {
        val current = FormatContents.storedValues()
        assertEquals(stored.keys, current.keys)
        val actual =
            stored.entries.flatMap { (key, value) ->
                val written = current.getValue(key)
                if (FormatSamples.isPacked(key)) {
                    val production = FormatTree.parsePacked(value)
                    FormatTree.differences(
                        production,
                        FormatTree.parsePacked(written),
                        ADDED_FIELDS,
                        key,
                    )
                } else {
                    FormatTree.differences(value, written, ADDED_FIELDS, key)
                }
            }
        assertEquals(emptyList(), actual)
    }

    @Test
    fun `messages have the fields that production writes`() {
        val current = FormatContents.messages()
        assertEquals(messages.keys, current.keys)
        val actual =
            messages.entries.flatMap { (name, bytes) ->
                val written = FormatTree.parseCbor(current.getValue(name))
                FormatTree.differences(FormatTree.parseCbor(bytes), written, ADDED_FIELDS, name)
            }
        assertEquals(emptyList(), actual)
    }

    /** A reader that compares bytes must find no difference between versions that run together. */
    @Test
    fun `stored values and messages match the samples byte for byte`() {
        val current = FormatContents.storedValues()
        for ((key, value) in stored) {
            val written = current.getValue(key)
            if (FormatSamples.isPacked(key)) {
                // The compressed bytes may depend on the Java version, so they are compared
                // unpacked.
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

    /** Both versions write the same bytes, so compatibility with the samples covers both. */
    @Test
    fun `the version merged after production writes the bytes that production writes`() {
        val successor = FormatSamples(FormatSamples.PRODUCTION_SUCCESSOR)
        for (name in listOf("stored", "messages")) {
            assertEquals(samples.text(name), successor.text(name), name)
        }
    }

    /** When another version goes into production, samples of that version are needed. */
    @Test
    fun `the samples are those of the version that the deploy file names`() {
        val line = File("deploy/service.toml").readLines().single { it.startsWith("production") }
        val commit = line.substringAfter('"').substringBefore('"')
        assertTrue(
            commit.startsWith(FormatSamples.PRODUCTION),
            "expected production to be ${FormatSamples.PRODUCTION}, but was $commit",
        )
    }

    @Test
    fun `a missing, changed or new field is reported as a difference`() {
        val tree = Json.parseToJsonElement("""{"a":[{"b":1}],"c":"1"}""")
        fun differencesTo(text: String, vararg additions: String) =
            FormatTree.differences(tree, Json.parseToJsonElement(text), additions.toSet())
        assertEquals(emptyList(), differencesTo("""{"c":"1","a":[{"b":1}]}"""))
        assertEquals(listOf(".c is not written"), differencesTo("""{"a":[{"b":1}]}"""))
        assertEquals(1, differencesTo("""{"a":[{"b":1}],"c":1}""").size)
        assertEquals(1, differencesTo("""{"a":[{"b":2}],"c":"1"}""").size)
        assertEquals(1, differencesTo("""{"a":[],"c":"1"}""").size)
        assertEquals(listOf(".a[].d is new"), differencesTo("""{"a":[{"b":1,"d":0}],"c":"1"}"""))
        assertEquals(emptyList(), differencesTo("""{"a":[{"b":1,"d":0}],"c":"1"}""", ".a[].d"))
    }

    // What this version reads.

    @Test
    fun `the leader record is read`() =
        checkStored(LeaderElection.KEY) {
            val record = lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), it)
            assertEquals("n2", record.member)
            assertEquals("n2-5f3a", record.processIncarnation)
        }

    @Test
    fun `the tags and usage of the fair queue are read`() =
        checkStored(FairQueue.KEY) {
            val at = Micros(FormatContents.TAGS_SAVED_AT)
            val written = FormatContents.chargedFairQueue()
            val read = FormatContents.emptyFairQueue()
            read.load(it)
            assertEquals(written.virtualTime, read.virtualTime)
            assertTrue(read.virtualTime > 0)
            for (team in listOf("batch", "web")) {
                assertTrue(
                    read.startTag(team) > read.virtualTime,
                    "the start tag of $team must be after the virtual time",
                )
                assertEquals(written.startTag(team), read.startTag(team), team)
                assertTrue(read.usage(team, at) > 0, "the usage of $team must be positive")
                assertEquals(written.usage(team, at), read.usage(team, at), team)
            }
            // Usage decays from the time at which it was written; 600 s is the half-life.
            val halved = read.usage("web", Micros(FormatContents.TAGS_SAVED_AT + 600_000_000))
            assertEquals(4_000_000.0, halved)
        }

    @Test
    fun `machine types are read`() =
        checkStored(MachineTypeList.KEY) {
            assertEquals(FormatContents.MACHINE_TYPES, MachineTypeList.decode(it))
        }

    @Test
    fun `job records of each state and kind are read under each of their keys`() {
        for (spec in FormatContents.SPECS) {
            for (key in listOf("j/${spec.id}", "q/${spec.id}")) {
                checkStored(key) {
                    assertEquals(FormatContents.acceptedRecord(spec), JobRecord.decode(it))
                }
            }
            checkStored("c/${spec.id}") {
                assertEquals(FormatContents.cancelledRecord(spec), JobRecord.decode(it))
            }
        }
        checkStored("j/job-000001") {
            assertEquals(FormatContents.DONE_RECORD, JobRecord.decode(it))
        }
    }

    /** Compares each field with a literal, to detect a field that is read into another. */
    @Test
    fun `each field of a job record is read`() =
        checkStored("c/job-000412") {
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
    fun `a task page is read with its placements, their zones and charges`() =
        checkStored("t/job-000412/1") { json ->
            val job = FormatContents.newJob()
            val read =
                TaskPageCodec.restore(job, 1, KeyVersion(99), page(json)).associateBy {
                    it.task.index
                }
            val expected = FormatContents.placements(job).associateBy { it.task.index }
            assertEquals(setOf(16, 17, 18, 22, 23), read.keys)
            for ((task, placement) in expected) {
                val actual = read.getValue(task)
                assertEquals(job.id, actual.task.job)
                assertEquals(placement.attempt, actual.attempt, "attempt of $task")
                assertEquals(placement.machine, actual.machine, "machine of $task")
                assertEquals(placement.incarnation, actual.incarnation, "incarnation of $task")
                assertEquals(placement.zone, actual.zone, "zone of $task")
                assertEquals(placement.charge, actual.charge, "charge of $task")
                assertTrue(actual.isRestored && actual.isCommitted)
            }
            assertEquals(9_000_000_000, read.getValue(23).incarnation)
            assertEquals(MachineId("i-000003"), read.getValue(23).machine)
            assertEquals("west", read.getValue(22).zone)
            assertEquals(KeyVersion(99), job.pages.version(1))
        }

    @Test
    fun `done tasks and the attempt numbers of waiting tasks are read from all pages`() {
        val extended = { json: JsonElement -> FormatTree.withUnknownFields(json) }
        for (transform in listOf({ json: JsonElement -> json }, extended)) {
            val job = FormatContents.newJob()
            for (number in 0..2) {
                val json = transform(stored.getValue("t/job-000412/$number"))
                TaskPageCodec.restore(job, number, KeyVersion(99), page(json))
            }
            val tasks = 0 until job.spec.tasks
            assertEquals(FormatContents.DONE_TASKS, tasks.filter { job.isTaskDone(it) })
            assertEquals(FormatContents.DONE_TASKS, tasks.filter { job.isRecordedDone(it) })
            for (task in tasks) {
                val last =
                    FormatContents.LAST_ATTEMPTS[task] ?: job.placements.get(task)?.attempt ?: 0
                assertEquals(last + 1, job.nextAttempt(task), "next attempt of $task")
            }
            // Tasks that wait again after an attempt are behind those that were never attempted.
            val waiting = generateSequence { job.pollWaitingTask().takeIf { it >= 0 } }.toList()
            assertEquals(FormatContents.LAST_ATTEMPTS.keys.toList(), waiting.takeLast(3))
            assertEquals(40 - 8 - 5, waiting.size)
        }
    }

    @Test
    fun `the pages of gangs are read with one attempt number for all tasks`() {
        checkGangPages(FormatContents.GANG_SPEC, 0..2) { gang, read ->
            val expected = FormatContents.gangPlacements(gang).map { it.task to it.machine }
            assertEquals(expected, read.map { it.task to it.machine })
            assertEquals(setOf(FormatContents.GANG_ATTEMPT), read.map { it.attempt }.toSet())
            assertEquals(setOf("east"), read.map { it.zone }.toSet())
            assertEquals(FormatContents.GANG_ATTEMPT, gang.gangAttempt?.number)
            assertEquals(0, gang.doneCount)
        }
        checkGangPages(FormatContents.WAITING_GANG_SPEC, 0..0) { gang, read ->
            assertEquals(0, read.size)
            assertEquals(8, gang.waiting)
            gang.startGangAttempt(Micros.ZERO)
            assertEquals(FormatContents.GANG_ATTEMPT + 1, gang.nextAttempt(0))
        }
        checkGangPages(FormatContents.DONE_GANG_SPEC, 0..0) { gang, read ->
            assertEquals((1..7).toList(), read.map { it.task.index })
            assertTrue(gang.allTasksDone)
        }
    }

    /** Runs [check] on a gang restored from its pages, as they are and with unknown fields. */
    private fun checkGangPages(
        spec: JobSpec,
        pages: IntRange,
        check: (Job, List<Placement>) -> Unit,
    ) {
        val extended = { json: JsonElement -> FormatTree.withUnknownFields(json) }
        for (transform in listOf({ json: JsonElement -> json }, extended)) {
            val gang = FormatContents.newGang(spec)
            val read =
                pages.flatMap { number ->
                    val json = transform(stored.getValue("t/${spec.id}/$number"))
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
        val sample = stored.getValue(FormatContents.DECOMMISSIONED_MACHINE_KEY)
        assertEquals(sample, harness.storedValue(FormatContents.DECOMMISSIONED_MACHINE_KEY))
    }

    /**
     * Whether the only machine in the job's zone is commanded to start the task, under a leader
     * that finds the value [decommissioned] stored for the machine; null stands for no value.
     */
    private fun startsTaskAfter(decommissioned: JsonElement?): Boolean {
        val harness = ControllerHarness()
        if (decommissioned != null)
            harness.write(FormatContents.DECOMMISSIONED_MACHINE_KEY, decommissioned)
        harness.writeAcceptedJob(plainJob(1).copy(zone = "a"))
        harness.run(2.seconds)
        val token = ManualWorker(harness, "i-000002", "b").fetchLeaderToken()
        val machine = ManualWorker(harness, "i-000001", "a")
        val responses =
            List(4) { machine.sendHeartbeat(token).toString().also { harness.run(0.5.seconds) } } +
                harness.directCommands
        return responses.any { "\"verb\":\"start\"" in it }
    }

    @Test
    fun `a machine with any stored decommissioning record gets no task`() {
        assertTrue(startsTaskAfter(decommissioned = null))
        assertFalse(startsTaskAfter(stored.getValue(FormatContents.DECOMMISSIONED_MACHINE_KEY)))
        assertFalse(startsTaskAfter(JsonObject(mapOf("later" to JsonPrimitive(1)))))
    }

    @Test
    fun `the heartbeat of a peer is read`() {
        checkMessage("beat") {
            val heartbeat = assertNotNull(PeerHeartbeatCodec.decode(it))
            assertEquals("n1", heartbeat.member)
            assertEquals(4_711, heartbeat.token)
            assertEquals(1_250_000, heartbeat.timeSinceStoreResponse)
            val progress = listOf(JobProgress("job-000412", 8, 5), JobProgress("job-000413", 0, 0))
            assertEquals(progress, heartbeat.progress)
            assertTrue(heartbeat.forwardingEnabled)
            val cursors =
                heartbeat.cancellationCursors.map { h ->
                    Triple(h.member, h.processIncarnation, h.count)
                }
            assertEquals(listOf(Triple("n2", "n2-5f3a", 12L), Triple("n3", "n3-1", 0L)), cursors)
        }
        checkMessage("beat of a follower") {
            assertEquals(FormatContents.FOLLOWER_HEARTBEAT, PeerHeartbeatCodec.decode(it))
        }
    }

    @Test
    fun `the cancellation update that answers a heartbeat is read`() {
        checkMessage("told") {
            val update = assertNotNull(PeerHeartbeatCodec.decodeUpdate(it))
            assertEquals("n2-5f3a", update.processIncarnation)
            assertEquals(86_400_000_000, update.uptime)
            assertEquals(12, update.firstIndex)
            assertEquals(listOf("job-000412", "job-000413"), update.jobs)
            assertTrue(update.hasMore)
        }
        checkMessage("nothing told") {
            val update = assertNotNull(PeerHeartbeatCodec.decodeUpdate(it))
            assertEquals("n3-1", update.processIncarnation)
            assertEquals(0, update.uptime)
            assertEquals(0, update.firstIndex)
            assertEquals(emptyList(), update.jobs)
            assertFalse(update.hasMore)
        }
    }

    private fun assertAllFields(batch: HeartbeatBatch?) {
        assertNotNull(batch)
        assertEquals("n3", batch.member)
        assertEquals("n3-1", batch.processIncarnation)
        assertEquals(41, batch.number)
        assertEquals(4_711, batch.token)
        assertEquals(55_000_000, batch.echoedClock)
        assertEquals(250_000, batch.sinceEcho)
        val fullHeartbeat = batch.fullHeartbeats.single()
        assertEquals(6, fullHeartbeat.number)
        assertContentEquals(
            FormatContents.WORKER_HEARTBEAT_BODY.encodeToByteArray(),
            fullHeartbeat.body,
        )
        assertEquals(listOf<Long>(4, 90, 5, 1_000_000), batch.unchanged)
    }

    private fun assertAllFields(response: HeartbeatBatchResponse?) {
        assertNotNull(response)
        assertEquals("n3-1", response.processIncarnation)
        assertEquals(41, response.number)
        assertEquals(4_711, response.token)
        assertEquals(55_500_000, response.leaderClock)
        assertFalse(response.forwardingEnabled)
        assertEquals(5_280_000, response.grantDuration)
        assertEquals(listOf<Long>(4, 5), response.unknownNumbers)
        val undelivered =
            response.undelivered.map { Triple(it.machine, it.incarnation, it.commands) }
        val commands = FormatContents.COMMANDS
        val expected = listOf(Triple("i-000001", 3L, commands), Triple("i-000002", 1L, emptyList()))
        assertEquals(expected, undelivered)
        assertEquals(listOf("i-000007"), response.rejectedMachines)
        assertEquals(3, response.rebalanceCount)
        assertEquals("n1", response.rebalanceTarget)
        assertTrue(response.redirectsWorkers)
        assertFalse(response.renewalAllowed)
    }

    private fun assertWithoutCommands(response: HeartbeatBatchResponse?) {
        assertNotNull(response)
        assertEquals("n3-1", response.processIncarnation)
        assertEquals(4_711, response.token)
        assertEquals(5_280_000, response.grantDuration)
        assertEquals(emptyList(), response.unknownNumbers)
        assertEquals(emptyList(), response.undelivered)
        assertEquals(emptyList(), response.rejectedMachines)
        assertEquals(0, response.rebalanceCount)
        assertNull(response.rebalanceTarget)
    }

    private fun assertDefaultFields(response: HeartbeatBatchResponse?) {
        assertWithoutCommands(response)
        assertEquals(1, response?.number)
        assertEquals(55_000_000, response?.leaderClock)
        assertEquals(true, response?.forwardingEnabled)
        assertEquals(false, response?.redirectsWorkers)
        assertEquals(true, response?.renewalAllowed)
    }

    @Test
    fun `batches of forwarded heartbeats are read`() {
        checkMessage("batch") { assertAllFields(ForwardingCodec.decodeBatch(it)) }
        checkStored("r/n3") { assertAllFields(ForwardingCodec.decodeBatch(it)) }
        checkMessage("first batch") {
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
    fun `the responses to batches are read`() {
        checkMessage("answer") { assertAllFields(ForwardingCodec.decodeResponse(it)) }
        checkMessage("plain answer") { assertDefaultFields(ForwardingCodec.decodeResponse(it)) }
        checkStored("a/relays") {
            val responses = assertNotNull(ForwardingCodec.decodeStoredResponses(it)).byMember
            assertEquals(setOf("n1", "n3", "n4"), responses.keys)
            assertDefaultFields(responses["n1"])
            assertAllFields(responses["n4"])
            val withoutCommands = responses["n3"]
            assertWithoutCommands(withoutCommands)
            assertEquals(41, withoutCommands?.number)
            assertEquals(55_500_000, withoutCommands?.leaderClock)
            assertEquals(false, withoutCommands?.forwardingEnabled)
            assertEquals(true, withoutCommands?.redirectsWorkers)
            assertEquals(false, withoutCommands?.renewalAllowed)
        }
    }

    private companion object {
        /**
         * Fields that the version in production does not write and ignores when it reads them, each
         * as the key or name of the sample followed by the path of the field. A comment on each
         * entry gives the reason why a process of the version in production may receive it.
         */
        val ADDED_FIELDS = emptySet<String>()
    }
}
