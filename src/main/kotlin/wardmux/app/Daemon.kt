package wardmux.app

import io.netty.channel.Channel
import io.netty.channel.nio.NioEventLoopGroup
import java.net.BindException
import java.net.InetSocketAddress
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
import wardmux.store.KeyValueStore

/** Binds the core to sockets and clocks; one event loop owns both. */
class Daemon(private val platform: PlatformConfig, private val operators: OperatorSettings) {
    private val log = logger<Daemon>()
    private val group = NioEventLoopGroup(1)
    private val core = Controller(platform, operators, boot())
    private val sockets = platform.deployment.limits.sockets
    private val server =
        HttpServer(group, sockets.clients, sockets.workers, IDLE_SECONDS) {
            feed(Input.Request(it.id, it.port, it.method, it.path, it.body))
        }
    private val backgroundExecutor = BackgroundExecutor()
    private val clients = HashMap<Target, HttpClient>()
    private val workers =
        object : LinkedHashMap<String, HttpClient>(16, 0.75f, true) {
            override fun removeEldestEntry(eldest: Map.Entry<String, HttpClient>) =
                size > sockets.workers
        }

    init {
        fun client(target: Target, text: String, connections: Int) {
            val address = requireNotNull(SettingsFiles.address(text))
            clients[target] = HttpClient(group, address, connections, MAX_RESPONSE_BYTES)
        }
        client(Target.KeyValueStore, platform.services.state, STATE_CONNECTIONS)
        client(Target.Cloud, platform.services.cloud, CLOUD_CONNECTIONS)
        for (peer in platform.peers) {
            client(Target.Peer(peer.member), peer.address, SIBLING_CONNECTIONS)
        }
    }

    /** Listens on both addresses and blocks until the API socket is closed. */
    fun run() {
        val loop = group.next()
        loop
            .submit {
                loop.scheduleWithFixedDelay(
                    { feed(Input.Tick) },
                    0,
                    TICK.value,
                    TimeUnit.MICROSECONDS,
                )
            }
            .sync()
        bind(platform.peerAddress, ListenerKind.PEER)
        val api = bind(platform.apiAddress, ListenerKind.API)
        log.info("{} listens for users on {}", platform.member, platform.apiAddress)
        listenForOperators(api)
    }

    /**
     * Operators may come later: an address that can't be had now is no reason to serve nobody, so
     * it is tried again once in a while. Blocks until [api] is closed.
     */
    private fun listenForOperators(api: Channel) {
        var bound = bindOperators(isRetry = false)
        while (!api.closeFuture().await(OPERATORS_RETRY_S, TimeUnit.SECONDS)) {
            if (!bound) bound = bindOperators(isRetry = true)
        }
    }

    /** True if nothing is left to bind. */
    private fun bindOperators(isRetry: Boolean): Boolean {
        val address = operators.drain?.listener ?: return true
        try {
            bind(address, ListenerKind.OPERATOR)
            log.info("{} listens for operators on {}", platform.member, address)
            return true
        } catch (e: BindException) {
            if (!isRetry) log.warn("drain.address {} can't be listened on: {}", address, e.message)
            return false
        }
    }

    /**
     * Two processes may start at the same reading of a clock, or with the same random numbers; not
     * with all of these alike.
     */
    private fun boot(): String {
        val wall = System.currentTimeMillis()
        return "$wall-${System.nanoTime()}-${ProcessHandle.current().pid()}-${UUID.randomUUID()}"
    }

    private fun bind(text: String, port: ListenerKind) =
        server.listen(requireNotNull(SettingsFiles.address(text)), port)

    private fun feed(input: Input) {
        val effects =
            try {
                val now = Micros(System.nanoTime() / 1_000)
                val wall = Micros(System.currentTimeMillis() * 1_000)
                core.handle(now, wall, input)
            } catch (e: Exception) {
                // A mistake in handling one input must not take the controller down with all users.
                log.error("input dropped", e)
                core.pendingEffects()
            }
        for (effect in effects) perform(effect)
    }

    private fun perform(effect: Effect) {
        when (effect) {
            is Effect.Compute ->
                backgroundExecutor.execute(effect.task) { result ->
                    group.next().execute { feed(Input.Computed(effect.id, result)) }
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
                    feed(Input.Response(effect.id, outcome))
                }
        }
    }

    private fun clientFor(target: Target): HttpClient {
        if (target !is Target.Worker) return clients.getValue(target)
        return workers.getOrPut(target.address) {
            val address = SettingsFiles.address(target.address) ?: NOWHERE
            HttpClient(group, address, WORKER_CONNECTIONS, MAX_RESPONSE_BYTES, keep = false)
        }
    }

    private companion object {
        const val WORKER_CONNECTIONS = 1

        /** Stands for an address that a worker reported and that is none: never connects. */
        val NOWHERE = InetSocketAddress("0.0.0.0", 1)
        val TICK = 100.milliseconds
        const val IDLE_SECONDS = 90L
        const val OPERATORS_RETRY_S = 30L

        const val STATE_CONNECTIONS = 24
        const val CLOUD_CONNECTIONS = 4
        const val SIBLING_CONNECTIONS = 2
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
    }
}
