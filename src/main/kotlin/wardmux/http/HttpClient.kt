package wardmux.http

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.Future
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit
import wardmux.core.Outcome
import wardmux.model.Micros

/**
 * Sends HTTP requests to one address over at most [maxConnections] connections. Each connection
 * carries one request at a time; further requests are queued. A request that gets no response
 * within its timeout fails, and its connection is closed. A response body may have up to
 * [maxResponseBytes] bytes. If [keepAlive] is false, each request uses a new connection; this suits
 * addresses that rarely receive requests.
 */
class HttpClient(
    private val group: EventLoopGroup,
    private val address: InetSocketAddress,
    private val maxConnections: Int,
    private val maxResponseBytes: Int,
    private val keepAlive: Boolean = true,
) {
    /** A request whose outcome is not known yet. [channel] is null until the request is written. */
    private class PendingRequest(
        val method: String,
        val path: String,
        val body: ByteArray,
        val deadlineNanos: Long,
        val onOutcome: (Outcome) -> Unit,
    ) {
        var isCompleted = false
        var timer: Future<*>? = null
        var channel: Channel? = null

        fun complete(outcome: Outcome) {
            if (isCompleted) return
            isCompleted = true
            timer?.cancel(false)
            onOutcome(outcome)
        }
    }

    private val idleChannels = ArrayDeque<Channel>()
    private val queuedRequests = ArrayDeque<PendingRequest>()

    /** The number of connections that are open or being opened. */
    private var openConnections = 0
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel
                            .pipeline()
                            .addLast(HttpClientCodec())
                            .addLast(HttpObjectAggregator(maxResponseBytes))
                            .addLast(ResponseHandler())
                    }
                }
            )

    /**
     * Sends a request, or queues it while all connections are in use. [onOutcome] is called once,
     * after [timeout] at the latest.
     */
    fun send(
        method: String,
        path: String,
        body: ByteArray,
        timeout: Micros,
        onOutcome: (Outcome) -> Unit,
    ) {
        val nanos = timeout.value * 1_000
        val pending = PendingRequest(method, path, body, System.nanoTime() + nanos, onOutcome)
        pending.timer = group.next().schedule({ expire(pending) }, nanos, TimeUnit.NANOSECONDS)
        queuedRequests.addLast(pending)
        sendQueued()
    }

    /** Ends [pending] after its timeout; it may have reached the server only if it was written. */
    private fun expire(pending: PendingRequest) {
        val channel = pending.channel
        channel?.close()
        pending.complete(if (channel == null) Outcome.NotSent else Outcome.NoResponse)
    }

    private fun sendQueued() {
        while (queuedRequests.isNotEmpty()) {
            if (queuedRequests.first().isCompleted) {
                queuedRequests.removeFirst()
                continue
            }
            val channel = idleChannels.removeLastOrNull()
            when {
                channel != null ->
                    if (channel.isActive) write(channel, queuedRequests.removeFirst())
                openConnections < maxConnections -> connect(queuedRequests.removeFirst())
                else -> return
            }
        }
    }

    private fun connect(pending: PendingRequest) {
        openConnections++
        bootstrap
            .connect(address)
            .addListener(
                ChannelFutureListener { future ->
                    val channel = future.channel()
                    when {
                        !future.isSuccess -> {
                            openConnections--
                            pending.complete(Outcome.NotSent)
                            sendQueued()
                        }
                        pending.isCompleted -> if (keepAlive) release(channel) else channel.close()
                        else -> write(channel, pending)
                    }
                }
            )
    }

    private fun write(channel: Channel, pending: PendingRequest) {
        pending.channel = channel
        channel.pipeline().get(ResponseHandler::class.java).pending = pending
        val request =
            DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(pending.method),
                pending.path,
                Unpooled.wrappedBuffer(pending.body),
            )
        request.headers().set(HttpHeaderNames.HOST, "${address.hostString}:${address.port}")
        if (pending.body.isNotEmpty() || pending.method == "POST") {
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, pending.body.size)
        }
        if (!keepAlive) request.headers().set(HttpHeaderNames.CONNECTION, "close")
        channel.writeAndFlush(request)
    }

    /** Makes the connection available to the next request. */
    private fun release(channel: Channel) {
        if (channel.isActive) idleChannels.addLast(channel)
        sendQueued()
    }

    /** Completes the request that is pending on one connection. */
    private inner class ResponseHandler : ChannelInboundHandlerAdapter() {
        var pending: PendingRequest? = null

        override fun channelRead(context: ChannelHandlerContext, message: Any) {
            try {
                val response = message as? FullHttpResponse ?: return
                val body = ByteArray(response.content().readableBytes())
                response.content().readBytes(body)
                val completed = pending
                pending = null
                completed?.channel = null
                if (keepAlive && HttpUtil.isKeepAlive(response)) release(context.channel())
                else context.close()
                completed?.complete(Outcome.Response(response.status().code(), body))
            } finally {
                ReferenceCountUtil.release(message)
            }
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            openConnections--
            idleChannels.remove(context.channel())
            val completed = pending
            pending = null
            completed?.complete(Outcome.NoResponse)
            sendQueued()
        }

        @Deprecated("Netty marks this method as deprecated")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private companion object {
        const val CONNECT_TIMEOUT_MS = 1_000
    }
}
