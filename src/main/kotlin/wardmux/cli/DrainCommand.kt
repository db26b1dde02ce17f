package wardmux.cli

import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Parameters
import picocli.CommandLine.Spec
import wardmux.drain.DrainCheck
import wardmux.drain.DrainList
import wardmux.drain.DrainPaths
import wardmux.drain.DrainStatus

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
        return sendRequest("POST", "", body, DrainStatus.serializer(), DrainText::status)
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
        return sendRequest(
            "POST",
            "/${DrainPaths.CHECK}",
            body,
            DrainCheck.serializer(),
            DrainText::check,
        )
    }
}

/** Lists the drains. */
@Command(name = "list", description = ["Lists all drains."], mixinStandardHelpOptions = true)
class DrainListCommand : OperatorCommand() {
    override fun call(): Int = sendRequest("GET", "", "", DrainList.serializer(), DrainText::list)
}

/** A command about one drain. */
abstract class SingleDrainCommand(private val method: String, private val action: String) :
    OperatorCommand() {
    @Parameters(index = "0", paramLabel = "ID", description = ["The drain."])
    lateinit var id: String

    override fun call(): Int {
        val path = if (action.isEmpty()) "/$id" else "/$id/$action"
        return sendRequest(method, path, "", DrainStatus.serializer(), DrainText::status)
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
class DrainPauseCommand : SingleDrainCommand("POST", DrainPaths.PAUSE)

/** Lets a paused drain go on. */
@Command(
    name = "resume",
    description = ["Lets a paused drain go on; past its deadline, without it."],
    mixinStandardHelpOptions = true,
)
class DrainResumeCommand : SingleDrainCommand("POST", DrainPaths.RESUME)

/** Ends a drain. */
@Command(
    name = "cancel",
    description = ["Ends a drain; machines that are not returned yet take tasks again."],
    mixinStandardHelpOptions = true,
)
class DrainCancelCommand : SingleDrainCommand("POST", DrainPaths.CANCEL)
