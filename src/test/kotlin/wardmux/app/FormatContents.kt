package wardmux.app

import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import wardmux.election.LeaderElection
import wardmux.election.LeaderRecord
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.FullHeartbeat
import wardmux.forwarding.HeartbeatBatch
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.forwarding.StoredBatchClient
import wardmux.forwarding.StoredBatchResponses
import wardmux.forwarding.UndeliveredCommands
import wardmux.model.Charge
import wardmux.model.Cost
import wardmux.model.Job
import wardmux.model.JobId
import wardmux.model.JobKind
import wardmux.model.JobProgress
import wardmux.model.JobSpec
import wardmux.model.JobState
import wardmux.model.KeyVersion
import wardmux.model.MachineId
import wardmux.model.MachineType
import wardmux.model.Micros
import wardmux.model.Placement
import wardmux.model.PriorityClass
import wardmux.model.TaskId
import wardmux.peers.CancellationCursor
import wardmux.peers.CancellationUpdate
import wardmux.peers.PeerHeartbeat
import wardmux.peers.PeerHeartbeatCodec
import wardmux.records.JobRecord
import wardmux.records.MachineTypeList
import wardmux.records.TaskPageCodec
import wardmux.scheduling.FairQueue
import wardmux.serialization.lenientJson
import wardmux.worker.WorkerCommand

/**
 * What the samples of the formats say. It was written once by the version in production, into the
 * samples; the tests write it with the present version and compare.
 */
object FormatContents {
    val LEADER = LeaderRecord(member = "n2", processIncarnation = "n2-5f3a")

    val TYPES =
        listOf(
            MachineType(
                label = "rackmid",
                cpus = 16.0,
                gpus = 2.0,
                memoryGb = 64.5,
                cacheGb = 120.0,
                fetchGbPerS = 0.75,
                price = 0.95,
                spotPrice = 0.4,
                bootS = 50.0,
                zones = listOf("east", "west"),
            ),
            MachineType(label = "plain", cpus = 8.0, memoryGb = 32.0, zones = listOf("east")),
        )

    const val TAGS_AT = 1_790_000_000_000_000L

    /** Both teams are ahead of the clock; "batch" has been charged twice and corrected once. */
    fun tags(): FairQueue =
        queue().also {
            val first = it.charge("batch", Cost(160_000_000), Micros(TAGS_AT))
            it.charge("batch", Cost(40_000_000), Micros(TAGS_AT))
            it.settle("batch", first, Cost(200_000_000), Micros(TAGS_AT))
            it.charge("web", Cost(8_000_000), Micros(TAGS_AT))
        }

    fun queue() = FairQueue(mapOf("batch" to 100.0, "web" to 8.0), Micros(600_000_000), 3600.0)

    /** With all optional fields. */
    val BATCH_SPEC =
        JobSpec(
            id = "job-000412",
            jobClass = "train",
            team = "batch",
            kind = JobKind.ARRAY,
            priority = PriorityClass.HIGH,
            tasks = 40,
            cpus = 2.5,
            gpus = 1.0,
            memoryGb = 5.2,
            image = "img-07",
            imageGb = 6.25,
            types = listOf("rackmid", "plain"),
            zone = "east",
            oneZone = true,
            spread = false,
            spot = true,
            estimateS = 35.5,
            checkpointS = 20.0,
            saveS = 4.0,
            deadlineS = 900.0,
        )

    /** Without the optional fields. */
    val DAEMON_SPEC =
        BATCH_SPEC.copy(
            id = "job-000413",
            kind = JobKind.SERVICE,
            priority = PriorityClass.PROD,
            tasks = 3,
            gpus = 0.0,
            types = null,
            zone = null,
            oneZone = false,
            spread = true,
            spot = false,
            checkpointS = 0.0,
            saveS = 0.0,
            deadlineS = null,
        )
    val GANG_SPEC =
        BATCH_SPEC.copy(
            id = "job-000414",
            kind = JobKind.GANG,
            priority = PriorityClass.NORMAL,
            types = null,
            deadlineS = null,
        )
    val IDLE_SPEC =
        DAEMON_SPEC.copy(id = "job-000415", kind = JobKind.ARRAY, priority = PriorityClass.IDLE)
    val GANG_AGAIN_SPEC = GANG_SPEC.copy(id = "job-000416", tasks = 8)
    val GANG_DONE_SPEC = GANG_SPEC.copy(id = "job-000417", tasks = 8)
    val SPECS = listOf(BATCH_SPEC, DAEMON_SPEC, GANG_SPEC, IDLE_SPEC)

    const val ACCEPTED_AT = 1_790_000_000_123_456L

    val DONE = JobRecord(JobState.DONE, ACCEPTED_AT)

    fun accepted(spec: JobSpec) = JobRecord(JobState.ACCEPTED, ACCEPTED_AT, spec)

    fun cancelled(spec: JobSpec) = JobRecord(JobState.CANCELLED, ACCEPTED_AT, spec)

    /** A page of [PAGE_SIZE] tasks, so that [BATCH_SPEC] has three. */
    const val PAGE_SIZE = 16

    val CHARGES = listOf(Charge(Cost(88_750_000), 97.4), Charge(Cost(177_500_000), 0.125))

    fun emptyJob() = Job(BATCH_SPEC, KeyVersion(7), Micros(ACCEPTED_AT), PAGE_SIZE)

    private fun placement(
        job: Job,
        task: Int,
        attempt: Int,
        machine: String,
        incarnation: Long,
        zone: String,
        charge: Int,
    ) =
        Placement(
            job,
            TaskId(job.id, task),
            attempt,
            MachineId(machine),
            incarnation,
            zone,
            CHARGES[charge],
        )

    /** In the second page: on three machines, one of them in two sessions, in two zones. */
    fun placements(job: Job) =
        listOf(
            placement(job, 16, 1, "i-000001", 3, "east", 0),
            placement(job, 17, 2, "i-000001", 3, "east", 1),
            placement(job, 18, 1, "i-000001", 4, "east", 0),
            placement(job, 22, 1, "i-000002", 1, "west", 0),
            placement(job, 23, 4, "i-000003", 9_000_000_000, "east", 1),
        )

    /** Done: 0, 2 to 5 and 15; 20 and 31. Tried: 19, 24 and 30. */
    fun job(): Job =
        emptyJob().also { job ->
            val elsewhere = { task: Int, attempt: Int ->
                placement(job, task, attempt, "i-000009", 1, "east", 0)
            }
            for (task in DONE_TASKS) {
                val placed = elsewhere(task, 1)
                job.place(placed, Micros.ZERO)
                job.commit(placed)
                job.complete(task, Micros.ZERO)
                job.release(placed, Micros.ZERO)
            }
            for ((task, attempt) in TRIED) {
                val placed = elsewhere(task, attempt)
                job.place(placed, Micros.ZERO)
                job.commit(placed)
                job.release(placed, Micros.ZERO)
            }
            for (placed in placements(job)) job.place(placed, Micros.ZERO)
        }

    /** All tasks of a gang have one attempt number; the pages of one that is out, in one zone. */
    fun gangOut(): Job =
        emptyGang(GANG_SPEC).also { gang ->
            for (placed in gangPlacements(gang)) gang.place(placed, Micros.ZERO)
        }

    /** Of one that waits again after its first attempt. */
    fun gangAgain(): Job =
        emptyGang(GANG_AGAIN_SPEC).also { gang ->
            for (placed in gangPlacements(gang)) {
                gang.place(placed, Micros.ZERO)
                gang.commit(placed)
                gang.release(placed, Micros.ZERO)
            }
        }

    /** Of one that is done: recorded for all tasks at once, some still on their machines. */
    fun gangDone(): Job =
        emptyGang(GANG_DONE_SPEC).also { gang ->
            val placed = gangPlacements(gang)
            for (one in placed) gang.place(one, Micros.ZERO)
            for (one in placed) gang.commit(one)
            for (task in 0 until gang.spec.tasks) gang.complete(task, Micros.ZERO)
            gang.release(placed.first(), Micros.ZERO)
        }

    fun emptyGang(spec: JobSpec) = Job(spec, KeyVersion(7), Micros(ACCEPTED_AT), PAGE_SIZE)

    const val GANG_ATTEMPT = 3

    /** Eight tasks on each machine. */
    fun gangPlacements(gang: Job) =
        List(gang.spec.tasks) {
            placement(gang, it, GANG_ATTEMPT, "i-00001${it / 8}", 2, "east", 0)
        }

    val DONE_TASKS = listOf(0, 2, 3, 4, 5, 15, 20, 31)
    val TRIED = mapOf(19 to 1, 24 to 3, 30 to 1)

    val BEAT =
        PeerHeartbeat(
            member = "n1",
            token = 4_711,
            timeSinceStoreResponse = 1_250_000,
            progress = listOf(JobProgress("job-000412", 8, 5), JobProgress("job-000413", 0, 0)),
            forwardingEnabled = true,
            cancellationCursors =
                listOf(CancellationCursor("n2", "n2-5f3a", 12), CancellationCursor("n3", "n3-1", 0)),
        )
    val FOLLOWER_BEAT = PeerHeartbeat(member = "n3")

    val TOLD =
        CancellationUpdate(
            processIncarnation = "n2-5f3a",
            uptime = 86_400_000_000,
            firstIndex = 12,
            jobs = listOf("job-000412", "job-000413"),
            hasMore = true,
        )
    val NOTHING_TOLD = CancellationUpdate(processIncarnation = "n3-1", uptime = 0, firstIndex = 0)

    const val REPORT_BODY =
        """{"box":"i-000001","endpoint":"10.0.0.9:9","boxkind":"rackmid","ward":"east",""" +
            """"loaners":true,"shift":3,"tick":77,"baton":4711,"recall_s":12.5,"pieces":[""" +
            """{"piece":"job-000412/16","try":1,"status":"running"},""" +
            """{"piece":"job-000412/17","try":2,"status":"ended","cause":"stopped","kept":true}]}"""

    fun batch() =
        HeartbeatBatch(
            member = "n3",
            processIncarnation = "n3-1",
            number = 41,
            token = 4_711,
            echoedClock = 55_000_000,
            sinceEcho = 250_000,
            fullHeartbeats = listOf(FullHeartbeat(6, REPORT_BODY.encodeToByteArray())),
            unchanged = listOf(4, 90, 5, 1_000_000),
        )

    /** The first of a process: it has no clock to echo and nothing to tell. */
    fun firstBatch() =
        HeartbeatBatch(
            member = "n3",
            processIncarnation = "n3-1",
            number = 1,
            token = 4_711,
            echoedClock = 0,
            sinceEcho = 0,
        )

    val ORDERS =
        listOf(
            WorkerCommand(
                typeName = "halt",
                task = "job-000412/16",
                attempt = 1,
                gracePeriodS = 4.5,
            ),
            WorkerCommand(typeName = "forget", task = "job-000412/17", attempt = 2),
        )

    fun answer() =
        HeartbeatBatchResponse(
            processIncarnation = "n3-1",
            number = 41,
            token = 4_711,
            leaderClock = 55_500_000,
            forwardingEnabled = false,
            grantDuration = 5_280_000,
            unknownNumbers = listOf(4, 5),
            undelivered =
                listOf(
                    UndeliveredCommands("i-000001", 3, ORDERS),
                    UndeliveredCommands("i-000002", 1, emptyList()),
                ),
            rejectedMachines = listOf("i-000007"),
            rebalanceCount = 3,
            rebalanceTarget = "n1",
            redirectsWorkers = true,
            renewalAllowed = false,
        )

    fun plainAnswer() =
        HeartbeatBatchResponse(
            processIncarnation = "n3-1",
            number = 1,
            token = 4_711,
            leaderClock = 55_000_000,
            grantDuration = 5_280_000,
        )

    const val CONDEMNED_WHY = "tasks fail on it"
    const val CONDEMNED_KEY = "m/i-000001"

    /**
     * All that the state service holds, by its key. What is stored of a decommissioned machine is
     * here as the placement store writes it; that it puts it so is seen on a run of the whole
     * controller.
     */
    fun stored(): Map<String, JsonElement> {
        val all = LinkedHashMap<String, JsonElement>()
        all[LeaderElection.KEY] = lenientJson.encodeToJsonElement(LeaderRecord.serializer(), LEADER)
        all[FairQueue.KEY] = tags().toJson(Micros(TAGS_AT))
        all[MachineTypeList.KEY] = MachineTypeList.encode(TYPES)
        for (spec in SPECS) {
            all[JobRecord.key(spec.jobId)] = accepted(spec).toJson()
            all[JobRecord.openKey(spec.jobId)] = accepted(spec).toJson()
            all[JobRecord.cancelledKey(spec.jobId)] = cancelled(spec).toJson()
        }
        all[JobRecord.key(JobId("job-000001"))] = DONE.toJson()
        val job = job()
        for (page in 0..2) all[TaskPageCodec.key(job.id, page)] = TaskPageCodec.encode(job, page)
        val gang = gangOut()
        for (page in 0..2) all[TaskPageCodec.key(gang.id, page)] = TaskPageCodec.encode(gang, page)
        for (other in listOf(gangAgain(), gangDone())) all[TaskPageCodec.key(other.id, 0)] =
            TaskPageCodec.encode(other, 0)
        all[CONDEMNED_KEY] = JsonPrimitive(CONDEMNED_WHY)
        all[StoredBatchClient.BATCH_KEY_PREFIX + "n3"] =
            JsonPrimitive(ForwardingCodec.pack(batch()))
        all[StoredBatchClient.RESPONSES_KEY] =
            JsonPrimitive(
                ForwardingCodec.pack(
                    StoredBatchResponses(
                        mapOf("n1" to plainAnswer(), "n3" to answer().withoutCommands()) +
                            ("n4" to answer())
                    )
                )
            )
        return all
    }

    fun messages(): Map<String, ByteArray> =
        mapOf(
            "beat" to PeerHeartbeatCodec.encode(BEAT),
            "beat of a follower" to PeerHeartbeatCodec.encode(FOLLOWER_BEAT),
            "told" to PeerHeartbeatCodec.encode(TOLD),
            "nothing told" to PeerHeartbeatCodec.encode(NOTHING_TOLD),
            "batch" to ForwardingCodec.encode(batch()),
            "first batch" to ForwardingCodec.encode(firstBatch()),
            "answer" to ForwardingCodec.encode(answer()),
            "plain answer" to ForwardingCodec.encode(plainAnswer()),
        )
}
