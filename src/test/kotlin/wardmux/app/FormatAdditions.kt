package wardmux.app

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import wardmux.drain.BudgetStatus
import wardmux.drain.DeadlineAction
import wardmux.drain.DrainCheck
import wardmux.drain.DrainError
import wardmux.drain.DrainList
import wardmux.drain.DrainRecord
import wardmux.drain.DrainRequest
import wardmux.drain.DrainSelector
import wardmux.drain.DrainState
import wardmux.drain.DrainStatus
import wardmux.drain.DrainStep
import wardmux.drain.ForwardedRequest
import wardmux.drain.ForwardedResponse
import wardmux.drain.PauseReason
import wardmux.drain.Source
import wardmux.drain.StepOrder
import wardmux.drain.StepPhase
import wardmux.drain.operatorJson
import wardmux.forwarding.ForwardingCodec
import wardmux.forwarding.HeartbeatBatchResponse
import wardmux.forwarding.StoredBatchClient
import wardmux.forwarding.StoredBatchResponses
import wardmux.lease.CancelledTasks
import wardmux.model.TaskAttempt
import wardmux.serialization.CborFormat

/**
 * The values that the samples of [FormatSamples.ADDITIONS] hold, whose formats are newer than those
 * in [FormatContents]: drains as they are stored, forwarded to the leader and shown to operators,
 * and the cancelled tasks that forwarding controllers must halt.
 */
object FormatAdditions {
    private const val STARTED_AT = 1_790_000_000_000_001L

    private val STEP =
        DrainStep(
            number = 3,
            phase = StepPhase.EMPTYING,
            machines = listOf("i-000003", "i-000001"),
            moved = listOf("job-000413/0", "job-000413/2"),
            beganAt = 1_790_000_000_000_002,
            emptyingSince = 1_790_000_000_000_003,
        )

    val REQUEST =
        DrainRequest(
            id = "rack-7",
            select =
                DrainSelector(
                    machines = listOf("i-000001", "i-000003"),
                    types = listOf("rackmid", "plain"),
                    zones = listOf("east"),
                    spot = true,
                    olderThan = "2026-09-01T06:30:00+02:00",
                ),
            order = StepOrder.BY_ZONE,
            stepSize = 2,
            graceS = 45.5,
            deadline = "2026-09-30T22:00:00+02:00",
            atDeadline = DeadlineAction.CONTINUE,
        )

    /** A drain with all optional fields. */
    val DRAIN =
        DrainRecord(
            request = REQUEST,
            state = DrainState.PAUSED,
            token = 4_711,
            startedAt = STARTED_AT,
            changedAt = 1_790_000_000_000_004,
            newest = "i-000042",
            reason = PauseReason.LOSS,
            note = "team web: 3 of 4",
            step = STEP,
            stepsDone = 5,
            returned = 6,
            moved = 7,
            stepEndedAt = 1_790_000_000_000_008,
            lastStep = 9_000_000,
        )

    /** A drain that sets only the fields without a default. */
    private fun minimalDrain(id: String, state: DrainState) =
        DrainRecord(
            request = DrainRequest(id, DrainSelector()),
            state = state,
            token = 1,
            startedAt = 2,
            changedAt = 3,
            newest = "i-000004",
        )

    private fun drainWithOrder(id: String, order: StepOrder): DrainRecord {
        val plain = minimalDrain(id, DrainState.PLANNED)
        return plain.copy(request = plain.request.copy(order = order))
    }

    private fun runningDrain(id: String, phase: StepPhase): DrainRecord {
        val step = DrainStep(number = 1, phase = phase, machines = emptyList(), beganAt = 5)
        return minimalDrain(id, DrainState.RUNNING).copy(step = step)
    }

    private fun pausedDrain(id: String, reason: PauseReason) =
        minimalDrain(id, DrainState.PAUSED).copy(reason = reason)

    /** Drains that together contain each value of each enum. */
    private val DRAINS =
        listOf(
            DRAIN,
            drainWithOrder("planned", StepOrder.FEWEST_STEPS),
            drainWithOrder("emptiest-first", StepOrder.EMPTIEST_FIRST),
            runningDrain("preparing", StepPhase.PREPARING),
            runningDrain("emptying", StepPhase.EMPTYING),
            runningDrain("settling", StepPhase.SETTLING),
            pausedDrain("by-operator", PauseReason.OPERATOR),
            pausedDrain("by-deadline", PauseReason.DEADLINE),
            pausedDrain("by-loss", PauseReason.LOSS),
            pausedDrain("by-budget", PauseReason.BUDGET),
            minimalDrain("done", DrainState.DONE),
            minimalDrain("cancelled", DrainState.CANCELLED),
            minimalDrain("failed", DrainState.FAILED),
        )

    /** A response that names cancelled jobs and the tasks to halt on two machines. */
    private fun haltingResponse() =
        HeartbeatBatchResponse(
            processIncarnation = "n3-1",
            number = 41,
            token = 4_711,
            leaderClock = 55_500_000,
            grantDuration = 5_280_000,
            cancelledJobs = listOf("job-000412", "job-000414"),
            mustHalt =
                listOf(
                    CancelledTasks(
                        "i-000001",
                        listOf(TaskAttempt("job-000412/16", 1), TaskAttempt("job-000412/17", 2)),
                    ),
                    CancelledTasks("i-000002", emptyList()),
                ),
        )

    /** A response of a leader that sends the list of tasks to halt, which is empty. */
    private fun emptyHaltingResponse() =
        HeartbeatBatchResponse(
            processIncarnation = "n3-1",
            number = 42,
            token = 4_711,
            leaderClock = 55_600_000,
            mustHalt = emptyList(),
        )

    /** All values in the key-value store, by their keys. */
    fun storedValues(): Map<String, JsonElement> {
        val drains = DRAINS.associate { DrainRecord.key(it.request.id) to it.toJson() }
        val answers =
            mapOf(
                "n1" to emptyHaltingResponse(),
                "n3" to haltingResponse(),
                "n4" to haltingResponse().withoutCommands(),
            )
        val packed = JsonPrimitive(ForwardingCodec.pack(StoredBatchResponses(answers)))
        return drains + (StoredBatchClient.RESPONSES_KEY to packed)
    }

    /** Negative and non-negative bytes, because the codec writes bytes as signed numbers. */
    private val BODY = byteArrayOf(123, 0, 127, -128, -1, 125)

    /** The serialized messages between controllers, by their names in the samples. */
    fun messages(): Map<String, ByteArray> =
        mapOf(
            "halting answer" to ForwardingCodec.encode(haltingResponse()),
            "nothing to halt" to ForwardingCodec.encode(emptyHaltingResponse()),
            "forwarded request" to
                CborFormat.encode(
                    ForwardedRequest.serializer(),
                    ForwardedRequest("POST", "/drains/rack-7/pause", BODY),
                ),
            "forwarded answer" to
                CborFormat.encode(
                    ForwardedResponse.serializer(),
                    ForwardedResponse(503, """{"error":"später"}""", retryAfterS = 2),
                ),
            "plain forwarded answer" to
                CborFormat.encode(ForwardedResponse.serializer(), ForwardedResponse(200, "{}")),
        )

    private val BUDGET = BudgetStatus(team = "web", limit = 4, disrupted = 3, minReplicas = 2)

    private val STATUS =
        DrainStatus(
            record = DRAIN,
            source = Source.LEADER,
            ageS = 0.25,
            waitsFor = "the budget of web",
            remaining = 11,
            budgets = listOf(BUDGET),
        )

    private val STATUS_FROM_STORE =
        DrainStatus(record = minimalDrain("done", DrainState.DONE), source = Source.STORE)

    private val CHECK =
        DrainCheck(
            machines = 3,
            steps = listOf(listOf("i-000001", "i-000003"), listOf("i-000002")),
            tasksToMove = 17,
            budgets = listOf(BUDGET),
            stoppedBy = "no room for job-000413",
        )

    /**
     * The requests of operators and the responses to them as JSON, by their names in the samples.
     */
    fun operatorMessages(): Map<String, String> =
        mapOf(
            "request" to encode(DrainRequest.serializer(), REQUEST),
            "error" to encode(DrainError.serializer(), DrainError("no such drain: rack-8")),
            "error of a drain that is over" to
                encode(DrainError.serializer(), DrainError("rack-7 is over", DrainState.CANCELLED)),
            "status" to encode(DrainStatus.serializer(), STATUS),
            "stored status" to encode(DrainStatus.serializer(), STATUS_FROM_STORE),
            "list" to
                encode(
                    DrainList.serializer(),
                    DrainList(listOf(STATUS_FROM_STORE), listOf("rack-9")),
                ),
            "check" to encode(DrainCheck.serializer(), CHECK),
            "plain check" to
                encode(DrainCheck.serializer(), DrainCheck(0, emptyList(), 0, emptyList())),
        )

    private fun <T> encode(serializer: KSerializer<T>, value: T): String =
        operatorJson.encodeToString(serializer, value)
}
