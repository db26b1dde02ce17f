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
 * What the samples of the formats say that are newer than [FormatContents]: drains, as they are
 * stored, passed on and shown to operators, and cancelled tasks that relays have to halt.
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

    /** With all optional fields. */
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

    /** With the fields that have no default only. */
    private fun plainDrain(id: String, state: DrainState) =
        DrainRecord(
            request = DrainRequest(id, DrainSelector()),
            state = state,
            token = 1,
            startedAt = 2,
            changedAt = 3,
            newest = "i-000004",
        )

    private fun ordered(id: String, order: StepOrder): DrainRecord {
        val plain = plainDrain(id, DrainState.PLANNED)
        return plain.copy(request = plain.request.copy(order = order))
    }

    private fun running(id: String, phase: StepPhase): DrainRecord {
        val step = DrainStep(number = 1, phase = phase, machines = emptyList(), beganAt = 5)
        return plainDrain(id, DrainState.RUNNING).copy(step = step)
    }

    private fun paused(id: String, reason: PauseReason) =
        plainDrain(id, DrainState.PAUSED).copy(reason = reason)

    /** Among them, each value of each enumeration is there. */
    private val DRAINS =
        listOf(
            DRAIN,
            ordered("planned", StepOrder.FEWEST_STEPS),
            ordered("emptiest-first", StepOrder.EMPTIEST_FIRST),
            running("preparing", StepPhase.PREPARING),
            running("emptying", StepPhase.EMPTYING),
            running("settling", StepPhase.SETTLING),
            paused("by-operator", PauseReason.OPERATOR),
            paused("by-deadline", PauseReason.DEADLINE),
            paused("by-loss", PauseReason.LOSS),
            paused("by-budget", PauseReason.BUDGET),
            plainDrain("done", DrainState.DONE),
            plainDrain("cancelled", DrainState.CANCELLED),
            plainDrain("failed", DrainState.FAILED),
        )

    private fun haltingAnswer() =
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

    /** Of a leader that names the tasks to be halted, and has none. */
    private fun nothingToHalt() =
        HeartbeatBatchResponse(
            processIncarnation = "n3-1",
            number = 42,
            token = 4_711,
            leaderClock = 55_600_000,
            mustHalt = emptyList(),
        )

    /** All that the state service holds, by its key. */
    fun stored(): Map<String, JsonElement> {
        val drains = DRAINS.associate { DrainRecord.key(it.request.id) to it.toJson() }
        val answers =
            mapOf(
                "n1" to nothingToHalt(),
                "n3" to haltingAnswer(),
                "n4" to haltingAnswer().withoutCommands(),
            )
        val packed = JsonPrimitive(ForwardingCodec.pack(StoredBatchResponses(answers)))
        return drains + (StoredBatchClient.RESPONSES_KEY to packed)
    }

    /** Bytes with and without a sign, as the codec writes them as numbers. */
    private val BODY = byteArrayOf(123, 0, 127, -128, -1, 125)

    /** What controllers send each other, by its name. */
    fun messages(): Map<String, ByteArray> =
        mapOf(
            "halting answer" to ForwardingCodec.encode(haltingAnswer()),
            "nothing to halt" to ForwardingCodec.encode(nothingToHalt()),
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

    private val STORED_STATUS =
        DrainStatus(record = plainDrain("done", DrainState.DONE), source = Source.STORE)

    private val CHECK =
        DrainCheck(
            machines = 3,
            steps = listOf(listOf("i-000001", "i-000003"), listOf("i-000002")),
            tasksToMove = 17,
            budgets = listOf(BUDGET),
            stoppedBy = "no room for job-000413",
        )

    /** What operators send and are answered, by its name. */
    fun operators(): Map<String, String> =
        mapOf(
            "request" to text(DrainRequest.serializer(), REQUEST),
            "error" to text(DrainError.serializer(), DrainError("no such drain: rack-8")),
            "error of a drain that is over" to
                text(DrainError.serializer(), DrainError("rack-7 is over", DrainState.CANCELLED)),
            "status" to text(DrainStatus.serializer(), STATUS),
            "stored status" to text(DrainStatus.serializer(), STORED_STATUS),
            "list" to
                text(DrainList.serializer(), DrainList(listOf(STORED_STATUS), listOf("rack-9"))),
            "check" to text(DrainCheck.serializer(), CHECK),
            "plain check" to
                text(DrainCheck.serializer(), DrainCheck(0, emptyList(), 0, emptyList())),
        )

    private fun <T> text(serializer: KSerializer<T>, value: T): String =
        operatorJson.encodeToString(serializer, value)
}
