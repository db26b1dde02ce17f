package wardmux.worker

import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull
import kotlin.test.assertSame

/** With thousands of machines most heartbeats say nothing new, and have to cost little. */
class WorkerHeartbeatReaderTest {
    private val reader = WorkerHeartbeatReader()

    private fun body(machine: Int, tick: Long, token: Long = 7, tasks: String = "") =
        """{"box":"i-%06d","endpoint":"10.1.0.9:9","boxkind":"mid","ward":"a","shift":1,"""
            .format(machine) + """"tick":$tick,"baton":$token,"recall_s":null,"pieces":[$tasks]}"""

    private fun read(text: String) = reader.read(text.encodeToByteArray())

    private fun task(index: Int, status: String) =
        """{"piece":"job-000001/$index","try":1,"status":"$status"}"""

    @Test
    fun `at full size only what changed is parsed, and read as parsing would read it`() {
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
                assertEquals(parsedWithoutCache(text), read(text))
            }
        }
        assertEquals(machines + changes, reader.parsedCount)
    }

    /** As a reader that has cached nothing reads it. */
    private fun parsedWithoutCache(text: String) =
        WorkerHeartbeatReader().read(text.encodeToByteArray())

    @Test
    fun `any other difference counts, and what is no heartbeat is rejected`() {
        val first = read(body(1, 5, tasks = task(0, "running")))!!
        val second = read(body(1, 16, tasks = task(0, "running")))!!
        assertEquals(16, second.tick)
        assertSame(first.tasks, second.tasks)
        assertNotEquals(first.token, read(body(1, 17, token = 8))!!.token)
        assertEquals(2, reader.parsedCount)
        for (invalidBody in
            listOf("", "[]", "{", """{"box":"i-000001","tick":}""", "{\"tick\":5,\"box\":")) {
            assertNull(read(invalidBody))
        }
        // A name that only looks like the machine's must not find another one's heartbeat.
        val withDecoyField = body(1, 18).replace("\"pieces\"", "\"other\":\"i-000002\",\"pieces\"")
        assertEquals("i-000001", read(withDecoyField)?.machine)
    }
}
