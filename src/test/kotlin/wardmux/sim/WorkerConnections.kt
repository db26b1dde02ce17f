package wardmux.sim

/** Which worker is connected to which controller; each controller takes so many and no more. */
class WorkerConnections(private val most: Int) {
    private val nodeOf = HashMap<String, String>()
    private val counts = HashMap<String, Int>()

    /** Connects a worker, which leaves the controller that it was connected to; false if full. */
    fun admits(worker: String, node: String): Boolean {
        if (nodeOf[worker] == node) return true
        nodeOf.remove(worker)?.let { counts.merge(it, -1, Int::plus) }
        if ((counts[node] ?: 0) >= most) return false
        nodeOf[worker] = node
        counts.merge(node, 1, Int::plus)
        return true
    }

    /** The controller's process ended. */
    fun closeAll(node: String) {
        nodeOf.values.removeAll { it == node }
        counts.remove(node)
    }
}
