package wardmux.app

/**
 * Configures slf4j-simple, which logs to standard error. It reads its settings once, when the first
 * logger is created, so it must be configured before that.
 */
object Logs {
    private val levels = setOf("error", "info", "debug")

    /**
     * Sets the level of all loggers to [level]: error, info or debug. Null or any other value means
     * info.
     */
    fun configure(level: String?) {
        val chosen = level?.lowercase()?.takeIf { it in levels } ?: "info"
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", chosen)
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error")
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false")
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true")
    }
}
