package wardmux.fleet

import wardmux.config.OperatorSettings
import wardmux.config.WorkerTiming
import wardmux.core.CoreContext
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Machine
import wardmux.model.Micros
import wardmux.model.seconds

/** Lease renewals by forwarders that the leader may not know of yet. */
fun interface ForwardedRenewals {
    /**
     * Returns the latest time at which a forwarder may have renewed the lease of a machine. The
     * leader knows of renewals up to [renewedAt]; a lease expires [leaseDuration] after its last
     * renewal.
     */
    fun latestRenewal(renewedAt: Micros, leaseDuration: Micros): Micros
}

/**
 * Determines whether the lease of a machine has certainly expired. A worker that executes has
 * killed its tasks by then. A machine that hangs has not, so this does not prove that no task is
 * there.
 */
class LeaseExpiry(
    private val context: CoreContext,
    workers: WorkerTiming,
    operators: OperatorSettings,
    private val forwardedRenewals: ForwardedRenewals,
) {
    /**
     * The longest time from the renewal of a lease to its expiry, measured by this controller's
     * clock. It includes the largest clock drift between two machines and the operators' margin.
     */
    val maxLeaseDuration: Micros =
        workers.leaseS.seconds * (1 + MAX_CLOCK_DRIFT) + operators.leaseMarginS.seconds

    /**
     * Whether the lease of [machine] has expired. The machine must have adopted this leader's
     * fencing token. Only then is it certain that nobody but this leader and its forwarders has
     * renewed its lease since.
     */
    fun hasExpired(machine: Machine): Boolean {
        val start = machine.leaseStart
        if (context.now - start <= maxLeaseDuration) return false
        val latest = forwardedRenewals.latestRenewal(start, maxLeaseDuration)
        return context.now - latest > maxLeaseDuration
    }
}
