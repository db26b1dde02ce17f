package wardmux.app

import java.io.File
import java.util.concurrent.Callable
import kotlin.system.exitProcess
import picocli.CommandLine.Command
import picocli.CommandLine.IVersionProvider
import picocli.CommandLine.Mixin
import picocli.CommandLine.Model.CommandSpec
import picocli.CommandLine.Option
import picocli.CommandLine.ParameterException
import picocli.CommandLine.Spec
import wardmux.cli.DrainCommand
import wardmux.config.InvalidSettingsException
import wardmux.config.OperatorSettings
import wardmux.config.PlatformConfig
import wardmux.config.SettingsFiles

/** The root of the command line. */
@Command(
    name = "wardmux",
    description =
        ["A cluster scheduler: runs users' jobs once, on rented machines, with fair shares."],
    mixinStandardHelpOptions = true,
    versionProvider = Version::class,
    subcommands =
        [ServeCommand::class, CheckCommand::class, DrainCommand::class, CdsTrainingCommand::class],
)
class WardmuxCommand : Runnable {
    @Spec lateinit var spec: CommandSpec

    override fun run() =
        throw ParameterException(spec.commandLine(), "Missing command: serve, check or drain")
}

/** Reads the version from the manifest of the JAR file. */
class Version : IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("wardmux ${Version::class.java.`package`.implementationVersion ?: "(unpackaged)"}")
}

/** The settings from the platform and those from the operators. */
data class Settings(val platform: PlatformConfig, val operators: OperatorSettings)

/** The options that name the settings files. */
class SettingsOptions {
    @Option(
        names = ["--config"],
        required = true,
        paramLabel = "FILE",
        description = ["The settings file that the platform provides (TOML)."],
    )
    lateinit var config: File

    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        description = ["The operators' settings file (TOML); without it, defaults apply."],
    )
    var settings: File? = null

    /**
     * Reads both files. Throws [InvalidSettingsException] if one is invalid, or if the operators'
     * settings name a team that the platform's do not.
     */
    fun read(): Settings {
        val platform = SettingsFiles.platform(config)
        val operators = SettingsFiles.operators(settings)
        val teams = platform.deployment.teams.mapTo(HashSet()) { it.name }
        operators.drain?.unknownTeam(teams)?.let {
            throw InvalidSettingsException("${settings?.name}: $it")
        }
        return Settings(platform, operators)
    }
}

private const val EXIT_INVALID_SETTINGS = 78

/** Returns the result of [block], or prints the error and returns null if settings are invalid. */
private fun <T> nullIfSettingsInvalid(block: () -> T): T? =
    try {
        block()
    } catch (e: InvalidSettingsException) {
        System.err.println("wardmux: ${e.message}")
        null
    }

/** Runs a controller. */
@Command(
    name = "serve",
    description = ["Runs a controller until the process is killed."],
    mixinStandardHelpOptions = true,
)
class ServeCommand : Callable<Int> {
    @Mixin lateinit var options: SettingsOptions

    override fun call(): Int {
        val (platform, operators) =
            nullIfSettingsInvalid { options.read() } ?: return EXIT_INVALID_SETTINGS
        return try {
            Daemon(platform, operators).run()
            0
        } catch (e: java.net.BindException) {
            System.err.println("wardmux: cannot listen on api_addr or peer_bind: ${e.message}")
            1
        }
    }
}

/** Checks the settings files without starting a controller. */
@Command(
    name = "check",
    description =
        ["Checks both settings files and prints what is invalid; the exit code is then 78."],
    mixinStandardHelpOptions = true,
)
class CheckCommand : Callable<Int> {
    @Mixin lateinit var options: SettingsOptions

    override fun call(): Int {
        val (platform, _) = nullIfSettingsInvalid { options.read() } ?: return EXIT_INVALID_SETTINGS
        println("the settings of ${platform.member} are valid")
        return 0
    }
}

/**
 * Loads the controller's classes for the class-data sharing archive. Runs at build time; the JVM
 * maps the archive into memory at start-up.
 */
@Command(name = "rehearse", hidden = true)
class CdsTrainingCommand : Callable<Int> {
    override fun call(): Int {
        CdsTrainingRun.run()
        exitProcess(0)
    }
}
