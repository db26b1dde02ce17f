package wardmux.http

import io.netty.channel.nio.NioEventLoopGroup
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlinx.serialization.json.JsonPrimitive
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.jobs.submission
import wardmux.model.seconds
import wardmux.sim.ControllerHarness

/** Bad requests through a real socket are answered at once, and the connection stays usable. */
class HttpServerTest {
    private val harness = ControllerHarness().also { it.run(2.seconds) }
    private val group = NioEventLoopGroup(1)
    private val server =
        HttpServer(group, maxConnections = 3, maxWorkerConnections = 2, idleSeconds = 60, ::answer)
    private val address =
        server
            .listen(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), ListenerKind.API)
            .localAddress() as InetSocketAddress

    private fun answer(request: Input.Request) {
        val (status, body) =
            harness.call(request.method, request.path, request.body) ?: (500 to "no answer")
        server.answer(request.id, status, body.encodeToByteArray(), null)
    }

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS)
    }

    private fun Socket.ask(method: String, path: String, body: ByteArray = ByteArray(0)): Int {
        val head = "$method $path HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.size}\r\n\r\n"
        getOutputStream().write(head.encodeToByteArray() + body)
        getOutputStream().flush()
        return status()
    }

    private fun Socket.status(): Int {
        val input = getInputStream()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return -1
            head.append(next.toChar())
        }
        val length =
            Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE).find(head)?.groupValues?.get(1)
        input.readNBytes(length?.toInt() ?: 0)
        return head.substring(9, 12).toInt()
    }

    private fun connect() = Socket(address.address, address.port).also { it.soTimeout = 20_000 }

    @Test
    fun `each bad request has its status and the connection stays open`() {
        connect().use { socket ->
            assertEquals(400, socket.ask("POST", "/submissions", "{".encodeToByteArray()))
            assertEquals(400, socket.ask("POST", "/submissions", "[]".encodeToByteArray()))
            val fields = listOf("cores", "pieces", "shape", "name_id", "loaners")
            for (field in fields) {
                assertEquals(400, socket.ask("POST", "/submissions", submission(field to null)))
            }
            assertEquals(404, socket.ask("GET", "/submissions/job-000777"))
            assertEquals(404, socket.ask("GET", "/submissions/nonsense"))
            assertEquals(404, socket.ask("POST", "/submissions/job-000777/abort"))
            assertEquals(404, socket.ask("GET", "/nowhere"))
            assertEquals(405, socket.ask("GET", "/submissions"))
            assertEquals(405, socket.ask("DELETE", "/submissions/job-000777"))
            assertEquals(400, socket.ask("POST", "/hello", "x".encodeToByteArray()))
            assertEquals(200, socket.ask("GET", "/ready"))
        }
    }

    @Test
    fun `an infeasible job is refused, and a known job never is`() {
        connect().use { socket ->
            val unknownTeam = submission("owner" to JsonPrimitive("nobody"))
            assertEquals(422, socket.ask("POST", "/submissions", unknownTeam))
            val huge = submission("cores" to JsonPrimitive(17.0))
            assertEquals(422, socket.ask("POST", "/submissions", huge))
            assertEquals(201, socket.ask("POST", "/submissions", submission()))
            // The id is known now: whatever the repeat says, the answer is its state.
            assertEquals(200, socket.ask("POST", "/submissions", submission()))
            assertEquals(200, socket.ask("POST", "/submissions", huge))
            assertEquals(200, socket.ask("POST", "/submissions", submission("cores" to null)))
            assertEquals(200, socket.ask("POST", "/submissions/job-000412/abort"))
            assertEquals(200, socket.ask("GET", "/submissions/job-000412"))
        }
    }

    @Test
    fun `a body over the limit is malformed`() {
        connect().use { socket ->
            assertEquals(400, socket.ask("POST", "/submissions", ByteArray(MAX_BODY_BYTES + 1)))
        }
    }

    @Test
    fun `a request that is not HTTP is malformed`() {
        connect().use { socket ->
            socket.getOutputStream().write("rubbish\r\n\r\n".encodeToByteArray())
            assertEquals(400, socket.status())
        }
    }

    @Test
    fun `a connection beyond the workers' limit gets 503, and users are still served`() {
        val workers = List(2) { connect().also { it.ask("POST", "/hello") } }
        connect().use { assertEquals(503, it.ask("POST", "/hello")) }
        connect().use { assertEquals(200, it.ask("GET", "/ready")) }
        workers.forEach { it.close() }
    }

    @Test
    fun `a connection beyond the limit gets 503 at once`() {
        val open = List(3) { connect().also { assertEquals(200, it.ask("GET", "/ready")) } }
        connect().use { assertEquals(503, it.status()) }
        assertEquals(200, open.first().ask("GET", "/ready"))
        open.forEach { it.close() }
    }
}
