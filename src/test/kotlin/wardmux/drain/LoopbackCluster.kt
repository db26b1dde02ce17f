package wardmux.drain

import io.netty.channel.nio.NioEventLoopGroup
import java.io.File
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.Callable
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import wardmux.config.StoreLimits
import wardmux.config.TeamQuota
import wardmux.config.WorkerTiming
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.core.Outcome
import wardmux.election.LeaderRecord
import wardmux.http.HttpClient
import wardmux.http.HttpServer
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.seconds
import wardmux.serialization.lenientJson
import wardmux.sim.FakeCloud
import wardmux.sim.FakeKeyValueStore
import wardmux.sim.FakeWorker
import wardmux.sim.Invariants
import wardmux.sim.SimulatedClock
import wardmux.worker.Redirect

/**
 * A cluster in real time with controllers as separate processes, connected by sockets on the
 * loopback interface. Workers, cloud and key-value store are the fakes of the simulation. The clock
 * of the fakes follows the real clock, and all access to the fakes runs on one event loop.
 */
class LoopbackCluster(
    private val directory: File,
    /** The operators' settings in TOML, in which `PORT` stands for the port of their listener. */
    private val operatorSettings: String,
    /** The number of machines of each zone and kind that the fake cloud can provide. */
    machines: Int,
    /** The guaranteed and the maximum number of CPUs of each team. */
    private val cpusPerTeam: Double,
) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val acceptors = NioEventLoopGroup(1)
    private val eventLoop = group.next()
    private val clock = SimulatedClock(1)
    private val zones = listOf("a", "b", "c")
    private val nodes = listOf("n0", "n1", "n2")
    private val teams = List(TEAM_COUNT) { TeamQuota("team-$it", cpusPerTeam, cpusPerTeam) }
    private val workerTiming = WorkerTiming(heartbeatPeriodS = 1.0, leaseS = 16.0, cancelS = 36.0)
    private val storeLimits =
        StoreLimits(rps = 600.0, writeRps = 300.0, valueKb = 16.0, txnOps = 48)
    private val keyValueStore = FakeKeyValueStore(clock, storeLimits)
    private val invariants =
        Invariants(teams, workerTiming.cancelS.seconds + Invariants.CANCELLATION_SLACK)
    private val cloud = FakeCloud(clock, zones, machines, ::worker)
    private val specs = HashMap<String, JobSpec>()
    private val ports = nodes.associateWith { ControllerPorts(freePort(), freePort(), freePort()) }
    private val processes = HashMap<String, Process>()
    private val heartbeatClients = HashMap<Pair<String, String>, HttpClient>()
    private val submissionClients = nodes.associateWith { client(ports.getValue(it).api) }
    private val storePort = serve { request, answer ->
        keyValueStore.handle(
            "all",
            request.method,
            request.path,
            request.body.decodeToString(),
            answer,
        )
    }
    private val cloudPort = serve { request, answer ->
        cloud.handle(request.method, request.path, request.body.decodeToString(), answer)
    }

    /** The ports on which a controller listens. */
    private class ControllerPorts(val api: Int, val peer: Int, val operators: Int)

    init {
        val start = System.nanoTime()
        eventLoop.scheduleWithFixedDelay(
            {
                clock.run(Micros((System.nanoTime() - start) / NANOS_PER_MICRO)) {}
                invariants.checkCancelledJobs(clock.now)
            },
            0,
            CLOCK_ADVANCE_PERIOD_MILLIS,
            TimeUnit.MILLISECONDS,
        )
        clock.every(1.seconds) { machineSeconds += cloud.workers().size }
        nodes.forEach(::start)
    }

    /** The sum over all machines of the seconds for which each was up; owned by the event loop. */
    private var machineSeconds = 0L

    /** The sum over all machines of the seconds for which each has been up until now. */
    fun machineSeconds(): Long = onEventLoop { machineSeconds }

    /** The addresses of the operators' listeners of all controllers, each with host and port. */
    val operatorAddresses: List<String>
        get() = ports.values.map { "$HOST:${it.operators}" }

    /** Runs [action] on the event loop, which alone accesses the fakes, and returns its result. */
    private fun <T> onEventLoop(action: () -> T): T = eventLoop.submit(Callable { action() }).get()

    private fun freePort() = ServerSocket(0, 1, InetAddress.getByName(HOST)).use { it.localPort }

    private fun client(port: Int) =
        HttpClient(group, InetSocketAddress(HOST, port), 1, MAX_RESPONSE_BYTES)

    /**
     * Starts a server that listens on another thread and calls [handle] on the event loop. Returns
     * the port of the server.
     */
    private fun serve(handle: (Input.Request, (Int, String) -> Unit) -> Unit): Int {
        lateinit var server: HttpServer
        val onRequest: (Input.Request) -> Unit = { request ->
            eventLoop.execute {
                handle(request) { status, body ->
                    acceptors.next().execute {
                        server.answer(request.id, status, body.encodeToByteArray(), null)
                    }
                }
            }
        }
        server =
            HttpServer(acceptors, MAX_CONNECTIONS, MAX_CONNECTIONS, CONNECTION_IDLE_S, onRequest)
        val channel = server.listen(InetSocketAddress(HOST, 0), ListenerKind.PEER)
        return (channel.localAddress() as InetSocketAddress).port
    }

    private fun worker(id: String, type: String, zone: String, spot: Boolean): FakeWorker {
        lateinit var worker: FakeWorker
        val port = serve { request, answer ->
            handleWorkerRequest(worker, request)?.let { (status, body) -> answer(status, body) }
        }
        worker =
            FakeWorker(
                id,
                type,
                zone,
                spot,
                clock,
                workerTiming,
                nodes,
                invariants,
                specs::get,
                endpoint = "$HOST:$port",
            ) { node, body, answer ->
                sendHeartbeat(id, node, body, answer)
            }
        return worker
    }

    /** The status and body that [worker] answers; null if it does not answer. */
    private fun handleWorkerRequest(
        worker: FakeWorker,
        request: Input.Request,
    ): Pair<Int, String>? =
        when {
            !worker.alive || worker.unresponsive -> null
            request.path == "/status" -> 200 to worker.heartbeatBody()
            else -> worker.executeDirect(request.body.decodeToString())
        }

    /** Sends a heartbeat to a controller. [answer] gets the status, 0 if there is no response. */
    private fun sendHeartbeat(
        id: String,
        node: String,
        body: String,
        answer: (Int, String) -> Unit,
    ) {
        val client = heartbeatClients.getOrPut(id to node) { client(ports.getValue(node).api) }
        client.send("POST", "/hello", body.encodeToByteArray(), HEARTBEAT_TIMEOUT) { outcome ->
            val response = outcome as? Outcome.Response
            answer(response?.status ?: 0, response?.text.orEmpty())
        }
    }

    /** Starts the process of the controller [node]. */
    fun start(node: String) {
        val config = File(directory, "$node.toml").also { it.writeText(config(node)) }
        val ownSettings = operatorSettings.replace("PORT", "${ports.getValue(node).operators}")
        val settings = File(directory, "$node-settings.toml").also { it.writeText(ownSettings) }
        val java = File(System.getProperty("java.home"), "bin/java").path
        val command =
            listOf(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx160m") +
                listOf("-cp", System.getProperty("java.class.path"), "wardmux.app.MainKt") +
                listOf("serve", "--config", config.path, "--settings", settings.path)
        val log = File(directory, "$node.log")
        processes[node] =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                .start()
    }

    /** Kills the process of the controller [node] and waits for its end. */
    fun kill(node: String) {
        processes.remove(node)?.destroyForcibly()?.waitFor()
    }

    /** The name of the leader in the stored leader record; null if there is no record. */
    fun leader(): String? = onEventLoop {
        keyValueStore.value("leader")?.let {
            lenientJson.decodeFromJsonElement(LeaderRecord.serializer(), it).member
        }
    }

    /** The stored record of the drain [id]; null if there is none. */
    fun stored(id: String): DrainRecord? = onEventLoop {
        keyValueStore.value(DrainRecord.key(id))?.let {
            lenientJson.decodeFromJsonElement(DrainRecord.serializer(), it)
        }
    }

    /** Submits a job, and retries with each controller in turn until one accepts it. */
    fun submit(spec: JobSpec) {
        onEventLoop {
            specs[spec.id] = spec
            invariants.recordSubmission(spec)
        }
        val body = lenientJson.encodeToString(JobSpec.serializer(), spec).encodeToByteArray()
        repeat(MAX_SUBMISSION_ATTEMPTS) {
            val reply = CompletableFuture<Outcome>()
            eventLoop.execute {
                submissionClients.values
                    .toList()[it % nodes.size]
                    .send("POST", "/submissions", body, 5.seconds, reply::complete)
            }
            val status = (reply.get() as? Outcome.Response)?.status
            if (status == 200 || status == 201) return
            Thread.sleep(SUBMISSION_RETRY_MILLIS)
        }
        error("no controller accepted ${spec.id} in $MAX_SUBMISSION_ATTEMPTS attempts")
    }

    /** The ids of the machines that are up, in [zone] or in all zones. */
    fun machines(zone: String? = null): List<String> = onEventLoop {
        cloud.workers().filter { zone == null || it.zone == zone }.map { it.id }
    }

    /** The ids of the machines in [zone] that run tasks. */
    fun busyMachines(zone: String): List<String> = onEventLoop {
        cloud.workers().filter { it.zone == zone && it.activeTasks > 0 }.map { it.id }
    }

    /** Crashes the machine with the id [machine] and its tasks. */
    fun crash(machine: String) = onEventLoop {
        cloud.workers().filter { it.id == machine }.forEach(cloud::crash)
    }

    /** The number of running replicas of [jobs]. */
    fun running(jobs: List<JobSpec>): Int = onEventLoop {
        jobs.sumOf { invariants.machinesOf(it.id).size }
    }

    /**
     * Descriptions of the invariants that the controllers broke, and of evictions that took a team
     * beyond [limit] disrupted tasks. Tasks that were lost otherwise less than [noticedAfter]
     * before an eviction do not count, because the controllers could not know of them.
     */
    fun problems(limit: Int, noticedAfter: Micros): List<String> = onEventLoop {
        invariants.violations +
            keyValueStore.protocolViolations +
            cloud.protocolViolations +
            invariants.disruptions.stopsOverLimit({ limit }, noticedAfter)
    }

    /** The largest number of tasks that were disrupted at once, by team. */
    fun peaks(): Map<String, Int> = onEventLoop {
        teams.associate { it.name to invariants.disruptions.peakOf(it.name) }
    }

    /** The time since the cluster was created. */
    fun now(): Micros = onEventLoop { clock.now }

    /** The last lines of the log of each controller. */
    fun logs(): String =
        nodes.joinToString("\n") { node ->
            node +
                ":\n" +
                File(directory, "$node.log")
                    .readLines()
                    .takeLast(LOG_LINES_PER_CONTROLLER)
                    .joinToString("\n")
        }

    override fun close() {
        nodes.forEach(::kill)
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        acceptors.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private fun config(node: String): String {
        val own = ports.getValue(node)
        val peers =
            (nodes - node).joinToString("\n") {
                "[[siblings]]\nmember = \"$it\"\naddr = \"$HOST:${ports.getValue(it).peer}\"\n"
            }
        val teams =
            teams.joinToString("\n") {
                "[[facts.teams]]\nname = \"${it.name}\"\ncpus = ${it.cpus}\ncpus_max = ${it.cpusMax}\n"
            }
        return """
member = "$node"
site = "a"
api_addr = "$HOST:${own.api}"
peer_bind = "$HOST:${own.peer}"

$peers
[services]
cloud = "$HOST:$cloudPort"
state = "$HOST:$storePort"

[facts]
nodes = ${nodes.size}
zones = ["a", "b", "c"]
clock_error_ms = 100.0

$teams
[facts.workers]
report_s = ${workerTiming.heartbeatPeriodS}
lease_s = ${workerTiming.leaseS}
cancel_s = ${workerTiming.cancelS}

[facts.state]
rps = ${storeLimits.rps}
write_rps = ${storeLimits.writeRps}
value_kb = ${storeLimits.valueKb}
txn_ops = ${storeLimits.txnOps}

[facts.cloud]
rps = 8.0
list_lag_s = 3.0

[facts.limits]
cpu = 1.0
ram_mb = 268.0
fd_limit = 4000
"""
    }

    private companion object {
        const val HOST = "127.0.0.1"
        const val TEAM_COUNT = 3
        const val CLOCK_ADVANCE_PERIOD_MILLIS = 5L
        const val NANOS_PER_MICRO = 1_000
        const val MAX_RESPONSE_BYTES = 16 * 1024 * 1024
        const val MAX_CONNECTIONS = 10_000
        const val CONNECTION_IDLE_S = 90L
        const val MAX_SUBMISSION_ATTEMPTS = 60
        const val SUBMISSION_RETRY_MILLIS = 500L
        const val LOG_LINES_PER_CONTROLLER = 30
        val HEARTBEAT_TIMEOUT = 4.seconds
    }
}
