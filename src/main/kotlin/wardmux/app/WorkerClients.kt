package wardmux.app

import io.netty.channel.EventLoopGroup
import java.net.InetSocketAddress
import wardmux.config.SettingsFiles
import wardmux.http.HttpClient

/**
 * HTTP clients for workers, by address. Keeps the clients of the [maxClients] most recently used
 * addresses. A response body may have up to [maxResponseBytes] bytes.
 */
class WorkerClients(
    private val group: EventLoopGroup,
    private val maxClients: Int,
    private val maxResponseBytes: Int,
) {
    private val clients =
        object : LinkedHashMap<String, HttpClient>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, HttpClient>) =
                size > maxClients
        }

    /**
     * Returns the client for [address], which a worker reported. If the address is malformed,
     * requests that the client sends fail.
     */
    fun get(address: String): HttpClient =
        clients.getOrPut(address) {
            val socketAddress = SettingsFiles.parseAddress(address) ?: UNREACHABLE_ADDRESS
            HttpClient(group, socketAddress, 1, maxResponseBytes, keepAlive = false)
        }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f

        /** Connecting to this address always fails. */
        val UNREACHABLE_ADDRESS = InetSocketAddress("0.0.0.0", 1)
    }
}
