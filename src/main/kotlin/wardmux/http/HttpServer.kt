package wardmux.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.timeout.ReadTimeoutHandler
import io.netty.util.ReferenceCountUtil
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import org.agrona.collections.Long2ObjectHashMap
import wardmux.core.HttpStatus
import wardmux.core.ListenerKind
import wardmux.logging.logger
import wardmux.model.Micros

/** The largest body that users and workers may send. */
const val MAX_BODY_BYTES = 64 * 1024
private const val MAX_PEER_BYTES = 1024 * 1024
private const val ACCEPT_BACKLOG = 1024
private const val MAX_REQUEST_LINE = 4096
private const val MAX_HEADERS = 8192
private const val MAX_CHUNK = 8192
private const val NANOS_PER_MICRO = 1_000

/** A request as it came in; answered with [HttpServer.answer]. */
class Arrival(
    val id: Long,
    val port: ListenerKind,
    val method: String,
    val path: String,
    val body: ByteArray,
)

/** Netty's HTTP codec on NIO. Bounds how many connections are open and how long one may idle. */
class HttpServer(
    private val group: EventLoopGroup,
    private val maxConnections: Int,
    /** So many of them may be workers': users always get through. */
    private val maxWorkers: Int,
    private val idleSeconds: Long,
    private val onArrival: (Arrival) -> Unit,
) {
    private class Pending(val channel: Channel, val keepAlive: Boolean, val since: Long)

    private val log = logger<HttpServer>()
    private val pending = Long2ObjectHashMap<Pending>()
    private val times = AnswerTimes("answers")
    private var lastId = 0L
    private var open = 0
    private var workers = 0

    /** Accepts connections on [address]; requests come in under [port]. */
    fun listen(address: InetSocketAddress, port: ListenerKind): Channel =
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel
                            .pipeline()
                            .addLast(ReadTimeoutHandler(idleSeconds, TimeUnit.SECONDS))
                            .addLast(HttpServerCodec(MAX_REQUEST_LINE, MAX_HEADERS, MAX_CHUNK))
                            .addLast(Bodies(maxBody(port)))
                            .addLast(Connection(port))
                    }
                }
            )
            .bind(address)
            .sync()
            .channel()

    /** What the controllers tell each other is not bound by PROTOCOL. */
    private fun maxBody(port: ListenerKind) =
        if (port == ListenerKind.PEER) MAX_PEER_BYTES else MAX_BODY_BYTES

    /** Answers a request once; without effect if its connection is gone. */
    fun answer(id: Long, status: Int, body: ByteArray, retryAfterS: Int?) {
        val waiting = pending.remove(id) ?: return
        val now = System.nanoTime()
        times.record(Micros((now - waiting.since) / NANOS_PER_MICRO))
        times.tell(Micros(now / NANOS_PER_MICRO))
        respond(waiting.channel, waiting.keepAlive, status, body, retryAfterS)
    }

    private fun respond(
        channel: Channel,
        keepAlive: Boolean,
        status: Int,
        body: ByteArray,
        retryAfterS: Int?,
    ) {
        if (!channel.isActive) return
        val response =
            DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.wrappedBuffer(body),
            )
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.size)
        if (retryAfterS != null) headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterS)
        if (!keepAlive) headers.set(HttpHeaderNames.CONNECTION, "close")
        val sent = channel.writeAndFlush(response)
        if (!keepAlive) sent.addListener(ChannelFutureListener.CLOSE)
    }

    /** A body over the limit is malformed, like any other that PROTOCOL does not allow. */
    private inner class Bodies(limit: Int) : HttpObjectAggregator(limit) {
        override fun handleOversizedMessage(context: ChannelHandlerContext, head: HttpMessage) =
            respond(context.channel(), false, HttpStatus.BAD_REQUEST, ByteArray(0), null)
    }

    private inner class Connection(private val port: ListenerKind) :
        ChannelInboundHandlerAdapter() {
        private var current = 0L
        private var worker = false

        override fun channelActive(context: ChannelHandlerContext) {
            open++
            // Too many: an answer at once, so that the asker can go elsewhere.
            if (port == ListenerKind.API && open > maxConnections) {
                respond(context.channel(), false, HttpStatus.SERVICE_UNAVAILABLE, ByteArray(0), 1)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            open--
            if (worker) workers--
            pending.remove(current)
        }

        /** False if this is one worker more than there are to be. */
        private fun admits(path: String): Boolean {
            if (worker || port != ListenerKind.API || path != ApiPaths.REPORT) return true
            worker = true
            return ++workers <= maxWorkers
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                val request = message as? FullHttpRequest ?: return
                if (request.decoderResult().isFailure) {
                    respond(context.channel(), false, HttpStatus.BAD_REQUEST, ByteArray(0), null)
                    return
                }
                if (!admits(request.uri())) {
                    respond(
                        context.channel(),
                        false,
                        HttpStatus.SERVICE_UNAVAILABLE,
                        ByteArray(0),
                        1,
                    )
                    return
                }
                val body = ByteArray(request.content().readableBytes())
                request.content().readBytes(body)
                val id = ++lastId
                current = id
                pending[id] =
                    Pending(context.channel(), HttpUtil.isKeepAlive(request), System.nanoTime())
                onArrival(Arrival(id, port, request.method().name(), request.uri(), body))
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        @Deprecated("Netty's own marking")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.debug("connection closed: {}", cause.toString())
            context.close()
        }
    }
}
