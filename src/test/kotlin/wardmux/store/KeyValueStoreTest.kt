package wardmux.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.core.Effect
import wardmux.model.Revision
import wardmux.model.milliseconds
import wardmux.model.seconds

/** What becomes of requests when there are more than the rate limits of the store allow. */
class KeyValueStoreTest {
    private val context = CoreContext()
    private val store = KeyValueStore(context, StoreLimits(7.0, 7.0, 8.0, 8), controllers = 7)
    private val sent = ArrayList<String>()

    private fun advance(seconds: Int, eachStep: () -> Unit = {}) =
        repeat(seconds * 10) {
            context.setTime(context.now + 100.milliseconds, context.wallTime)
            eachStep()
            store.sendDue()
            for (effect in context.takeEffects()) if (effect is Effect.SendRequest)
                sent.add(effect.path)
        }

    @Test
    fun `behind many reads a follower still learns who leads`() {
        context.setTime(1.seconds, 1.seconds)
        advance(5) { repeat(5) { store.get("j/job-000001") {} } }
        store.watch("leader", Revision(1), 8.seconds, RequestPriority.LEASE) {}
        advance(1) { repeat(5) { store.get("j/job-000001") {} } }
        assertTrue(sent.any { it.startsWith("/watch?under=leader") }, "the watch was never sent")
    }

    @Test
    fun `a request whose turn never comes expires in time and is not left unanswered`() {
        context.setTime(1.seconds, 1.seconds)
        var expired = 0
        advance(4) {
            repeat(5) { store.get("j/job-000001", RequestPriority.LEADER) {} }
            store.get("j/job-000002", RequestPriority.READ) {
                if (it is StoreResult.NotExecuted) expired++
            }
        }
        // All but those of the last 1.2 s.
        assertTrue(expired >= 25, "$expired of 40 expired")
        assertEquals(0, sent.count { it.endsWith("job-000002") })
    }
}
