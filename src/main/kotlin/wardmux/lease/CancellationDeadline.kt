package wardmux.lease

import wardmux.config.WorkerTiming
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** The time by which a cancelled job's tasks have to be gone, as a bound on lease renewals. */
class CancellationDeadline(workers: WorkerTiming) {
    /**
     * For how long after a user may have been told of a cancellation a lease may be renewed without
     * stopping its tasks. A forwarder may go on until its grant ends, and the lease then runs out,
     * all before the tasks have to be gone.
     */
    val renewablePeriod: Micros =
        maxOf(
            workers.cancelS.seconds -
                workers.leaseS.seconds * (1 + MAX_CLOCK_DRIFT) -
                ForwardingGrant.duration(workers) -
                LEASE_EXPIRY_MARGIN,
            MIN_RENEWABLE_PERIOD,
        )

    private companion object {
        /** For network delays and the workers' own timers. */
        val LEASE_EXPIRY_MARGIN = 1500.milliseconds

        /** Longer than a healthy leader goes without confirming that it knows all cancellations. */
        val MIN_RENEWABLE_PERIOD = 1.seconds
    }
}
