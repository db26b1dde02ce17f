package wardmux.sim

import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import wardmux.app.Controller
import wardmux.config.AnnouncedStoreLimits
import wardmux.config.CloudLimits
import wardmux.config.DeploymentConfig
import wardmux.config.OperatorSettings
import wardmux.config.PeerConfig
import wardmux.config.PlatformConfig
import wardmux.config.ProcessLimits
import wardmux.config.ServiceAddresses
import wardmux.config.SocketBudget
import wardmux.config.StoreLimits
import wardmux.config.TeamQuota
import wardmux.config.WorkerTiming
import wardmux.core.Effect
import wardmux.core.HttpStatus
import wardmux.core.Input
import wardmux.core.ListenerKind
import wardmux.core.Outcome
import wardmux.core.Target
import wardmux.drain.DrainPlanning
import wardmux.drain.SolverPlanner
import wardmux.model.JobKind
import wardmux.model.JobSpec
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Runs real controllers in simulated time against fakes of the key-value store, the cloud, the
 * workers, the users and the network. The seed determines the whole scenario.
 */
class ClusterSimulation(
    seed: Long,
    /** The most changes in one transaction of the key-value store. */
    txnOps: Int = 8,
    private val operators: OperatorSettings = OperatorSettings(),
    /** Whether one on-demand machine is rented in each zone at the start. */
    startWithMachines: Boolean = true,
    /** The time in seconds that a gang's task waits for the other tasks before it ends. */
    gangWaitS: Double = 35.0,
    /** The time in seconds within which a gang's tasks notice that one of them is lost. */
    gangPeerS: Double = 6.0,
    /**
     * Lower limits of the key-value store that the settings announce to controllers. A change
     * applies to controllers that start afterwards.
     */
    var announcedLimits: AnnouncedStoreLimits? = null,
    /** The most spot machines, and the most on-demand machines, that the cloud rents in a zone. */
    capacityPerZone: Int = 3,
    /** The file descriptor limit of each controller, which also limits its connections. */
    fdLimit: Int = 1_000,
    /** The most CPUs that the tasks of one team may use. */
    teamCpuLimit: Double = 40.0,
) {
    /**
     * The operator settings of each controller, by its name. A change applies to controllers that
     * start afterwards.
     */
    var operatorSettingsOf: (member: String) -> OperatorSettings = { operators }

    /** The probability that the computation of a drain plan never returns a result. */
    var planLossProbability = 0.0

    /**
     * The announced limits of the key-value store for each controller, by its name. A change
     * applies to controllers that start afterwards.
     */
    var announcedLimitsOf: (member: String) -> AnnouncedStoreLimits? = { announcedLimits }

    /**
     * The value size of the key-value store, in KiB, in the settings of each controller, by its
     * name. A change applies to controllers that start afterwards; the store's limit stays.
     */
    var valueKbOf: (member: String) -> Double = { VALUE_KB }
    val clock = SimulatedClock(seed)
    val network = Network(clock)
    private val zones = listOf("a", "b", "c")
    val nodes = listOf("n0", "n1", "n2")
    private val teams = List(3) { TeamQuota("team-$it", 16.0, teamCpuLimit) }
    private val deployment =
        DeploymentConfig(
            nodes = nodes.size,
            zones = zones,
            clockErrorMs = 100.0,
            teams = teams,
            workers = WorkerTiming(2.5, 16.0, 36.0, gangWaitS, gangPeerS),
            state = StoreLimits(rps = 90.0, writeRps = 40.0, valueKb = VALUE_KB, txnOps = txnOps),
            cloud = CloudLimits(rps = 8.0, listLagS = 3.0),
            limits = ProcessLimits(fdLimit = fdLimit),
        )
    val store = FakeKeyValueStore(clock, deployment.state)
    val invariants =
        Invariants(teams, deployment.workers.cancelS.seconds + Invariants.CANCELLATION_SLACK)
    val gangs = FakeGangs(clock, invariants, gangWaitS, gangPeerS)
    val cloud = FakeCloud(clock, zones, capacityPerZone, ::createWorker)
    private val workers = HashMap<String, FakeWorker>()
    private val processes = HashMap<String, ControllerProcess>()

    /** The users, who submit jobs, poll their status and cancel some of them. */
    val users = SimulatedUsers(clock, network, nodes, teams, invariants, ::call) { workers[it] }

    /** The extra delay of direct commands to a machine, by machine ID. */
    val commandDelays = HashMap<String, Micros>()

    /**
     * Called when a controller decides to send a start command, with the controller, the machine
     * (null unless it is a direct command), the task and its attempt.
     */
    var onStartDecided:
        ((controller: String, machine: String?, task: String, attempt: Int) -> Unit)? =
        null

    /** Called when a direct command reaches a worker that executes it, with the command's body. */
    var onDirectCommand: ((worker: FakeWorker, body: String) -> Unit)? = null
    private val connections = WorkerConnections(SocketBudget(fdLimit).workers)
    private val effectDigest = EffectDigest.start()
    private var startedProcesses = 0L
    private var lastRequestId = 0L

    /** A controller process, from its start to its crash. */
    private inner class ControllerProcess(val member: String) {
        /**
         * Reports the start commands among [effects] to [onStartDecided] and to the invariants,
         * which compare them with the cancellations that users had been told of by then.
         */
        private fun recordStartCommands(effects: List<Effect>) {
            onStartDecided?.let { listener ->
                for (effect in effects) notifyStartCommands(effect, listener)
            }
            if (!invariants.hasReportedCancellation) return
            for (effect in effects) {
                val body =
                    when {
                        effect is Effect.Respond -> effect.body
                        effect is Effect.SendRequest && effect.path == "/do" -> effect.body
                        else -> continue
                    }.decodeToString()
                for (start in startCommandJob.findAll(body)) {
                    invariants.recordStartCommand(clock.now, start.groupValues[1], start.value)
                }
            }
        }

        private fun notifyStartCommands(
            effect: Effect,
            listener: (String, String?, String, Int) -> Unit,
        ) {
            val body =
                when {
                    effect is Effect.Respond -> effect.body
                    effect is Effect.SendRequest && effect.path == "/do" -> effect.body
                    else -> return
                }
            val machine = (effect as? Effect.SendRequest)?.let { hostOf(it.target) }
            for (start in startCommandTask.findAll(body.decodeToString())) {
                val (task, attempt) = start.destructured
                listener(member, machine, task, attempt.toInt())
            }
        }

        val clockDrift = 1.0 + clock.random.nextDouble(-0.0005, 0.0005)
        val wallClockOffset = clock.randomBetween(Micros.ZERO, 100.milliseconds)
        val pendingResponses = HashMap<Long, (Int, ByteArray) -> Unit>()
        val controller =
            Controller(settingsOf(member), operatorSettingsOf(member), "${++startedProcesses}")
        var alive = true

        /**
         * Whether the process is suspended. Its clocks advance, but its inputs and the effects that
         * it had not yet performed wait until it resumes.
         */
        private var frozen = false
        private val deferred = ArrayList<() -> Unit>()

        fun freeze(duration: Micros) {
            if (frozen) return
            // The process handles one more tick and is suspended before it performs the effects, so
            // that it acts on an outdated decision when it resumes.
            val effects = handle(Input.Tick)
            frozen = true
            clock.after(duration) {
                frozen = false
                for (effect in effects) perform(effect)
                val inputs = deferred.toList()
                deferred.clear()
                for (feedInput in inputs) feedInput()
            }
        }

        private fun handle(input: Input): List<Effect> {
            val now = Micros((clock.now.value * clockDrift).toLong())
            val effects = controller.handle(now, clock.now + wallClockOffset, input)
            effectDigest?.record(now, member, effects)
            recordStartCommands(effects)
            return effects
        }

        fun feed(input: Input) {
            if (!alive) return
            if (frozen) deferred.add { feed(input) }
            else for (effect in handle(input)) perform(effect)
        }

        private fun perform(effect: Effect) {
            when (effect) {
                is Effect.Respond ->
                    pendingResponses.remove(effect.id)?.invoke(effect.status, effect.body)
                is Effect.SendRequest -> send(effect)
                is Effect.Compute -> compute(effect)
            }
        }

        /**
         * Computes a drain plan. The search is bounded by its number of nodes and not by its time,
         * so that a seed always produces the same scenario.
         */
        private fun compute(effect: Effect.Compute) {
            if (planLossProbability > 0 && clock.chance(planLossProbability)) return
            val planning = effect.task as DrainPlanning
            val plan = SolverPlanner.plan(planning.problem, 60.seconds, maxNodes = 2_000)
            clock.after(200.milliseconds) { feed(Input.Computed(effect.id, plan)) }
        }

        private fun send(effect: Effect.SendRequest) {
            var completed = false
            clock.after(effect.timeout) {
                if (!completed) feed(Input.Response(effect.id, Outcome.NoResponse))
                completed = true
            }
            // The body is passed as bytes because messages between controllers are binary.
            val respond = { status: Int, body: ByteArray ->
                val complete = {
                    if (!completed) {
                        completed = true
                        feed(Input.Response(effect.id, Outcome.Response(status, body)))
                    }
                }
                network.send(hostOf(effect.target), member, complete)
            }
            network.send(member, hostOf(effect.target)) {
                deliver(effect, respond)
                // A duplicate arrives after the request was executed. Its response is dropped.
                network.maybeDuplicate { deliver(effect) { _, _ -> } }
                if (effect.path == "/do")
                    network.maybeDuplicateCommand { deliver(effect) { _, _ -> } }
            }
        }

        private fun deliver(effect: Effect.SendRequest, answer: (Int, ByteArray) -> Unit) {
            val body = effect.body.decodeToString()
            val respondText = { status: Int, text: String ->
                answer(status, text.encodeToByteArray())
            }
            when (val target = effect.target) {
                is Target.KeyValueStore ->
                    store.handle(member, effect.method, effect.path, body, respondText)
                is Target.Cloud -> cloud.handle(effect.method, effect.path, body, respondText)
                is Target.Worker -> {
                    val host = hostOf(target)
                    val commandDelay = commandDelays[host]?.takeIf { effect.path != "/status" }
                    if (commandDelay == null)
                        deliverToWorker(workers[host], effect.path, body, respondText)
                    else
                        clock.after(commandDelay) {
                            deliverToWorker(workers[host], effect.path, body, respondText)
                        }
                }
                is Target.Peer ->
                    call(
                        target.member,
                        ListenerKind.PEER,
                        effect.method,
                        effect.path,
                        effect.body,
                        answer,
                    )
            }
        }
    }

    /**
     * Delivers a request to [worker]. An unresponsive worker executes it when it responds again; a
     * crashed one loses it.
     */
    private fun deliverToWorker(
        worker: FakeWorker?,
        path: String,
        body: String,
        respond: (Int, String) -> Unit,
    ) {
        if (worker == null || !worker.alive) return
        when {
            worker.unresponsive ->
                clock.after(500.milliseconds) { deliverToWorker(worker, path, body, respond) }
            path == "/status" -> respond(200, worker.heartbeatBody())
            else -> {
                onDirectCommand?.invoke(worker, body)
                worker.executeDirect(body)?.let { (status, heartbeat) ->
                    respond(status, heartbeat)
                }
            }
        }
    }

    /** The name of the host in [network] that [target] stands for. */
    private fun hostOf(target: Target): String =
        when (target) {
            is Target.KeyValueStore -> "state"
            is Target.Cloud -> "cloud"
            is Target.Peer -> target.member
            is Target.Worker -> target.address.substringBefore(':')
        }

    private fun settingsOf(member: String) =
        PlatformConfig(
            member = member,
            site = "a",
            apiAddress = "10.0.0.1:80",
            peerAddress = "10.0.0.1:81",
            peers = (nodes - member).map { PeerConfig(it, address = "10.0.0.1:81") },
            services = ServiceAddresses("10.0.0.1:82", "10.0.0.1:83"),
            deployment =
                deployment.copy(
                    state =
                        deployment.state.copy(
                            valueKb = valueKbOf(member),
                            next = announcedLimitsOf(member),
                        )
                ),
        )

    private fun call(
        member: String,
        port: ListenerKind,
        method: String,
        path: String,
        body: ByteArray,
        answer: (Int, ByteArray) -> Unit,
    ) {
        val process = processes[member]?.takeIf { it.alive } ?: return
        val id = ++lastRequestId
        process.pendingResponses[id] = answer
        process.feed(Input.Request(id, port, method, path, body))
    }

    private fun sendHeartbeat(
        id: String,
        node: String,
        body: String,
        answer: (Int, String) -> Unit,
    ) {
        val resend = {
            call(node, ListenerKind.API, "POST", "/hello", body.encodeToByteArray()) { _, _ -> }
        }
        network.maybeDuplicate(resend)
        if (id in network.outboundBlocked) return
        network.maybeDuplicateHeartbeat(resend)
        network.send(id, node) {
            val respond = { status: Int, bytes: ByteArray ->
                network.send(node, id) { answer(status, bytes.decodeToString()) }
            }
            if (connections.tryConnect(id, node))
                call(node, ListenerKind.API, "POST", "/hello", body.encodeToByteArray(), respond)
            else respond(HttpStatus.SERVICE_UNAVAILABLE, ByteArray(0))
        }
    }

    private fun createWorker(id: String, type: String, zone: String, spot: Boolean): FakeWorker {
        val send: HeartbeatSender = { node, body, answer -> sendHeartbeat(id, node, body, answer) }
        val worker =
            FakeWorker(
                id,
                type,
                zone,
                spot,
                clock,
                deployment.workers,
                nodes,
                invariants,
                users::specOf,
                gangs,
                send = send,
            )
        workers[id] = worker
        return worker
    }

    init {
        invariants.onAllTasksDone = users::onJobEnded
        for (node in nodes) startController(node)
        if (startWithMachines) for (zone in zones) cloud.rent(zone, spot = false)
    }

    private fun startController(member: String) {
        val process = ControllerProcess(member)
        processes[member] = process
        scheduleTicks(process)
    }

    private fun scheduleTicks(process: ControllerProcess) {
        if (!process.alive) return
        process.feed(Input.Tick)
        clock.after(100.milliseconds) { scheduleTicks(process) }
    }

    /** Suspends the controller [member], if it is up, for [duration]. */
    fun freeze(member: String, duration: Micros) {
        processes[member]?.takeIf { it.alive }?.freeze(duration)
    }

    /** Crashes the controller [member], which restarts after [downtime]. */
    fun crash(member: String, downtime: Micros) {
        val process = processes[member] ?: return
        process.alive = false
        connections.closeAll(member)
        clock.after(downtime) { if (processes[member] === process) startController(member) }
    }

    /** The leader that the key-value store records, or null if there is none. */
    fun leader(): String? = store.value("leader")?.jsonObject?.get("member")?.jsonPrimitive?.content

    /**
     * The fencing token of the leader, which is the revision of the write that acquired the leader
     * key, or null if there is no leader.
     */
    fun leaderToken(): Long? = store.version("leader")

    /**
     * Sends an operator's request to [controller], or to a random one if it is null. [onResponse]
     * gets a null status if no response arrives in time.
     */
    fun sendOperatorRequest(
        method: String,
        path: String,
        body: String = "",
        controller: String? = null,
        onResponse: (status: Int?, text: String) -> Unit,
    ) =
        users.request(
            ListenerKind.OPERATOR,
            method,
            path,
            body.encodeToByteArray(),
            controller,
            onResponse,
        )

    /** See [SimulatedUsers.submit]. */
    fun submit(spec: JobSpec) = users.submit(spec)

    /** See [SimulatedUsers.poll]. */
    fun poll(job: String) = users.poll(job)

    /** See [SimulatedUsers.cancel]. */
    fun cancel(job: String, controller: String? = null) = users.cancel(job, controller)

    /** See [SimulatedUsers.randomJob]. */
    fun randomJob(): JobSpec = users.randomJob()

    /** A service without placement constraints, whose replicas run until it is cancelled. */
    fun unconstrainedService(team: String, tasks: Int): JobSpec =
        unconstrainedJob(JobKind.SERVICE, team, tasks, cpus = 2.0, estimateS = 0.0)

    /** Runs the simulation to the time [until] and checks the invariants after each event. */
    fun run(until: Micros) = clock.run(until) { invariants.checkCancelledJobs(clock.now) }

    /**
     * From now on, checks every second that no job waits although a machine has room for it. All
     * faults must be over when this is called.
     */
    fun startWorkConservationChecks() = repeatWorkConservationCheck()

    private fun repeatWorkConservationCheck() {
        val healthy =
            cloud.workers().filter { !it.unresponsive && !it.failsEveryTask && it.recallS == null }
        invariants.checkWaitingJobs(
            clock.now,
            healthy.map { it.view() },
            cloud.workers().map { it.view() },
        )
        clock.after(1.seconds) { repeatWorkConservationCheck() }
    }

    /** Runs the final checks of a scenario whose faults were over at [faultsEndedAt]. */
    fun checkAtEnd(faultsEndedAt: Micros) = invariants.checkAtEnd(clock.now, faultsEndedAt)

    /** All violations of invariants and of the protocols of the key-value store and the cloud. */
    fun violations(): List<String> =
        invariants.violations + store.protocolViolations + cloud.protocolViolations

    private companion object {
        const val VALUE_KB = 8.0

        /** Matches a start command and captures its task and attempt. */
        val startCommandTask = Regex("""\{"verb":"start","piece":"(job-\d+/\d+)","try":(\d+)""")

        /** Matches a whole start command and captures its job. */
        val startCommandJob = Regex("""\{"verb":"start","piece":"(job-\d+)/\d+"[^}]*}""")
    }
}
