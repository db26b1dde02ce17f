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
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.logging.logger
import wardmux.model.Micros

/** The size limit for request bodies of users, workers and operators. */
const val MAX_BODY_BYTES = 64 * 1024
private const val MAX_PEER_BODY_BYTES = 1024 * 1024
private const val ACCEPT_BACKLOG = 1024
private const val MAX_REQUEST_LINE_BYTES = 4096
private const val MAX_HEADER_BYTES = 8192
private const val MAX_CHUNK_BYTES = 8192
private const val NANOS_PER_MICRO = 1_000
private const val RETRY_AFTER_S = 1

/** Handles the requests that a server receives. */
fun interface HttpRequestHandler {
    /** Handles [request]; its response is sent later with [HttpServer.answer]. */
    fun handle(request: Input.Request)
}

/**
 * An HTTP server on one event loop. A new connection to the API listener is answered with 503 while
 * more than [maxConnections] are open. Workers may hold at most [maxWorkerConnections] connections,
 * so that users can always connect. A connection that is idle for [idleSeconds] is closed.
 */
class HttpServer(
    private val group: EventLoopGroup,
    private val maxConnections: Int,
    private val maxWorkerConnections: Int,
    private val idleSeconds: Long,
    private val handler: HttpRequestHandler,
) {
    private class PendingRequest(
        val channel: Channel,
        val keepAlive: Boolean,
        val receivedNanos: Long,
    )

    private val log = logger<HttpServer>()
    private val pendingRequests = Long2ObjectHashMap<PendingRequest>()
    private val responseTimes = ResponseTimes()
    private var lastRequestId = 0L
    private var openConnections = 0
    private var workerConnections = 0

    /** Accepts connections on [address]; requests received on them are marked with [listener]. */
    fun listen(address: InetSocketAddress, listener: ListenerKind): Channel =
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
                            .addLast(
                                HttpServerCodec(
                                    MAX_REQUEST_LINE_BYTES,
                                    MAX_HEADER_BYTES,
                                    MAX_CHUNK_BYTES,
                                )
                            )
                            .addLast(BodyAggregator(maxBodyBytes(listener)))
                            .addLast(Connection(listener))
                    }
                }
            )
            .bind(address)
            .sync()
            .channel()

    /**
     * The limit for requests of users and workers comes from the protocol. The protocol sets no
     * limit for messages between controllers, so the limit for peers is larger.
     */
    private fun maxBodyBytes(listener: ListenerKind) =
        if (listener == ListenerKind.PEER) MAX_PEER_BODY_BYTES else MAX_BODY_BYTES

    /**
     * Answers the request [id]. Sends a Retry-After header of [retryAfterS] seconds unless it is
     * null. Does nothing if the request was already answered or its connection is closed.
     */
    fun answer(id: Long, status: Int, body: ByteArray, retryAfterS: Int?) {
        val request = pendingRequests.remove(id) ?: return
        val now = System.nanoTime()
        responseTimes.record(Micros((now - request.receivedNanos) / NANOS_PER_MICRO))
        responseTimes.logIfDue(Micros(now / NANOS_PER_MICRO))
        respond(request.channel, request.keepAlive, status, body, retryAfterS)
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

    /**
     * Answers 400 to a body that is too large: the protocol treats it as malformed, like any other
     * invalid body.
     */
    private inner class BodyAggregator(maxBytes: Int) : HttpObjectAggregator(maxBytes) {
        override fun handleOversizedMessage(context: ChannelHandlerContext, head: HttpMessage) =
            respond(context.channel(), false, HttpStatus.BAD_REQUEST, ByteArray(0), null)
    }

    /** Counts one connection and passes its requests to [handler]. */
    private inner class Connection(private val listener: ListenerKind) :
        ChannelInboundHandlerAdapter() {
        private var currentRequestId = 0L
        private var isWorker = false

        override fun channelActive(context: ChannelHandlerContext) {
            openConnections++
            // The response is sent without waiting for a request, so that the client can try
            // another controller at once.
            if (listener == ListenerKind.API && openConnections > maxConnections)
                respondUnavailable(context)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            openConnections--
            if (isWorker) workerConnections--
            pendingRequests.remove(currentRequestId)
        }

        private fun respondUnavailable(context: ChannelHandlerContext) =
            respond(
                context.channel(),
                false,
                HttpStatus.SERVICE_UNAVAILABLE,
                ByteArray(0),
                RETRY_AFTER_S,
            )

        /**
         * Returns whether a request for [path] may be handled. The first heartbeat marks the
         * connection as a worker's; it is rejected if workers already hold all connections that
         * they may have.
         */
        private fun admit(path: String): Boolean {
            if (isWorker || listener != ListenerKind.API || path != ApiPaths.HEARTBEAT) return true
            isWorker = true
            return ++workerConnections <= maxWorkerConnections
        }

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                val request = message as? FullHttpRequest ?: return
                if (request.decoderResult().isFailure) {
                    respond(context.channel(), false, HttpStatus.BAD_REQUEST, ByteArray(0), null)
                    return
                }
                if (admit(request.uri())) receive(context, request) else respondUnavailable(context)
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        private fun receive(context: ChannelHandlerContext, request: FullHttpRequest) {
            val body = ByteArray(request.content().readableBytes())
            request.content().readBytes(body)
            val id = ++lastRequestId
            currentRequestId = id
            pendingRequests[id] =
                PendingRequest(context.channel(), HttpUtil.isKeepAlive(request), System.nanoTime())
            val method = request.method().name()
            handler.handle(Input.Request(id, listener, method, request.uri(), body))
        }

        @Deprecated("Netty marks this method as deprecated")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            log.debug(
                "connection on the {} listener failed and is closed: {}",
                listener,
                cause.toString(),
            )
            context.close()
        }
    }
}
