package wardmux.store

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import wardmux.config.StoreLimits
import wardmux.core.CoreContext
import wardmux.core.Effect
import wardmux.model.milliseconds
import wardmux.model.seconds

/** What becomes of requests when there are more than the state service takes. */
class KeyValueStoreTest {
    private val context = CoreContext()
    private val store = KeyValueStore(context, StoreLimits(7.0, 7.0, 8.0, 8), nodes = 7)
    private val sent = ArrayList<String>()

    private fun pass(inSeconds: Int, ask: () -> Unit = {}) =
        repeat(inSeconds * 10) {
            context.setTime(context.now + 100.milliseconds, context.wallTime)
            ask()
            store.sendDue()
            for (effect in context.takeEffects()) if (effect is Effect.SendRequest)
                sent.add(effect.path)
        }

    @Test
    fun `behind many questions a follower still learns who leads`() {
        context.setTime(1.seconds, 1.seconds)
        pass(5) { repeat(5) { store.get("j/job-000001") {} } }
        store.watch("leader", 1, 8.seconds, RequestPriority.LEASE) {}
        pass(1) { repeat(5) { store.get("j/job-000001") {} } }
        assertTrue(sent.any { it.startsWith("/watch?under=leader") }, "the watch was never sent")
    }

    @Test
    fun `what its turn never comes for is refused in time, not left unanswered`() {
        context.setTime(1.seconds, 1.seconds)
        var refused = 0
        pass(4) {
            repeat(5) { store.get("j/job-000001", RequestPriority.LEADER) {} }
            store.get("j/job-000002", RequestPriority.READ) {
                if (it is StoreResult.Refused) refused++
            }
        }
        // All but those of the last 1.2 s.
        assertTrue(refused >= 25, "$refused of 40 were refused")
        assertEquals(0, sent.count { it.endsWith("job-000002") })
    }
}
