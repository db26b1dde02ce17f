package wardmux.sim

/** Which worker is connected to which controller; each controller takes so many and no more. */
class WorkerConnections(private val maxPerController: Int) {
    private val controllerOf = HashMap<String, String>()
    private val connectionCounts = HashMap<String, Int>()

    /** Connects a worker, which leaves the controller that it was connected to; false if full. */
    fun tryConnect(worker: String, controller: String): Boolean {
        if (controllerOf[worker] == controller) return true
        controllerOf.remove(worker)?.let { connectionCounts.merge(it, -1, Int::plus) }
        if ((connectionCounts[controller] ?: 0) >= maxPerController) return false
        controllerOf[worker] = controller
        connectionCounts.merge(controller, 1, Int::plus)
        return true
    }

    /** The controller's process ended. */
    fun closeAll(controller: String) {
        controllerOf.values.removeAll { it == controller }
        connectionCounts.remove(controller)
    }
}
