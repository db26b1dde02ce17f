package wardmux.cli

import java.net.InetSocketAddress
import java.util.concurrent.Callable
import kotlinx.serialization.DeserializationStrategy
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import wardmux.config.SettingsFiles
import wardmux.core.HttpStatus
import wardmux.drain.DrainPaths
import wardmux.drain.operatorJson
import wardmux.model.seconds

/** Options that all drain commands share. */
class OperatorOptions {
    @Option(
        names = ["--controller"],
        paramLabel = "HOST:PORT",
        description =
            ["A controller's listener for operators; repeatable (default 127.0.0.1:7070)."],
    )
    var controllers: List<String> = listOf("127.0.0.1:7070")

    @Option(
        names = ["--timeout"],
        paramLabel = "SECONDS",
        description = ["How long to retry while no controller can answer (default 10)."],
    )
    var timeoutS: Double = 10.0

    @Option(names = ["--json"], description = ["Print the response as JSON."]) var json = false

    /** The addresses of the controllers. Throws [ParameterException] if one is malformed. */
    fun addresses(spec: CommandSpec): List<InetSocketAddress> =
        controllers.map {
            SettingsFiles.parseAddress(it)
                ?: throw ParameterException(
                    spec.commandLine(),
                    "--controller must be HOST:PORT, but is '$it'",
                )
        }
}

/** A command that sends one request to the controllers and prints the response. */
abstract class OperatorCommand : Callable<Int> {
    @Spec lateinit var spec: CommandSpec

    @Mixin lateinit var options: OperatorOptions

    /**
     * Sends the request and prints the response, which is decoded with [deserializer] and formatted
     * with [format]. Returns the exit code.
     */
    protected fun <T> sendRequest(
        method: String,
        path: String,
        body: String,
        deserializer: DeserializationStrategy<T>,
        format: (T) -> String,
    ): Int {
        val client = OperatorClient(options.addresses(spec), options.timeoutS.seconds)
        val reply = client.use { it.sendUntilAnswered(method, DrainPaths.DRAINS + path, body) }
        return when (reply) {
            is OperatorReply.TimedOut -> printTimeout(reply)
            is OperatorReply.Answered ->
                if (reply.status in HttpStatus.SUCCESS) printAnswer(reply, deserializer, format)
                else printError(reply)
        }
    }

    private fun <T> printAnswer(
        reply: OperatorReply.Answered,
        deserializer: DeserializationStrategy<T>,
        format: (T) -> String,
    ): Int {
        val out = spec.commandLine().out
        if (options.json) out.println(reply.body)
        else out.println(format(operatorJson.decodeFromString(deserializer, reply.body)))
        return DrainExit.OK
    }

    private fun printError(reply: OperatorReply.Answered): Int {
        val error = DrainText.error(reply.body)
        spec.commandLine().err.println("wardmux: $error")
        return when (reply.status) {
            HttpStatus.NOT_FOUND -> DrainExit.UNKNOWN_DRAIN
            HttpStatus.CONFLICT -> DrainExit.CONFLICT
            else -> DrainExit.BAD_REQUEST
        }
    }

    private fun printTimeout(reply: OperatorReply.TimedOut): Int {
        val effect =
            if (reply.mayHaveBeenCarriedOut)
                "it is not known whether the request was carried out, or still will be; " +
                    "'wardmux drain list' shows it, and it is safe to repeat it"
            else "nothing was carried out"
        spec
            .commandLine()
            .err
            .println("wardmux: no controller answered within ${options.timeoutS} s; $effect")
        return DrainExit.NO_ANSWER
    }
}
