package wardmux.worker

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertSame

/**
 * With thousands of machines, most heartbeats repeat the previous one except for the tick and must
 * be cheap to read. Guards against parsing these, which costs too much CPU time, and against taking
 * a changed heartbeat, or one of another machine, for a repeated one.
 */
class WorkerHeartbeatReaderTest {
    private val reader = WorkerHeartbeatReader()

    /** The body of a heartbeat with [tasks] as the content of its list of tasks. */
    private fun body(machine: Int, tick: Long, token: Long = 7, tasks: String = "") =
        """{"box":"i-%06d","endpoint":"10.1.0.9:9","boxkind":"mid","ward":"a","shift":1,"""
            .format(machine) + """"tick":$tick,"baton":$token,"recall_s":null,"pieces":[$tasks]}"""

    private fun read(text: String) = reader.read(text.encodeToByteArray())

    /** The first attempt at a task of job-000001, as a heartbeat lists it. */
    private fun task(index: Int, status: String) =
        """{"piece":"job-000001/$index","try":1,"status":"$status"}"""

    @Test
    fun `of 2000 machines only changed heartbeats are parsed, and all are read as if parsed`() {
        val random = Random(7)
        val machines = 2_000
        val tasks = Array(machines) { "" }
        var changes = 0L
        for (round in 1L..6L) {
            for (machine in 0 until machines) {
                if (round > 1 && random.nextInt(10) == 0) {
                    tasks[machine] = task(round.toInt(), if (random.nextBoolean()) "x" else "ended")
                    changes++
                }
                val text = body(machine, round * 8 + random.nextInt(8), tasks = tasks[machine])
                assertEquals(parsedWithoutCache(text), read(text), "heartbeat read from $text")
            }
        }
        assertEquals(machines + changes, reader.parsedCount, "number of parsed heartbeats")
    }

    /** Returns the heartbeat in [text] as a reader with an empty cache reads it. */
    private fun parsedWithoutCache(text: String) =
        WorkerHeartbeatReader().read(text.encodeToByteArray())

    @Test
    fun `a heartbeat with more than a new tick is parsed, and an invalid body is rejected`() {
        val first = read(body(1, 5, tasks = task(0, "running")))!!
        val second = read(body(1, 16, tasks = task(0, "running")))!!
        assertEquals(16, second.tick, "tick of the second heartbeat")
        assertSame(first.tasks, second.tasks, "expected the cached list of tasks")
        assertNotEquals(
            first.token,
            read(body(1, 17, token = 8))!!.token,
            "expected the changed token, not the cached one",
        )
        assertEquals(2, reader.parsedCount, "number of parsed heartbeats")
        for (invalidBody in
            listOf("", "[]", "{", """{"box":"i-000001","tick":}""", "{\"tick\":5,\"box\":")) {
            assertNull(read(invalidBody), "heartbeat read from the invalid body $invalidBody")
        }
        // The id of another machine in an unknown field must not select that machine's cached
        // heartbeat.
        val withDecoyField = body(1, 18).replace("\"pieces\"", "\"other\":\"i-000002\",\"pieces\"")
        assertEquals("i-000001", read(withDecoyField)?.machine, "machine read from $withDecoyField")
    }
}
