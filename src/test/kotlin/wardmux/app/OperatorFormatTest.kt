package wardmux.app

import kotlin.test.Test
import kotlin.test.assertContentEquals
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
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
import wardmux.serialization.CborFormat
import wardmux.serialization.lenientJson

/**
 * Guards against drains and operators' messages that this version can't read from another version:
 * a drain may continue under a later version than the one that started it, and controllers of two
 * versions forward operators' requests to each other. This class tests that the samples are read;
 * [FormatAdditionsTest] tests that they are written byte for byte.
 */
class OperatorFormatTest {
    private val samples = FormatSamples(FormatSamples.ADDITIONS)
    private val operatorMessages: Map<String, String> =
        Json.parseToJsonElement(samples.text("operators")).jsonObject.mapValues {
            it.value.jsonPrimitive.content
        }

    /**
     * Runs [check] on the stored drain as it is and with unknown fields, as a later version might
     * write it. Both must be encoded again to the original text.
     */
    private fun checkDrain(id: String, check: (DrainRecord) -> Unit) {
        val value = samples.stored.getValue("d/$id")
        for (stored in listOf(value, FormatTree.withUnknownFields(value))) {
            val record = drain(stored)
            check(record)
            assertEquals(value.toString(), record.toJson().toString(), id)
        }
    }

    private fun drain(stored: JsonElement): DrainRecord =
        lenientJson.decodeFromJsonElement(DrainRecord.serializer(), stored)

    /** Does the same for a message between controllers. */
    private fun <T : Any> checkMessage(
        name: String,
        serializer: KSerializer<T>,
        check: (T) -> Unit,
    ) {
        val bytes = samples.messages.getValue(name)
        val extended = FormatTree.toCbor(FormatTree.withUnknownFields(FormatTree.parseCbor(bytes)))
        for (sent in listOf(bytes, extended)) {
            val message = assertNotNull(CborFormat.decode(serializer, sent), name)
            check(message)
            assertContentEquals(bytes, CborFormat.encode(serializer, message), name)
        }
    }

    /** Decodes a message and asserts that it is encoded again to the original text. */
    private fun <T> decodeOperatorMessage(name: String, serializer: KSerializer<T>): T {
        val text = operatorMessages.getValue(name)
        return operatorJson.decodeFromString(serializer, text).also {
            assertEquals(text, operatorJson.encodeToString(serializer, it), name)
        }
    }

    private fun assertSelector(select: DrainSelector) {
        assertEquals(listOf("i-000001", "i-000003"), select.machines)
        assertEquals(listOf("rackmid", "plain"), select.types)
        assertEquals(listOf("east"), select.zones)
        assertEquals(true, select.spot)
        assertEquals("2026-09-01T06:30:00+02:00", select.olderThan)
    }

    private fun assertAllFields(request: DrainRequest) {
        assertEquals("rack-7", request.id)
        assertSelector(request.select)
        assertEquals(StepOrder.BY_ZONE, request.order)
        assertEquals(2, request.stepSize)
        assertEquals(45.5, request.graceS)
        assertEquals("2026-09-30T22:00:00+02:00", request.deadline)
        assertEquals(DeadlineAction.CONTINUE, request.atDeadline)
    }

    private fun assertAllFields(step: DrainStep?) {
        assertNotNull(step)
        assertEquals(3, step.number)
        assertEquals(StepPhase.EMPTYING, step.phase)
        assertEquals(listOf("i-000003", "i-000001"), step.machines)
        assertEquals(listOf("job-000413/0", "job-000413/2"), step.moved)
        assertEquals(1_790_000_000_000_002, step.beganAt)
        assertEquals(1_790_000_000_000_003, step.emptyingSince)
    }

    private fun assertAllFields(record: DrainRecord) {
        assertAllFields(record.request)
        assertEquals(DrainState.PAUSED, record.state)
        assertEquals(4_711, record.token)
        assertEquals(1_790_000_000_000_001, record.startedAt)
        assertEquals(1_790_000_000_000_004, record.changedAt)
        assertEquals("i-000042", record.newest)
        assertEquals(PauseReason.LOSS, record.reason)
        assertEquals("team web: 3 of 4", record.note)
        assertAllFields(record.step)
        assertEquals(5, record.stepsDone)
        assertEquals(6, record.returned)
        assertEquals(7, record.moved)
        assertEquals(1_790_000_000_000_008, record.stepEndedAt)
        assertEquals(9_000_000, record.lastStep)
    }

    private fun assertDefaultFields(request: DrainRequest) {
        assertEquals("done", request.id)
        val all = DrainSelector(emptyList(), emptyList(), emptyList(), null, null)
        assertEquals(all, request.select)
        assertEquals(StepOrder.FEWEST_STEPS, request.order)
        assertEquals(4, request.stepSize)
        assertEquals(60.0, request.graceS)
        assertNull(request.deadline)
        assertEquals(DeadlineAction.PAUSE, request.atDeadline)
    }

    private fun assertDefaultFields(record: DrainRecord) {
        assertDefaultFields(record.request)
        assertEquals(DrainState.DONE, record.state)
        assertEquals(1, record.token)
        assertEquals(2, record.startedAt)
        assertEquals(3, record.changedAt)
        assertEquals("i-000004", record.newest)
        assertNull(record.reason)
        assertEquals("", record.note)
        assertNull(record.step)
        assertEquals(listOf(0, 0, 0), listOf(record.stepsDone, record.returned, record.moved))
        assertEquals(listOf(0L, 0L), listOf(record.stepEndedAt, record.lastStep))
    }

    @Test
    fun `a drain is read with and without its optional fields`() {
        checkDrain("rack-7") { assertAllFields(it) }
        checkDrain("done") { assertDefaultFields(it) }
    }

    @Test
    fun `a drain is read in each state and order`() {
        checkDrain("planned") { assertEquals(DrainState.PLANNED, it.state) }
        checkDrain("preparing") { assertEquals(DrainState.RUNNING, it.state) }
        checkDrain("by-loss") { assertEquals(DrainState.PAUSED, it.state) }
        checkDrain("done") { assertEquals(DrainState.DONE, it.state) }
        checkDrain("cancelled") { assertEquals(DrainState.CANCELLED, it.state) }
        checkDrain("failed") { assertEquals(DrainState.FAILED, it.state) }
        checkDrain("planned") { assertEquals(StepOrder.FEWEST_STEPS, it.request.order) }
        checkDrain("emptiest-first") { assertEquals(StepOrder.EMPTIEST_FIRST, it.request.order) }
        checkDrain("rack-7") { assertEquals(StepOrder.BY_ZONE, it.request.order) }
    }

    @Test
    fun `a drain is read in each phase of its step and for each reason of a pause`() {
        checkDrain("preparing") { assertEquals(StepPhase.PREPARING, it.step?.phase) }
        checkDrain("emptying") { assertEquals(StepPhase.EMPTYING, it.step?.phase) }
        checkDrain("settling") { assertEquals(StepPhase.SETTLING, it.step?.phase) }
        checkDrain("by-operator") { assertEquals(PauseReason.OPERATOR, it.reason) }
        checkDrain("by-deadline") { assertEquals(PauseReason.DEADLINE, it.reason) }
        checkDrain("by-loss") { assertEquals(PauseReason.LOSS, it.reason) }
        checkDrain("by-budget") { assertEquals(PauseReason.BUDGET, it.reason) }
    }

    @Test
    fun `the serialized names of all enum values are unchanged`() {
        assertElementNames(Source.serializer(), "leader", "store")
        assertElementNames(DeadlineAction.serializer(), "pause", "continue")
        assertElementNames(StepOrder.serializer(), "fewest_steps", "emptiest_first", "by_zone")
        val states = arrayOf("planned", "running", "paused", "done", "cancelled", "failed")
        assertElementNames(DrainState.serializer(), *states)
        assertElementNames(PauseReason.serializer(), "operator", "deadline", "loss", "budget")
        assertElementNames(StepPhase.serializer(), "preparing", "emptying", "settling")
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun assertElementNames(serializer: KSerializer<*>, vararg names: String) {
        val descriptor = serializer.descriptor
        val found = List(descriptor.elementsCount) { descriptor.getElementName(it) }
        assertEquals(names.toList(), found)
    }

    @Test
    fun `forwarded requests and the leader's responses are read`() {
        checkMessage("forwarded request", ForwardedRequest.serializer()) {
            assertEquals("POST", it.method)
            assertEquals("/drains/rack-7/pause", it.path)
            assertContentEquals(byteArrayOf(123, 0, 127, -128, -1, 125), it.body)
        }
        checkMessage("forwarded answer", ForwardedResponse.serializer()) {
            assertEquals(503, it.status)
            assertEquals("""{"error":"später"}""", it.body)
            assertEquals(2, it.retryAfterS)
        }
        checkMessage("plain forwarded answer", ForwardedResponse.serializer()) {
            assertEquals(200, it.status)
            assertEquals("{}", it.body)
            assertNull(it.retryAfterS)
        }
    }

    @Test
    fun `an operator's request is read unless it has an unknown field`() {
        assertAllFields(decodeOperatorMessage("request", DrainRequest.serializer()))
        val extended =
            FormatTree.withUnknownFields(
                Json.parseToJsonElement(operatorMessages.getValue("request"))
            )
        assertFailsWith<SerializationException> {
            operatorJson.decodeFromJsonElement(DrainRequest.serializer(), extended)
        }
    }

    @Test
    fun `error responses are read with and without the state of a drain`() {
        val error = decodeOperatorMessage("error", DrainError.serializer())
        assertEquals("no such drain: rack-8", error.error)
        assertNull(error.state)
        val over = decodeOperatorMessage("error of a drain that is over", DrainError.serializer())
        assertEquals("rack-7 is over", over.error)
        assertEquals(DrainState.CANCELLED, over.state)
    }

    private fun assertWebBudget(budget: BudgetStatus) {
        assertEquals("web", budget.team)
        assertEquals(4, budget.limit)
        assertEquals(3, budget.disrupted)
        assertEquals(2, budget.minReplicas)
    }

    private fun assertStoredStatus(status: DrainStatus) {
        assertDefaultFields(status.record)
        assertEquals(Source.STORE, status.source)
        assertEquals(0.0, status.ageS)
        assertEquals("", status.waitsFor)
        assertNull(status.remaining)
        assertEquals(emptyList(), status.budgets)
    }

    @Test
    fun `the status of a drain is read, both from the leader and from the store`() {
        val status = decodeOperatorMessage("status", DrainStatus.serializer())
        assertAllFields(status.record)
        assertEquals(Source.LEADER, status.source)
        assertEquals(0.25, status.ageS)
        assertEquals("the budget of web", status.waitsFor)
        assertEquals(11, status.remaining)
        assertWebBudget(status.budgets.single())
        assertStoredStatus(decodeOperatorMessage("stored status", DrainStatus.serializer()))
    }

    @Test
    fun `the list of drains is read with its unreadable drains`() {
        val list = decodeOperatorMessage("list", DrainList.serializer())
        assertStoredStatus(list.drains.single())
        assertEquals(listOf("rack-9"), list.unreadable)
    }

    @Test
    fun `the result of checking a drain is read`() {
        val check = decodeOperatorMessage("check", DrainCheck.serializer())
        assertEquals(3, check.machines)
        assertEquals(listOf(listOf("i-000001", "i-000003"), listOf("i-000002")), check.steps)
        assertEquals(17, check.tasksToMove)
        assertWebBudget(check.budgets.single())
        assertEquals("no room for job-000413", check.stoppedBy)
        val plain = decodeOperatorMessage("plain check", DrainCheck.serializer())
        assertEquals(DrainCheck(0, emptyList(), 0, emptyList(), null), plain)
    }
}
