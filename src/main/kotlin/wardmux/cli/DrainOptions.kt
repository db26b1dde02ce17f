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
        description = ["Only machines rented before this time (ISO 8601 with its offset)."],
    )
    var olderThan: String? = null

    /** The selector that the options make. */
    fun selector() = DrainSelector(machines, types, zones, kind?.isSpot, olderThan)
}

/** Spot machines or ordinary ones: exactly one of the options. */
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

    /** The request as JSON; throws [ParameterException] if an option has an unknown value. */
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
