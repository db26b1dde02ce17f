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

/** The parent of the commands that manage drains. */
@Command(
    name = "drain",
    description = ["Removes machines for maintenance, in steps and within disruption budgets."],
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
    description = ["Starts a drain. Repeating it with the same id does not start another one."],
    mixinStandardHelpOptions = true,
)
class DrainStartCommand : OperatorCommand() {
    @Mixin lateinit var drain: DrainOptions

    override fun call(): Int {
        val body = drain.body(spec)
        return sendRequest("POST", "", body, DrainStatus.serializer(), DrainText::status)
    }
}

/** Plans a drain without starting it. */
@Command(
    name = "check",
    description = ["Plans a drain without starting it: its steps, budgets and obstacles."],
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

/**
 * A command for one drain. Sends a request with the given [method]; [action] is the last segment of
 * its path, or empty for the path of the drain itself.
 */
abstract class SingleDrainCommand(private val method: String, private val action: String) :
    OperatorCommand() {
    @Parameters(index = "0", paramLabel = "ID", description = ["The id of the drain."])
    lateinit var id: String

    override fun call(): Int {
        val path = if (action.isEmpty()) "/$id" else "/$id/$action"
        return sendRequest(method, path, "", DrainStatus.serializer(), DrainText::status)
    }
}

/** Shows one drain. */
@Command(name = "status", description = ["Shows one drain."], mixinStandardHelpOptions = true)
class DrainStatusCommand : SingleDrainCommand("GET", "")

/** Pauses a drain. */
@Command(
    name = "pause",
    description = ["Stops no more tasks and returns no more machines until the drain is resumed."],
    mixinStandardHelpOptions = true,
)
class DrainPauseCommand : SingleDrainCommand("POST", DrainPaths.PAUSE)

/** Resumes a paused drain. */
@Command(
    name = "resume",
    description = ["Resumes a paused drain; a deadline that has passed no longer applies."],
    mixinStandardHelpOptions = true,
)
class DrainResumeCommand : SingleDrainCommand("POST", DrainPaths.RESUME)

/** Cancels a drain. */
@Command(
    name = "cancel",
    description = ["Cancels a drain. Machines that are not returned yet accept tasks again."],
    mixinStandardHelpOptions = true,
)
class DrainCancelCommand : SingleDrainCommand("POST", DrainPaths.CANCEL)
