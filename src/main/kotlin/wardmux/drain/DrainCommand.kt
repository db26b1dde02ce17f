package wardmux.drain

import java.net.InetSocketAddress
import java.util.concurrent.Callable
import kotlinx.serialization.DeserializationStrategy
import picocli.CommandLine.ArgGroup
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import wardmux.config.SettingsFiles
import wardmux.core.HttpStatus
import wardmux.model.seconds

/** Exit codes of the drain commands. */
object DrainExit {
    /** Done as asked. */
    const val OK = 0

    /** The request is wrong; one line names the field. */
    const val BAD_REQUEST = 2

    /** No controller gave a final answer in time. */
    const val NO_ANSWER = 3

    /** There is no such drain. */
    const val UNKNOWN_DRAIN = 4

    /** The drain's state does not allow it. */
    const val CONFLICT = 5
}

/** The commands about drains. */
@Command(
    name = "drain",
    description = ["Takes machines out for maintenance, step by step and within budgets."],
    mixinStandardHelpOptions = true,
    subcommands =
        [
            DrainStartCommand::class,
            DrainCheckCommand::class,
            DrainListCommand::class,
            DrainStatusCommand::class,
            DrainPauseCommand::class,
            DrainResumeCommand::class,
            DrainCancelCommand::class,
        ],
)
class DrainCommand : Runnable {
    @Spec lateinit var spec: CommandSpec

    override fun run() =
        throw ParameterException(
            spec.commandLine(),
            "Missing command: start, check, list, status, pause, resume or cancel",
        )
}

/** Options that all commands about drains share. */
class OperatorOptions {
    @Option(
        names = ["--controller"],
        paramLabel = "HOST:PORT",
        description = ["An operators' listener; may be given several times (127.0.0.1:7070)."],
    )
    var controllers: List<String> = listOf("127.0.0.1:7070")

    @Option(
        names = ["--timeout"],
        paramLabel = "SECONDS",
        description = ["For how long to ask again where no controller can answer (10)."],
    )
    var timeoutS: Double = 10.0

    @Option(names = ["--json"], description = ["Print the answer as JSON."]) var json = false

    /** The addresses to ask; throws if one is none. */
    fun addresses(spec: CommandSpec): List<InetSocketAddress> =
        controllers.map {
            SettingsFiles.address(it)
                ?: throw ParameterException(
                    spec.commandLine(),
                    "--controller must be HOST:PORT, but is '$it'",
                )
        }
}

/** One request to the controllers, and what is printed of the answer. */
abstract class OperatorCommand : Callable<Int> {
    @Spec lateinit var spec: CommandSpec

    @Mixin lateinit var options: OperatorOptions

    /** Sends the request and prints the answer by [show]; gives the exit code. */
    protected fun <T> ask(
        method: String,
        path: String,
        body: String,
        answer: DeserializationStrategy<T>,
        show: (T) -> String,
    ): Int {
        val client = OperatorClient(options.addresses(spec), options.timeoutS.seconds)
        val reply = client.use { it.ask(method, DrainApi.PATH + path, body) }
        return when (reply) {
            is OperatorReply.TimedOut -> timedOut(reply)
            is OperatorReply.Answered ->
                if (reply.status in HttpStatus.SUCCESS) succeeded(reply, answer, show)
                else failed(reply)
        }
    }

    private fun <T> succeeded(
        reply: OperatorReply.Answered,
        answer: DeserializationStrategy<T>,
        show: (T) -> String,
    ): Int {
        val out = spec.commandLine().out
        if (options.json) out.println(reply.body)
        else out.println(show(operatorJson.decodeFromString(answer, reply.body)))
        return DrainExit.OK
    }

    private fun failed(reply: OperatorReply.Answered): Int {
        val error = DrainText.error(reply.body)
        spec.commandLine().err.println("wardmux: $error")
        return when (reply.status) {
            HttpStatus.NOT_FOUND -> DrainExit.UNKNOWN_DRAIN
            HttpStatus.CONFLICT -> DrainExit.CONFLICT
            else -> DrainExit.BAD_REQUEST
        }
    }

    private fun timedOut(reply: OperatorReply.TimedOut): Int {
        val known =
            if (reply.mayHaveHappened) "it is not known whether it was carried out"
            else "nothing was carried out"
        spec
            .commandLine()
            .err
            .println("wardmux: no controller answered within ${options.timeoutS} s; $known")
        return DrainExit.NO_ANSWER
    }
}

/** Options that name machines. */
class SelectorOptions {
    @Option(names = ["--machine"], paramLabel = "NAME", description = ["Only these machines."])
    var machines: List<String> = emptyList()

    @Option(
        names = ["--type"],
        paramLabel = "TYPE",
        description = ["Only machines of these types."],
    )
    var types: List<String> = emptyList()

    @Option(
        names = ["--zone"],
        paramLabel = "ZONE",
        description = ["Only machines in these zones."],
    )
    var zones: List<String> = emptyList()

    @ArgGroup(exclusive = true) var kind: KindOptions? = null

    @Option(
        names = ["--older-than"],
        paramLabel = "TIME",
        description = ["Only machines rented before this time (ISO 8601 with its offset)."],
    )
    var olderThan: String? = null

    /** What was selected. */
    fun selector() = DrainSelector(machines, types, zones, kind?.isSpot, olderThan)
}

/** Spot machines or ordinary ones. */
class KindOptions {
    @Option(names = ["--spot"], required = true, description = ["Only spot machines."])
    var spot = false

    @Option(names = ["--ordinary"], required = true, description = ["Only ordinary machines."])
    var ordinary = false

    val isSpot: Boolean
        get() = spot
}

/** Options that describe a drain. */
class DrainOptions {
    @Option(names = ["--id"], required = true, description = ["Names the drain; a repeat is it."])
    lateinit var id: String

    @Mixin lateinit var select: SelectorOptions

    @Option(
        names = ["--order"],
        paramLabel = "ORDER",
        description = ["fewest_steps (as a rule), emptiest_first or by_zone."],
    )
    var order: String = "fewest_steps"

    @Option(names = ["--step-size"], description = ["The most machines of one step (4)."])
    var stepSize: Int = 4

    @Option(
        names = ["--grace"],
        paramLabel = "SECONDS",
        description = ["How long tasks may go on before they are stopped (60)."],
    )
    var graceS: Double = 60.0

    @Option(
        names = ["--deadline"],
        paramLabel = "TIME",
        description = ["ISO 8601 with its offset."],
    )
    var deadline: String? = null

    @Option(
        names = ["--at-deadline"],
        paramLabel = "ACTION",
        description = ["pause (as a rule) or continue."],
    )
    var atDeadline: String = "pause"

    /** The request as it is sent; throws if a word is none of those that an option takes. */
    fun body(spec: CommandSpec): String =
        operatorJson.encodeToString(DrainRequest.serializer(), request(spec))

    private fun request(spec: CommandSpec) =
        DrainRequest(
            id,
            select.selector(),
            word(spec, "--order", StepOrder.entries, order),
            stepSize,
            graceS,
            deadline,
            word(spec, "--at-deadline", DeadlineAction.entries, atDeadline),
        )

    private fun <T : Enum<T>> word(spec: CommandSpec, option: String, all: List<T>, text: String) =
        all.firstOrNull { it.name.equals(text, ignoreCase = true) }
            ?: throw ParameterException(
                spec.commandLine(),
                "$option must be one of ${all.map { it.name.lowercase() }}, but is '$text'",
            )
}

/** Starts a drain. */
@Command(
    name = "start",
    description = ["Starts a drain. The same id again is the same drain."],
    mixinStandardHelpOptions = true,
)
class DrainStartCommand : OperatorCommand() {
    @Mixin lateinit var drain: DrainOptions

    override fun call(): Int {
        val body = drain.body(spec)
        return ask("POST", "", body, DrainStatus.serializer(), DrainText::status)
    }
}

/** A dry run. */
@Command(
    name = "check",
    description = ["Shows the steps and budgets of a drain, and what would stop it; starts none."],
    mixinStandardHelpOptions = true,
)
class DrainCheckCommand : OperatorCommand() {
    @Mixin lateinit var drain: DrainOptions

    override fun call(): Int {
        val body = drain.body(spec)
        return ask("POST", "/${DrainApi.CHECK}", body, DrainCheck.serializer(), DrainText::check)
    }
}

/** Lists the drains. */
@Command(name = "list", description = ["Lists all drains."], mixinStandardHelpOptions = true)
class DrainListCommand : OperatorCommand() {
    override fun call(): Int = ask("GET", "", "", DrainList.serializer(), DrainText::list)
}

/** A command about one drain. */
abstract class SingleDrainCommand(private val method: String, private val verb: String) :
    OperatorCommand() {
    @Parameters(index = "0", paramLabel = "ID", description = ["The drain."])
    lateinit var id: String

    override fun call(): Int {
        val path = if (verb.isEmpty()) "/$id" else "/$id/$verb"
        return ask(method, path, "", DrainStatus.serializer(), DrainText::status)
    }
}

/** Shows one drain. */
@Command(name = "status", description = ["Shows one drain."], mixinStandardHelpOptions = true)
class DrainStatusCommand : SingleDrainCommand("GET", "")

/** Holds a drain up. */
@Command(
    name = "pause",
    description = ["Stops and returns nothing more until the drain is resumed."],
    mixinStandardHelpOptions = true,
)
class DrainPauseCommand : SingleDrainCommand("POST", DrainApi.PAUSE)

/** Lets a paused drain go on. */
@Command(
    name = "resume",
    description = ["Lets a paused drain go on; past its deadline, without it."],
    mixinStandardHelpOptions = true,
)
class DrainResumeCommand : SingleDrainCommand("POST", DrainApi.RESUME)

/** Ends a drain. */
@Command(
    name = "cancel",
    description = ["Ends a drain; machines that are not returned yet take tasks again."],
    mixinStandardHelpOptions = true,
)
class DrainCancelCommand : SingleDrainCommand("POST", DrainApi.CANCEL)
