package wardmux.app

import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import org.junit.jupiter.api.io.TempDir
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.config.SettingsFiles

/**
 * Guards against a controller that does not serve users because another process occupies the
 * address for operators.
 */
class DaemonTest {
    @TempDir lateinit var directory: File

    private val loopback = InetAddress.getLoopbackAddress()

    private fun freePort() = ServerSocket(0, 1, loopback).use { it.localPort }

    private fun canConnect(port: Int): Boolean =
        try {
            Socket().use { it.connect(InetSocketAddress(loopback, port), 1_000) }
            true
        } catch (e: java.io.IOException) {
            false
        }

    @Test
    fun `users are served while the address for operators can't be bound`() {
        val file = File(directory, "settings.toml")
        file.writeText(CdsTrainingRun.SAMPLE_SETTINGS)
        val apiPort = freePort()
        val platform =
            SettingsFiles.platform(file)
                .copy(apiAddress = "127.0.0.1:$apiPort", peerAddress = "127.0.0.1:${freePort()}")
        val occupiedSocket = ServerSocket(0, 1, loopback)
        val operators = OperatorSettings(drain = DrainSettings(":${occupiedSocket.localPort}"))
        val daemon = Thread { Daemon(platform, operators).run() }
        daemon.isDaemon = true
        daemon.start()
        while (!canConnect(apiPort)) {
            check(daemon.isAlive) { "the daemon ended before it accepted connections of users" }
            Thread.sleep(50)
        }
        daemon.join(1_000)
        check(daemon.isAlive && canConnect(apiPort)) {
            "the daemon ended or stopped accepting connections of users"
        }
        occupiedSocket.close()
    }
}
