package wardmux.fleet

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** What forwarders may have done to leases without the leader knowing of it yet. */
fun interface ForwardedRenewals {
    /**
     * The latest time at which the lease of a machine last known to be renewed at [renewedAt] may
     * have been renewed, if a lease is over after [leaseDuration].
     */
    fun latestRenewal(renewedAt: Micros, leaseDuration: Micros): Micros
}

/** Tells which machines' leases are surely over, so that nothing runs there any more. */
class LeaseExpiry(
    private val context: CoreContext,
    workers: WorkerTiming,
    operators: OperatorSettings,
    private val forwardedRenewals: ForwardedRenewals,
) {
    /** A lease that was not renewed for longer is over, by any clock. */
    val maxLeaseDuration: Micros =
        workers.leaseS.seconds * (1 + MAX_CLOCK_DRIFT) + operators.leaseMarginS.seconds

    /**
     * Whether the lease of [machine] is over. The machine has to have adopted this leader's token:
     * then only this leader and its forwarders can have renewed its lease.
     */
    fun hasExpired(machine: Machine): Boolean {
        val start = machine.leaseStart
        if (context.now - start <= maxLeaseDuration) return false
        val latest = forwardedRenewals.latestRenewal(start, maxLeaseDuration)
        return context.now - latest > maxLeaseDuration
    }
}
