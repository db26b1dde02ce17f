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
 * The values that the samples of [FormatSamples.PRODUCTION] hold. The version in production
 * serialized them once into the sample files. The tests serialize them with this version and
 * compare the results with the samples.
 */
object FormatContents {
    val LEADER_RECORD = LeaderRecord(member = "n2", processIncarnation = "n2-5f3a")

    val MACHINE_TYPES =
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

    const val TAGS_SAVED_AT = 1_790_000_000_000_000L

    /**
     * A queue in which the start tags of both teams are ahead of the virtual time. "batch" was
     * charged twice, and the first charge was corrected once.
     */
    fun chargedFairQueue(): FairQueue =
        emptyFairQueue().also {
            val first = it.charge("batch", Cost(160_000_000), Micros(TAGS_SAVED_AT))
            it.charge("batch", Cost(40_000_000), Micros(TAGS_SAVED_AT))
            it.settle("batch", first, Cost(200_000_000), Micros(TAGS_SAVED_AT))
            it.charge("web", Cost(8_000_000), Micros(TAGS_SAVED_AT))
        }

    fun emptyFairQueue() =
        FairQueue(mapOf("batch" to 100.0, "web" to 8.0), Micros(600_000_000), 3600.0)

    /** A job specification with all optional fields. */
    val ARRAY_SPEC =
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

    /** A job specification without the optional fields. */
    val SERVICE_SPEC =
        ARRAY_SPEC.copy(
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
        ARRAY_SPEC.copy(
            id = "job-000414",
            kind = JobKind.GANG,
            priority = PriorityClass.NORMAL,
            types = null,
            deadlineS = null,
        )
    val IDLE_SPEC =
        SERVICE_SPEC.copy(id = "job-000415", kind = JobKind.ARRAY, priority = PriorityClass.IDLE)
    val WAITING_GANG_SPEC = GANG_SPEC.copy(id = "job-000416", tasks = 8)
    val DONE_GANG_SPEC = GANG_SPEC.copy(id = "job-000417", tasks = 8)
    val SPECS = listOf(ARRAY_SPEC, SERVICE_SPEC, GANG_SPEC, IDLE_SPEC)

    const val ACCEPTED_AT = 1_790_000_000_123_456L

    val DONE_RECORD = JobRecord(JobState.DONE, ACCEPTED_AT)

    fun acceptedRecord(spec: JobSpec) = JobRecord(JobState.ACCEPTED, ACCEPTED_AT, spec)

    fun cancelledRecord(spec: JobSpec) = JobRecord(JobState.CANCELLED, ACCEPTED_AT, spec)

    /** The number of tasks in a page, so that [ARRAY_SPEC] has three pages. */
    const val PAGE_SIZE = 16

    val CHARGES = listOf(Charge(Cost(88_750_000), 97.4), Charge(Cost(177_500_000), 0.125))

    fun newJob() = Job(ARRAY_SPEC, KeyVersion(7), Micros(ACCEPTED_AT), PAGE_SIZE)

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

    /** Placements in the second page: on three machines, one in two incarnations, in two zones. */
    fun placements(job: Job) =
        listOf(
            placement(job, 16, 1, "i-000001", 3, "east", 0),
            placement(job, 17, 2, "i-000001", 3, "east", 1),
            placement(job, 18, 1, "i-000001", 4, "east", 0),
            placement(job, 22, 1, "i-000002", 1, "west", 0),
            placement(job, 23, 4, "i-000003", 9_000_000_000, "east", 1),
        )

    /**
     * A job with tasks that are done ([DONE_TASKS]), waiting again after an attempt
     * ([LAST_ATTEMPTS]), placed ([placements]) and never attempted.
     */
    fun job(): Job =
        newJob().also { job ->
            val placedElsewhere = { task: Int, attempt: Int ->
                placement(job, task, attempt, "i-000009", 1, "east", 0)
            }
            for (task in DONE_TASKS) {
                val placed = placedElsewhere(task, 1)
                job.place(placed, Micros.ZERO)
                job.commit(placed)
                job.complete(task, Micros.ZERO)
                job.release(placed, Micros.ZERO)
            }
            for ((task, attempt) in LAST_ATTEMPTS) {
                val placed = placedElsewhere(task, attempt)
                job.place(placed, Micros.ZERO)
                job.commit(placed)
                job.release(placed, Micros.ZERO)
            }
            for (placed in placements(job)) job.place(placed, Micros.ZERO)
        }

    /**
     * A gang whose tasks are all placed in one zone. All tasks of a gang share an attempt number.
     */
    fun placedGang(): Job =
        newGang(GANG_SPEC).also { gang ->
            for (placed in gangPlacements(gang)) gang.place(placed, Micros.ZERO)
        }

    /** A gang that waits again after an attempt ended. */
    fun waitingGang(): Job =
        newGang(WAITING_GANG_SPEC).also { gang ->
            for (placed in gangPlacements(gang)) {
                gang.place(placed, Micros.ZERO)
                gang.commit(placed)
                gang.release(placed, Micros.ZERO)
            }
        }

    /**
     * A gang that is done, which is recorded for all tasks at once. All but the first task are
     * still on their machines.
     */
    fun doneGang(): Job =
        newGang(DONE_GANG_SPEC).also { gang ->
            val placed = gangPlacements(gang)
            for (placement in placed) gang.place(placement, Micros.ZERO)
            for (placement in placed) gang.commit(placement)
            for (task in 0 until gang.spec.tasks) gang.complete(task, Micros.ZERO)
            gang.release(placed.first(), Micros.ZERO)
        }

    fun newGang(spec: JobSpec) = Job(spec, KeyVersion(7), Micros(ACCEPTED_AT), PAGE_SIZE)

    const val GANG_ATTEMPT = 3

    /** Places the tasks of [gang], eight on each machine. */
    fun gangPlacements(gang: Job) =
        List(gang.spec.tasks) {
            placement(gang, it, GANG_ATTEMPT, "i-00001${it / 8}", 2, "east", 0)
        }

    val DONE_TASKS = listOf(0, 2, 3, 4, 5, 15, 20, 31)

    /** The last attempt number of tasks that wait again, by task. */
    val LAST_ATTEMPTS = mapOf(19 to 1, 24 to 3, 30 to 1)

    val PEER_HEARTBEAT =
        PeerHeartbeat(
            member = "n1",
            token = 4_711,
            timeSinceStoreResponse = 1_250_000,
            progress = listOf(JobProgress("job-000412", 8, 5), JobProgress("job-000413", 0, 0)),
            forwardingEnabled = true,
            cancellationCursors =
                listOf(CancellationCursor("n2", "n2-5f3a", 12), CancellationCursor("n3", "n3-1", 0)),
        )
    val FOLLOWER_HEARTBEAT = PeerHeartbeat(member = "n3")

    val CANCELLATION_UPDATE =
        CancellationUpdate(
            processIncarnation = "n2-5f3a",
            uptime = 86_400_000_000,
            firstIndex = 12,
            jobs = listOf("job-000412", "job-000413"),
            hasMore = true,
        )
    val EMPTY_CANCELLATION_UPDATE =
        CancellationUpdate(processIncarnation = "n3-1", uptime = 0, firstIndex = 0)

    const val WORKER_HEARTBEAT_BODY =
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
            fullHeartbeats = listOf(FullHeartbeat(6, WORKER_HEARTBEAT_BODY.encodeToByteArray())),
            unchanged = listOf(4, 90, 5, 1_000_000),
        )

    /** The first batch of a process: it has no leader clock to echo and no heartbeats. */
    fun firstBatch() =
        HeartbeatBatch(
            member = "n3",
            processIncarnation = "n3-1",
            number = 1,
            token = 4_711,
            echoedClock = 0,
            sinceEcho = 0,
        )

    val COMMANDS =
        listOf(
            WorkerCommand(
                typeName = "halt",
                task = "job-000412/16",
                attempt = 1,
                gracePeriodS = 4.5,
            ),
            WorkerCommand(typeName = "forget", task = "job-000412/17", attempt = 2),
        )

    fun response() =
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
                    UndeliveredCommands("i-000001", 3, COMMANDS),
                    UndeliveredCommands("i-000002", 1, emptyList()),
                ),
            rejectedMachines = listOf("i-000007"),
            rebalanceCount = 3,
            rebalanceTarget = "n1",
            redirectsWorkers = true,
            renewalAllowed = false,
        )

    fun defaultResponse() =
        HeartbeatBatchResponse(
            processIncarnation = "n3-1",
            number = 1,
            token = 4_711,
            leaderClock = 55_000_000,
            grantDuration = 5_280_000,
        )

    const val DECOMMISSION_REASON = "tasks fail on it"
    const val DECOMMISSIONED_MACHINE_KEY = "m/i-000001"

    /**
     * All values in the key-value store, by their keys. The value for a decommissioned machine is
     * written here as the placement store writes it; a test that runs a whole controller verifies
     * that the placement store does so.
     */
    fun storedValues(): Map<String, JsonElement> {
        val values = LinkedHashMap<String, JsonElement>()
        values[LeaderElection.KEY] =
            lenientJson.encodeToJsonElement(LeaderRecord.serializer(), LEADER_RECORD)
        values[FairQueue.KEY] = chargedFairQueue().toJson(Micros(TAGS_SAVED_AT))
        values[MachineTypeList.KEY] = MachineTypeList.encode(MACHINE_TYPES)
        for (spec in SPECS) {
            values[JobRecord.key(spec.jobId)] = acceptedRecord(spec).toJson()
            values[JobRecord.openKey(spec.jobId)] = acceptedRecord(spec).toJson()
            values[JobRecord.cancelledKey(spec.jobId)] = cancelledRecord(spec).toJson()
        }
        values[JobRecord.key(JobId("job-000001"))] = DONE_RECORD.toJson()
        val job = job()
        for (page in 0..2) values[TaskPageCodec.key(job.id, page)] = TaskPageCodec.encode(job, page)
        val gang = placedGang()
        for (page in 0..2) values[TaskPageCodec.key(gang.id, page)] =
            TaskPageCodec.encode(gang, page)
        for (other in listOf(waitingGang(), doneGang())) values[TaskPageCodec.key(other.id, 0)] =
            TaskPageCodec.encode(other, 0)
        values[DECOMMISSIONED_MACHINE_KEY] = JsonPrimitive(DECOMMISSION_REASON)
        values[StoredBatchClient.BATCH_KEY_PREFIX + "n3"] =
            JsonPrimitive(ForwardingCodec.pack(batch()))
        values[StoredBatchClient.RESPONSES_KEY] =
            JsonPrimitive(
                ForwardingCodec.pack(
                    StoredBatchResponses(
                        mapOf("n1" to defaultResponse(), "n3" to response().withoutCommands()) +
                            ("n4" to response())
                    )
                )
            )
        return values
    }

    /** The serialized messages between controllers, by their names in the samples. */
    fun messages(): Map<String, ByteArray> =
        mapOf(
            "beat" to PeerHeartbeatCodec.encode(PEER_HEARTBEAT),
            "beat of a follower" to PeerHeartbeatCodec.encode(FOLLOWER_HEARTBEAT),
            "told" to PeerHeartbeatCodec.encode(CANCELLATION_UPDATE),
            "nothing told" to PeerHeartbeatCodec.encode(EMPTY_CANCELLATION_UPDATE),
            "batch" to ForwardingCodec.encode(batch()),
            "first batch" to ForwardingCodec.encode(firstBatch()),
            "answer" to ForwardingCodec.encode(response()),
            "plain answer" to ForwardingCodec.encode(defaultResponse()),
        )
}
