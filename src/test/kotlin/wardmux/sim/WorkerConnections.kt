package wardmux.sim

/** Tracks which worker is connected to which controller, and limits connections per controller. */
class WorkerConnections(private val maxPerController: Int) {
    private val controllerOf = HashMap<String, String>()
    private val connectionCounts = HashMap<String, Int>()

    /**
     * Connects [worker] to [controller] and closes its connection to any other controller. Returns
     * false if [controller] already has the most connections that it accepts.
     */
    fun tryConnect(worker: String, controller: String): Boolean {
        if (controllerOf[worker] == controller) return true
        controllerOf.remove(worker)?.let { connectionCounts.merge(it, -1, Int::plus) }
        if ((connectionCounts[controller] ?: 0) >= maxPerController) return false
        controllerOf[worker] = controller
        connectionCounts.merge(controller, 1, Int::plus)
        return true
    }

    /** Closes all connections of [controller], whose process has ended. */
    fun closeAll(controller: String) {
        controllerOf.values.removeAll { it == controller }
        connectionCounts.remove(controller)
    }
}
