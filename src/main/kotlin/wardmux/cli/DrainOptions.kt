package wardmux.cli

import picocli.CommandLine.ArgGroup
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import wardmux.drain.DeadlineAction
import wardmux.drain.DrainRequest
import wardmux.drain.DrainSelector
import wardmux.drain.StepOrder
import wardmux.drain.operatorJson

/** Options that select machines. */
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
        description = ["Only machines rented before this time (ISO 8601 with UTC offset)."],
    )
    var olderThan: String? = null

    /** The selector that the options describe. */
    fun selector() = DrainSelector(machines, types, zones, kind?.isSpot, olderThan)
}

/** Selects either spot or ordinary machines; exactly one of the options must be given. */
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
    @Option(
        names = ["--id"],
        required = true,
        description = ["Id of the drain; a repeat starts no other."],
    )
    lateinit var id: String

    @Mixin lateinit var select: SelectorOptions

    @Option(
        names = ["--order"],
        paramLabel = "ORDER",
        description = ["The order of machines: fewest_steps (default), emptiest_first or by_zone."],
    )
    var order: String = "fewest_steps"

    @Option(names = ["--step-size"], description = ["Maximum machines in one step (default 4)."])
    var stepSize: Int = 4

    @Option(
        names = ["--grace"],
        paramLabel = "SECONDS",
        description = ["How long tasks may continue before they are stopped (default 60)."],
    )
    var graceS: Double = 60.0

    @Option(
        names = ["--deadline"],
        paramLabel = "TIME",
        description = ["When the drain must be done (ISO 8601 with UTC offset)."],
    )
    var deadline: String? = null

    @Option(
        names = ["--at-deadline"],
        paramLabel = "ACTION",
        description = ["What to do at the deadline: pause (default) or continue."],
    )
    var atDeadline: String = "pause"

    /** The request as JSON. Throws [ParameterException] if an option has an unknown value. */
    fun body(spec: CommandSpec): String =
        operatorJson.encodeToString(DrainRequest.serializer(), request(spec))

    private fun request(spec: CommandSpec) =
        DrainRequest(
            id,
            select.selector(),
            parseEnum(spec, "--order", StepOrder.entries, order),
            stepSize,
            graceS,
            deadline,
            parseEnum(spec, "--at-deadline", DeadlineAction.entries, atDeadline),
        )

    /** Returns the one of [values] whose name is [text], ignoring case. */
    private fun <T : Enum<T>> parseEnum(
        spec: CommandSpec,
        option: String,
        values: List<T>,
        text: String,
    ) =
        values.firstOrNull { it.name.equals(text, ignoreCase = true) }
            ?: throw ParameterException(
                spec.commandLine(),
                "$option must be one of ${values.map { it.name.lowercase() }}, but is '$text'",
            )
}
