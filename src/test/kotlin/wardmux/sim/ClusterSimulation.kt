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

/** Real controllers among fakes of all that they deal with, in simulated time. */
class ClusterSimulation(
    seed: Long,
    txnOps: Int = 8,
    private val operators: OperatorSettings = OperatorSettings(),
    /** Some machines are up at the start. */
    rented: Boolean = true,
    gangWaitS: Double = 35.0,
    gangPeerS: Double = 6.0,
    /** The limits that controllers which start from now on are told of beforehand. */
    var told: AnnouncedStoreLimits? = null,
    /** Machines that the cloud has, in each zone, of spot and of ordinary ones. */
    capacity: Int = 3,
    /** Sockets that each controller may have open. */
    fdLimit: Int = 1_000,
    /** The most CPUs that a team may use. */
    teamCpus: Double = 40.0,
) {
    /** The operators' settings of a controller that starts from now on, by its name. */
    var operatorsOf: (member: String) -> OperatorSettings = { operators }

    /** Plans of drains that are never worked out. */
    var lostPlans = 0.0

    /** Of these limits a controller is told that starts from now on, by its name. */
    var toldTo: (member: String) -> AnnouncedStoreLimits? = { told }
    val clock = SimulatedClock(seed)
    val network = Network(clock)
    private val zones = listOf("a", "b", "c")
    val nodes = listOf("n0", "n1", "n2")
    private val teams = List(3) { TeamQuota("team-$it", 16.0, teamCpus) }
    private val deployment =
        DeploymentConfig(
            nodes = nodes.size,
            zones = zones,
            clockErrorMs = 100.0,
            teams = teams,
            workers = WorkerTiming(2.5, 16.0, 36.0, gangWaitS, gangPeerS),
            state = StoreLimits(rps = 90.0, writeRps = 40.0, valueKb = 8.0, txnOps = txnOps),
            cloud = CloudLimits(rps = 8.0, listLagS = 3.0),
            limits = ProcessLimits(fdLimit = fdLimit),
        )
    val state = FakeKeyValueStore(clock, deployment.state)
    val invariants = Invariants(teams, deployment.workers.cancelS.seconds + Invariants.SLACK)
    val gangs = FakeGangs(clock, invariants, gangWaitS, gangPeerS)
    val cloud = FakeCloud(clock, zones, capacity, ::worker)
    private val workers = HashMap<String, FakeWorker>()
    private val running = HashMap<String, Process>()

    /** Those who submit jobs and ask about them. */
    val users = SimulatedUsers(clock, network, nodes, teams, invariants, ::call) { workers[it] }

    /** By machine: how long direct commands are held up on their way to it. */
    val delayedCommands = HashMap<String, Micros>()

    /**
     * Told of each command to start when it is decided: by which controller, to which machine if it
     * is a direct one, and the task with its attempt.
     */
    var onStartSent: ((by: String, machine: String?, task: String, attempt: Int) -> Unit)? = null
    private val connections = WorkerConnections(SocketBudget(fdLimit).workers)
    private val effectDigest = EffectDigest.start()
    private var boots = 0L
    private var calls = 0L

    /** One life of a controller. */
    private inner class Process(val member: String) {
        /** Decisions to start are held against what users were told when they were made. */
        private fun noteOrders(effects: List<Effect>) {
            onStartSent?.let { heard -> for (effect in effects) tellStarts(effect, heard) }
            if (!invariants.knowsCancelled) return
            for (effect in effects) {
                val body =
                    when {
                        effect is Effect.Respond -> effect.body
                        effect is Effect.SendRequest && effect.path == "/do" -> effect.body
                        else -> continue
                    }.decodeToString()
                for (start in startOrder.findAll(body)) {
                    invariants.ordered(clock.now, start.groupValues[1], start.value)
                }
            }
        }

        private fun tellStarts(effect: Effect, heard: (String, String?, String, Int) -> Unit) {
            val body =
                when {
                    effect is Effect.Respond -> effect.body
                    effect is Effect.SendRequest && effect.path == "/do" -> effect.body
                    else -> return
                }
            val machine = (effect as? Effect.SendRequest)?.let { hostOf(it.target) }
            for (start in startedTask.findAll(body.decodeToString())) {
                val (task, attempt) = start.destructured
                heard(member, machine, task, attempt.toInt())
            }
        }

        val drift = 1.0 + clock.random.nextDouble(-0.0005, 0.0005)
        val offset = clock.between(Micros.ZERO, 100.milliseconds)
        val answers = HashMap<Long, (Int, ByteArray) -> Unit>()
        val core = Controller(settings(member), operatorsOf(member), "${++boots}")
        var alive = true

        /**
         * Stands still while its clocks run on: what comes, and what was about to go out, waits.
         */
        private var frozen = false
        private val waiting = ArrayList<() -> Unit>()

        fun freeze(length: Micros) {
            if (frozen) return
            // Once more it decides, and stands still before anything of that goes out.
            val effects = handle(Input.Tick)
            frozen = true
            clock.after(length) {
                frozen = false
                for (effect in effects) perform(effect)
                val all = waiting.toList()
                waiting.clear()
                for (one in all) one()
            }
        }

        private fun handle(input: Input): List<Effect> {
            val now = Micros((clock.now.value * drift).toLong())
            val effects = core.handle(now, clock.now + offset, input)
            effectDigest?.record(now, member, effects)
            noteOrders(effects)
            return effects
        }

        fun feed(input: Input) {
            if (!alive) return
            if (frozen) waiting.add { feed(input) }
            else for (effect in handle(input)) perform(effect)
        }

        private fun perform(effect: Effect) {
            when (effect) {
                is Effect.Respond -> answers.remove(effect.id)?.invoke(effect.status, effect.body)
                is Effect.SendRequest -> send(effect)
                is Effect.Compute -> compute(effect)
            }
        }

        /** Bounded by nodes and not by time, so that a seed always gives the same scenario. */
        private fun compute(effect: Effect.Compute) {
            if (lostPlans > 0 && clock.chance(lostPlans)) return
            val planning = effect.task as DrainPlanning
            val plan = SolverPlanner.plan(planning.problem, 60.seconds, maxNodes = 2_000)
            clock.after(200.milliseconds) { feed(Input.Computed(effect.id, plan)) }
        }

        private fun send(effect: Effect.SendRequest) {
            var over = false
            clock.after(effect.timeout) {
                if (!over) feed(Input.Response(effect.id, Outcome.NoResponse))
                over = true
            }
            // As bytes: what controllers tell each other is no text.
            val back = { status: Int, body: ByteArray ->
                val answer = {
                    if (!over) {
                        over = true
                        feed(Input.Response(effect.id, Outcome.Response(status, body)))
                    }
                }
                network.send(hostOf(effect.target), member, answer)
            }
            network.send(member, hostOf(effect.target)) {
                arrive(effect, back)
                // A repeat of what was carried out.
                network.copy { arrive(effect) { _, _ -> } }
            }
        }

        private fun arrive(effect: Effect.SendRequest, answer: (Int, ByteArray) -> Unit) {
            val body = effect.body.decodeToString()
            val back = { status: Int, text: String -> answer(status, text.encodeToByteArray()) }
            when (val target = effect.target) {
                is Target.KeyValueStore ->
                    state.handle(member, effect.method, effect.path, body, back)
                is Target.Cloud -> cloud.handle(effect.method, effect.path, body, back)
                is Target.Worker -> {
                    val host = hostOf(target)
                    val late = delayedCommands[host]?.takeIf { effect.path != "/status" }
                    if (late == null) deliver(workers[host], effect.path, body, back)
                    else clock.after(late) { deliver(workers[host], effect.path, body, back) }
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

    /** A hanging machine executes what has arrived when it goes on. */
    private fun deliver(
        worker: FakeWorker?,
        path: String,
        body: String,
        back: (Int, String) -> Unit,
    ) {
        if (worker == null || !worker.alive) return
        when {
            worker.hanging -> clock.after(500.milliseconds) { deliver(worker, path, body, back) }
            path == "/status" -> back(200, worker.reportBody())
            else -> worker.direct(body)?.let { (status, report) -> back(status, report) }
        }
    }

    private fun hostOf(target: Target): String =
        when (target) {
            is Target.KeyValueStore -> "state"
            is Target.Cloud -> "cloud"
            is Target.Peer -> target.member
            is Target.Worker -> target.address.substringBefore(':')
        }

    private fun settings(member: String) =
        PlatformConfig(
            member = member,
            site = "a",
            apiAddress = "10.0.0.1:80",
            peerAddress = "10.0.0.1:81",
            peers = (nodes - member).map { PeerConfig(it, address = "10.0.0.1:81") },
            services = ServiceAddresses("10.0.0.1:82", "10.0.0.1:83"),
            deployment = deployment.copy(state = deployment.state.copy(next = toldTo(member))),
        )

    private fun call(
        member: String,
        port: ListenerKind,
        method: String,
        path: String,
        body: ByteArray,
        answer: (Int, ByteArray) -> Unit,
    ) {
        val process = running[member]?.takeIf { it.alive } ?: return
        val id = ++calls
        process.answers[id] = answer
        process.feed(Input.Request(id, port, method, path, body))
    }

    private fun handleHeartbeat(
        id: String,
        node: String,
        body: String,
        answer: (Int, String) -> Unit,
    ) {
        val again = {
            call(node, ListenerKind.API, "POST", "/hello", body.encodeToByteArray()) { _, _ -> }
        }
        network.copy(again)
        if (id in network.mute) return
        network.reportAgain(again)
        network.send(id, node) {
            val back = { status: Int, text: ByteArray ->
                network.send(node, id) { answer(status, text.decodeToString()) }
            }
            if (connections.admits(id, node))
                call(node, ListenerKind.API, "POST", "/hello", body.encodeToByteArray(), back)
            else back(HttpStatus.SERVICE_UNAVAILABLE, ByteArray(0))
        }
    }

    private fun worker(id: String, type: String, zone: String, spot: Boolean): FakeWorker {
        val send: SimulatedHeartbeat = { node, body, answer ->
            handleHeartbeat(id, node, body, answer)
        }
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
        invariants.whenAllDone = users::jobEnded
        for (node in nodes) boot(node)
        if (rented) for (zone in zones) cloud.rent(zone, spot = false)
    }

    private fun boot(member: String) {
        val process = Process(member)
        running[member] = process
        tick(process)
    }

    private fun tick(process: Process) {
        if (!process.alive) return
        process.feed(Input.Tick)
        clock.after(100.milliseconds) { tick(process) }
    }

    fun freeze(member: String, length: Micros) {
        running[member]?.takeIf { it.alive }?.freeze(length)
    }

    fun crash(member: String, back: Micros) {
        val process = running[member] ?: return
        process.alive = false
        connections.closeAll(member)
        clock.after(back) { if (running[member] === process) boot(member) }
    }

    fun leader(): String? = state.value("leader")?.jsonObject?.get("member")?.jsonPrimitive?.content

    /** The token of the leader: the revision of the write that took the key. */
    fun leaderToken(): Long? = state.version("leader")

    /** An operator asks the controller [by], or any; null if it never answers. */
    fun operate(
        method: String,
        path: String,
        body: String = "",
        by: String? = null,
        then: (status: Int?, text: String) -> Unit,
    ) = users.ask(ListenerKind.OPERATOR, method, path, body.encodeToByteArray(), by, then)

    /** See [SimulatedUsers.submit]. */
    fun submit(spec: JobSpec) = users.submit(spec)

    /** See [SimulatedUsers.poll]. */
    fun poll(job: String) = users.poll(job)

    /** See [SimulatedUsers.cancel]. */
    fun cancel(job: String, by: String? = null) = users.cancel(job, by)

    /** See [SimulatedUsers.randomJob]. */
    fun randomJob(): JobSpec = users.randomJob()

    /** A service whose replicas run until it is cancelled, on any machine in any zone. */
    fun plainService(team: String, tasks: Int): JobSpec =
        unconstrainedJob(JobKind.SERVICE, team, tasks, cpus = 2.0, estimateS = 0.0)

    fun run(until: Micros) = clock.run(until) { invariants.check(clock.now) }

    /** From now, which is calm, no job may wait beside a machine that has room for it. */
    fun watchWaiting() = watchWaitingAgain()

    private fun watchWaitingAgain() {
        val healthy = cloud.workers().filter { !it.hanging && !it.sick && it.recallS == null }
        invariants.rooms(clock.now, healthy.map { it.view() }, cloud.workers().map { it.view() })
        clock.after(1.seconds) { watchWaitingAgain() }
    }

    /** The checks at the end of a scenario whose troubles were over at [calm]. */
    fun checkAtEnd(calm: Micros) = invariants.checkAtEnd(clock.now, calm)

    fun problems(): List<String> = invariants.broken + state.problems + cloud.problems

    private companion object {
        val startedTask = Regex("""\{"verb":"start","piece":"(job-\d+/\d+)","try":(\d+)""")
        val startOrder = Regex("""\{"verb":"start","piece":"(job-\d+)/\d+"[^}]*}""")
    }
}
