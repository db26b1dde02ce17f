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

/**
 * Guards against requests being starved or left without a result when a controller has more
 * requests than the rate limits of the key-value store allow, so that a backlog forms.
 */
class KeyValueStoreTest {
    private val context = CoreContext()
    private val store = KeyValueStore(context, StoreLimits(7.0, 7.0, 8.0, 8), controllers = 7)
    private val sent = ArrayList<String>()

    /** Advances the time in steps of 100 ms and collects the paths of the requests sent. */
    private fun advance(seconds: Int, eachStep: () -> Unit = {}) =
        repeat(seconds * 10) {
            context.setTime(context.now + 100.milliseconds, context.wallTime)
            eachStep()
            store.sendDue()
            for (effect in context.takeEffects()) if (effect is Effect.SendRequest)
                sent.add(effect.path)
        }

    @Test
    fun `a follower's watch of the leader key is sent despite a backlog of reads`() {
        context.setTime(1.seconds, 1.seconds)
        advance(5) { repeat(5) { store.get("j/job-000001") {} } }
        store.watch("leader", Revision(1), 8.seconds, RequestPriority.LEASE) {}
        advance(1) { repeat(5) { store.get("j/job-000001") {} } }
        assertTrue(
            sent.any { it.startsWith("/watch?under=leader") },
            "expected a watch of the leader key, but none was sent",
        )
    }

    @Test
    fun `a request that is never sent because of a backlog expires at its deadline`() {
        context.setTime(1.seconds, 1.seconds)
        var expired = 0
        advance(4) {
            repeat(5) { store.get("j/job-000001", RequestPriority.LEADER) {} }
            store.get("j/job-000002", RequestPriority.READ) {
                if (it is StoreResult.NotExecuted) expired++
            }
        }
        // All requests expire except those of the last 1.2 s, which have not reached their
        // deadline.
        assertTrue(expired >= 25, "expected at least 25 of 40 requests to expire, but $expired did")
        assertEquals(0, sent.count { it.endsWith("job-000002") })
    }
}
