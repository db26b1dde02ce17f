package wardmux.config

import kotlin.test.Test
import kotlin.test.assertTrue

/** How many machines a deployment takes follows from its sockets alone. */
class SocketBudgetTest {
    @Test
    fun `four thousand machines fit three controllers of 1,800 sockets`() {
        val budget = SocketBudget(1_800)
        assertTrue(3 * budget.workers >= 4_000, "${budget.workers} workers each")
        assertTrue(budget.clients - budget.workers >= 100, "users are left none")
    }

    @Test
    fun `what must get through keeps its sockets at every size`() {
        for (limit in listOf(33, 100, 500, 1_000, 3_000, 10_000)) {
            val budget = SocketBudget(limit)
            assertTrue(budget.clients in 1 until limit, "$limit")
            assertTrue(budget.workers <= budget.clients)
            if (limit >= 1_000) assertTrue(budget.directCommands + budget.clients < limit)
        }
    }
}
