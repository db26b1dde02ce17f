package wardmux.app

import kotlin.system.exitProcess
import picocli.CommandLine

/** Entry point of the `wardmux` command. */
fun main(arguments: Array<String>) {
    Logs.configure(System.getenv("LOG_LEVEL"))
    exitProcess(CommandLine(WardmuxCommand()).execute(*arguments))
}
