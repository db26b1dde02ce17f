package wardmux.config

import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * The sockets of the controllers limit how many machines a deployment can have. Guards against a
 * division that leaves too few sockets for workers or users, or lets them take those reserved for
 * the services, peers and direct commands.
 */
class SocketBudgetTest {
    @Test
    fun `three controllers with 1800 sockets each take 4000 machines`() {
        val budget = SocketBudget(1_800)
        assertTrue(
            3 * budget.workers >= 4_000,
            "expected 4000 or more workers in all, but was 3 times ${budget.workers}",
        )
        assertTrue(
            budget.clients - budget.workers >= 100,
            "expected 100 or more sockets for users, but was ${budget.clients - budget.workers}",
        )
    }

    @Test
    fun `services, peers and direct commands keep reserved sockets at every limit`() {
        for (limit in listOf(33, 100, 500, 1_000, 3_000, 10_000)) {
            val budget = SocketBudget(limit)
            assertTrue(
                budget.clients in 1 until limit,
                "expected 1 to ${limit - 1} clients, but was ${budget.clients}",
            )
            assertTrue(
                budget.workers <= budget.clients,
                "expected at most ${budget.clients} workers, but was ${budget.workers}",
            )
            if (limit >= 1_000)
                assertTrue(
                    budget.directCommands + budget.clients < limit,
                    "expected ${budget.directCommands} direct commands and ${budget.clients} " +
                        "clients together below $limit",
                )
        }
    }
}
