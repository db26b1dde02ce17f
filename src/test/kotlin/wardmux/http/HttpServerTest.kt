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

/**
 * Sends requests through real sockets. Guards against malformed requests that go unanswered or make
 * a connection unusable, and against connections of workers that keep users from connecting.
 */
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
            harness.call(request.method, request.path, request.body)
                ?: (500 to "the controller did not answer")
        server.answer(request.id, status, body.encodeToByteArray(), null)
    }

    @AfterTest
    fun close() {
        group.shutdownGracefully(0, 0, java.util.concurrent.TimeUnit.SECONDS)
    }

    /** Sends a request and returns the status of its response. */
    private fun Socket.sendForStatus(
        method: String,
        path: String,
        body: ByteArray = ByteArray(0),
    ): Int {
        val head = "$method $path HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.size}\r\n\r\n"
        getOutputStream().write(head.encodeToByteArray() + body)
        getOutputStream().flush()
        return readStatus()
    }

    /** Reads a whole response and returns its status, or -1 if the connection was closed. */
    private fun Socket.readStatus(): Int {
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
    fun `each invalid request gets the status for its fault and the connection stays open`() {
        connect().use { socket ->
            assertEquals(400, socket.sendForStatus("POST", "/submissions", "{".encodeToByteArray()))
            assertEquals(
                400,
                socket.sendForStatus("POST", "/submissions", "[]".encodeToByteArray()),
            )
            val fields = listOf("cores", "pieces", "shape", "name_id", "loaners")
            for (field in fields) {
                assertEquals(
                    400,
                    socket.sendForStatus("POST", "/submissions", submission(field to null)),
                )
            }
            assertEquals(404, socket.sendForStatus("GET", "/submissions/job-000777"))
            assertEquals(404, socket.sendForStatus("GET", "/submissions/nonsense"))
            assertEquals(404, socket.sendForStatus("POST", "/submissions/job-000777/abort"))
            assertEquals(404, socket.sendForStatus("GET", "/nowhere"))
            assertEquals(405, socket.sendForStatus("GET", "/submissions"))
            assertEquals(405, socket.sendForStatus("DELETE", "/submissions/job-000777"))
            assertEquals(400, socket.sendForStatus("POST", "/hello", "x".encodeToByteArray()))
            assertEquals(200, socket.sendForStatus("GET", "/ready"))
        }
    }

    @Test
    fun `an infeasible job is rejected unless its id was already accepted`() {
        connect().use { socket ->
            val unknownTeam = submission("owner" to JsonPrimitive("nobody"))
            assertEquals(422, socket.sendForStatus("POST", "/submissions", unknownTeam))
            val huge = submission("cores" to JsonPrimitive(17.0))
            assertEquals(422, socket.sendForStatus("POST", "/submissions", huge))
            assertEquals(201, socket.sendForStatus("POST", "/submissions", submission()))
            // The id was accepted: the answer to a repeat is the state of the job, whatever its
            // body.
            assertEquals(200, socket.sendForStatus("POST", "/submissions", submission()))
            assertEquals(200, socket.sendForStatus("POST", "/submissions", huge))
            assertEquals(
                200,
                socket.sendForStatus("POST", "/submissions", submission("cores" to null)),
            )
            assertEquals(200, socket.sendForStatus("POST", "/submissions/job-000412/abort"))
            assertEquals(200, socket.sendForStatus("GET", "/submissions/job-000412"))
        }
    }

    @Test
    fun `a body over the size limit gets 400`() {
        connect().use { socket ->
            assertEquals(
                400,
                socket.sendForStatus("POST", "/submissions", ByteArray(MAX_BODY_BYTES + 1)),
            )
        }
    }

    @Test
    fun `a request that is not HTTP gets 400`() {
        connect().use { socket ->
            socket.getOutputStream().write("rubbish\r\n\r\n".encodeToByteArray())
            assertEquals(400, socket.readStatus())
        }
    }

    @Test
    fun `a worker beyond the limit for workers gets 503 while users are still served`() {
        val workerSockets = List(2) { connect().also { it.sendForStatus("POST", "/hello") } }
        connect().use { assertEquals(503, it.sendForStatus("POST", "/hello")) }
        connect().use { assertEquals(200, it.sendForStatus("GET", "/ready")) }
        workerSockets.forEach { it.close() }
    }

    @Test
    fun `a connection beyond the limit gets 503 before it sends a request`() {
        val openSockets =
            List(3) { connect().also { assertEquals(200, it.sendForStatus("GET", "/ready")) } }
        connect().use { assertEquals(503, it.readStatus()) }
        assertEquals(200, openSockets.first().sendForStatus("GET", "/ready"))
        openSockets.forEach { it.close() }
    }
}
