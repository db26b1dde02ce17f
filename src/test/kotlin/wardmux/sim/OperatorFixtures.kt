package wardmux.sim

import wardmux.config.OperatorSettings

/** Settings under which all controllers take heartbeats, or the leader alone does. */
fun forwardingSettings(forwarding: Boolean = true): OperatorSettings =
    if (forwarding) OperatorSettings(heartbeatsPerCore = 0.0) else OperatorSettings()
