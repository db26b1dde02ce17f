package wardmux.app

import wardmux.config.OperatorSettings
import wardmux.config.SettingsFiles

/**
 * A short run of the daemon that loads the classes for the JVM's class-data sharing (CDS) archive.
 */
object CdsTrainingRun {
    /**
     * Runs a controller for [CLASS_LOADING_MILLIS], which is long enough to load its classes. The
     * controller can connect to no service: nothing listens on the addresses in its settings.
     */
    fun run() {
        val directory = kotlin.io.path.createTempDirectory("wardmux").toFile()
        val settingsFile = directory.resolve("settings.toml")
        settingsFile.writeText(SAMPLE_SETTINGS)
        val platform = SettingsFiles.platform(settingsFile)
        directory.deleteRecursively()
        val daemonThread = Thread { Daemon(platform, OperatorSettings()).run() }
        daemonThread.isDaemon = true
        daemonThread.start()
        Thread.sleep(CLASS_LOADING_MILLIS)
    }

    private const val CLASS_LOADING_MILLIS = 1_500L

    /** Complete and valid platform settings; tests use them as well. */
    internal val SAMPLE_SETTINGS =
        """
        member = "wardbox-0"
        site = "a"
        api_addr = "127.0.0.1:18080"
        peer_bind = "127.0.0.1:18081"

        [[siblings]]
        member = "wardbox-1"
        site = "b"
        addr = "127.0.0.1:18083"

        [services]
        cloud = "127.0.0.1:18084"
        state = "127.0.0.1:18085"

        [facts]
        nodes = 3
        zones = ["a", "b"]
        clock_error_ms = 100.0

        [[facts.teams]]
        name = "team-0"
        cpus = 40.0
        cpus_max = 96.0
        gpus = 0.0
        gpus_max = 0.0

        [[facts.teams]]
        name = "team-1"
        cpus = 40.0
        cpus_max = 96.0
        gpus = 0.0
        gpus_max = 0.0

        [[facts.objectives]]
        kind = "deadline"
        class = "x"
        share = 0.78
        times = 1.0

        [facts.workers]
        report_s = 2.5
        lease_s = 16.0
        cancel_s = 36.0

        [facts.state]
        rps = 150.0
        write_rps = 60.0
        value_kb = 16.0
        txn_ops = 48

        [facts.cloud]
        rps = 6.0
        list_lag_s = 6.0

        [facts.limits]
        cpu = 0.25
        ram_mb = 268.0
        fd_limit = 1800
        """
            .trimIndent()
}
