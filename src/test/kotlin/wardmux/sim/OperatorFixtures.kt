package wardmux.sim

import wardmux.config.OperatorSettings

/**
 * Operator settings under which all controllers accept heartbeats and forward them to the leader,
 * or, if not [forwarding], only the leader accepts them.
 */
fun forwardingSettings(forwarding: Boolean = true): OperatorSettings =
    if (forwarding) OperatorSettings(heartbeatsPerCore = 0.0) else OperatorSettings()
