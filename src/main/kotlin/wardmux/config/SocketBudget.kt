package wardmux.config

/**
 * Divides the open-file limit of a controller's process. Sockets to the services, to peers and for
 * direct commands are reserved, so that users and workers cannot use them up at any load; and
 * workers leave some to users.
 */
class SocketBudget(fdLimit: Int) {
    /** Direct commands and probes to machines at once: each has a connection of its own. */
    val directCommands = maxOf(MIN_DIRECT_COMMANDS, fdLimit / SOCKETS_PER_DIRECT_COMMAND)

    /** Connections that users and workers may have open together. */
    val clients = fdLimit - (RESERVED_SERVICE_SOCKETS + directCommands).coerceAtMost(fdLimit / 2)

    /** Connections that workers may have open. */
    val workers = (clients * WORKER_CONNECTIONS_SHARE).toInt()

    private companion object {
        /** For the key-value store, the cloud, peers in both directions, and open files. */
        const val RESERVED_SERVICE_SOCKETS = 80
        const val MIN_DIRECT_COMMANDS = 96
        const val SOCKETS_PER_DIRECT_COMMAND = 16
        const val WORKER_CONNECTIONS_SHARE = 0.88
    }
}
