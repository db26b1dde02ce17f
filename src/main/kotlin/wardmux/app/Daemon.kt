package wardmux.app

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import java.net.BindException
import java.util.UUID
import java.util.concurrent.TimeUnit
import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.config.SettingsFiles
import wardmux.core.Effect
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.core.Target
import wardmux.http.HttpClient
import wardmux.http.HttpServer
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.milliseconds

/**
 * Connects a [Controller] to sockets and clocks. One event loop runs the controller and its I/O.
 */
class Daemon(private val platform: PlatformConfig, private val operators: OperatorSettings) {
    private val log = logger<Daemon>()
    private val group = NioEventLoopGroup(1)
    private val controller = Controller(platform, operators, newProcessIncarnation())
    private val sockets = platform.deployment.limits.sockets
    private val server =
        HttpServer(group, sockets.clients, sockets.workers, CONNECTION_IDLE_TIMEOUT_S) {
            handle(it)
        }
    private val backgroundExecutor = BackgroundExecutor()
    private val clients = HashMap<Target, HttpClient>()
    private val workerClients = WorkerClients(group, sockets.workers, MAX_RESPONSE_BYTES)

    init {
        addClient(Target.KeyValueStore, platform.services.state, MAX_STORE_CONNECTIONS)
        addClient(Target.Cloud, platform.services.cloud, MAX_CLOUD_CONNECTIONS)
        for (peer in platform.peers) {
            addClient(Target.Peer(peer.member), peer.address, MAX_CONNECTIONS_PER_PEER)
        }
    }

    private fun addClient(target: Target, address: String, maxConnections: Int) {
        val socketAddress = requireNotNull(SettingsFiles.parseAddress(address))
        clients[target] = HttpClient(group, socketAddress, maxConnections, MAX_RESPONSE_BYTES)
    }

    /**
     * Listens for peers, users and operators, and blocks until the listener for users is closed.
     * Throws [BindException] if the address for peers or for users can't be bound.
     */
    fun run() {
        val eventLoop = group.next()
        eventLoop
            .submit {
                eventLoop.scheduleWithFixedDelay(
                    { handle(Input.Tick) },
                    0,
                    TICK_PERIOD.value,
                    TimeUnit.MICROSECONDS,
                )
            }
            .sync()
        bind(platform.peerAddress, ListenerKind.PEER)
        val apiChannel = bind(platform.apiAddress, ListenerKind.API)
        log.info("{} listens for users on {}", platform.member, platform.apiAddress)
        listenForOperators(apiChannel)
    }

    /**
     * Binds the listener for operators, and blocks until [apiChannel] is closed. If the address
     * can't be bound, users are served all the same, and binding is retried every
     * [OPERATOR_LISTENER_RETRY_S] seconds.
     */
    private fun listenForOperators(apiChannel: Channel) {
        var isBound = bindOperators(isRetry = false)
        while (!apiChannel.closeFuture().await(OPERATOR_LISTENER_RETRY_S, TimeUnit.SECONDS)) {
            if (!isBound) isBound = bindOperators(isRetry = true)
        }
    }

    /** Returns true if the listener for operators is bound or is not configured. */
    private fun bindOperators(isRetry: Boolean): Boolean {
        val address = operators.drain?.listenerAddress ?: return true
        try {
            bind(address, ListenerKind.OPERATOR)
            log.info("{} listens for operators on {}", platform.member, address)
            return true
        } catch (e: BindException) {
            if (!isRetry) {
                log.warn(
                    "can't listen for operators on drain.address {}, retrying every {} s: {}",
                    address,
                    OPERATOR_LISTENER_RETRY_S,
                    e.message,
                )
            }
            return false
        }
    }

    /**
     * Returns an identifier that no other process has. Two processes may read the same time from a
     * clock or draw the same random number, so the identifier combines the time of day, the
     * monotonic time, the process id and a random UUID.
     */
    private fun newProcessIncarnation(): String {
        val wall = System.currentTimeMillis()
        return "$wall-${System.nanoTime()}-${ProcessHandle.current().pid()}-${UUID.randomUUID()}"
    }

    private fun bind(address: String, listener: ListenerKind) =
        server.listen(requireNotNull(SettingsFiles.parseAddress(address)), listener)

    private fun handle(input: Input) {
        val effects =
            try {
                val now = Micros(System.nanoTime() / NANOS_PER_MICRO)
                val wallTime = Micros(System.currentTimeMillis() * MICROS_PER_MILLI)
                controller.handle(now, wallTime, input)
            } catch (e: Exception) {
                // A fault while handling one input must not stop the controller for all users.
                log.error("the controller failed to handle an input, which is dropped", e)
                controller.pendingEffects()
            }
        for (effect in effects) perform(effect)
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Compute ->
                backgroundExecutor.execute(effect.task) { result ->
                    group.next().execute { handle(Input.Computed(effect.id, result)) }
                }
            is Effect.Respond ->
                server.answer(effect.id, effect.status, effect.body, effect.retryAfterS)
            is Effect.SendRequest ->
                clientFor(effect.target).send(
                    effect.method,
                    effect.path,
                    effect.body,
                    effect.timeout,
                ) { outcome ->
                    handle(Input.Response(effect.id, outcome))
                }
        }
    }

    private fun clientFor(target: Target): HttpClient =
        if (target is Target.Worker) workerClients.get(target.address) else clients.getValue(target)

    private companion object {
        val TICK_PERIOD = 100.milliseconds
        const val CONNECTION_IDLE_TIMEOUT_S = 90L
        const val OPERATOR_LISTENER_RETRY_S = 30L

        const val MAX_STORE_CONNECTIONS = 24
        const val MAX_CLOUD_CONNECTIONS = 4
        const val MAX_CONNECTIONS_PER_PEER = 2
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
        const val NANOS_PER_MICRO = 1_000
        const val MICROS_PER_MILLI = 1_000
    }
}
