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
    description = ["A cluster scheduler: runs users' jobs on rented machines, fairly and once."],
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

/** Reads the version from the manifest of the packaged program. */
class Version : IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("wardmux ${Version::class.java.`package`.implementationVersion ?: "(unpackaged)"}")
}

/** The platform's and the operators' settings. */
data class Settings(val platform: PlatformConfig, val operators: OperatorSettings)

/** The options that name the settings files. */
class SettingsOptions {
    @Option(
        names = ["--config"],
        required = true,
        paramLabel = "FILE",
        description = ["The settings file that the platform hands over (TOML)."],
    )
    lateinit var config: File

    @Option(
        names = ["--settings"],
        paramLabel = "FILE",
        description = ["The operators' own settings (TOML); without it, the defaults hold."],
    )
    var settings: File? = null

    /** Both settings; throws [InvalidSettingsException] if one is wrong. */
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
    description = ["Runs a controller until it is killed."],
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
            System.err.println("wardmux: api_addr or peer_bind cannot be listened on: ${e.message}")
            1
        }
    }
}

/** Checks the settings files without starting a controller. */
@Command(
    name = "check",
    description = ["Checks both settings files and says what is wrong; the exit code tells."],
    mixinStandardHelpOptions = true,
)
class CheckCommand : Callable<Int> {
    @Mixin lateinit var options: SettingsOptions

    override fun call(): Int {
        val (platform, _) = nullIfSettingsInvalid { options.read() } ?: return EXIT_INVALID_SETTINGS
        println("settings of ${platform.member} are sound")
        return 0
    }
}

/**
 * Runs at build time: the classes that it loads go into the class-data sharing archive, which is
 * mapped at start-up.
 */
@Command(name = "rehearse", hidden = true)
class CdsTrainingCommand : Callable<Int> {
    override fun call(): Int {
        CdsTrainingRun.run()
        exitProcess(0)
    }
}
