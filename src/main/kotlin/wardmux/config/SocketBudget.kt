package wardmux.config

/**
 * Divides the open-file limit of a controller's process among its uses. Sockets to the services, to
 * peers and for direct commands are reserved, so that users and workers cannot use them up at any
 * load. Workers get a limit of their own, so that some sockets remain for users.
 */
class SocketBudget(fdLimit: Int) {
    /**
     * The most direct commands and probes to machines that are in flight at once. Each uses a
     * connection of its own.
     */
    val directCommands = maxOf(MIN_DIRECT_COMMANDS, fdLimit / SOCKETS_PER_DIRECT_COMMAND)

    /** The most connections that users and workers together may have open. */
    val clients = fdLimit - (RESERVED_SERVICE_SOCKETS + directCommands).coerceAtMost(fdLimit / 2)

    /** The most connections that workers may have open. */
    val workers = (clients * WORKER_CONNECTIONS_SHARE).toInt()

    private companion object {
        /** Reserved for the key-value store, the cloud, peers in both directions and open files. */
        const val RESERVED_SERVICE_SOCKETS = 80
        const val MIN_DIRECT_COMMANDS = 96

        /** The open-file limit is divided by this to get the number of direct commands. */
        const val SOCKETS_PER_DIRECT_COMMAND = 16
        const val WORKER_CONNECTIONS_SHARE = 0.88
    }
}
