package wardmux.config

/**
 * How the sockets that a controller may have open are divided. What must get through at any load,
 * to the services, the siblings and single machines, is kept from users and workers; and workers
 * leave some to users.
 */
class SocketBudget(limit: Int) {
    /**
     * Direct commands and probes to machines under way at once: each has a connection of its own.
     */
    val directCommands = maxOf(LEAST_DIRECT, limit / DIRECT_PART)

    /** Connections that users and workers may have open together. */
    val clients = limit - (SERVICES + directCommands).coerceAtMost(limit / 2)

    /** Connections that workers may have open. */
    val workers = (clients * WORKERS_PART).toInt()

    private companion object {
        /**
         * For the state service, the cloud, the siblings' requests and ours, and what is no socket.
         */
        const val SERVICES = 80
        const val LEAST_DIRECT = 96
        const val DIRECT_PART = 16
        const val WORKERS_PART = 0.88
    }
}
