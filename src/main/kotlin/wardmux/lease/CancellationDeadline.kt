package wardmux.lease

import wardmux.config.WorkerTiming
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/**
 * Limits how long after a cancellation a worker's lease may be renewed without stopping the tasks
 * of the cancelled job, so that these tasks are gone by the deadline of the cancellation.
 */
class CancellationDeadline(workers: WorkerTiming) {
    /**
     * The period after a user may have been told of a cancellation in which a lease may still be
     * renewed without stopping the tasks of the cancelled job. The tasks have to be gone
     * [WorkerTiming.cancelS] after the cancellation. Before that deadline, a forwarder may still
     * renew leases until its grant ends, and the last renewed lease then has to run out.
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
        /** Covers network delays and the inaccuracy of the workers' own timers. */
        val LEASE_EXPIRY_MARGIN = 1500.milliseconds

        /**
         * The lower bound of [renewablePeriod]: longer than a healthy leader goes without
         * confirming that it knows all cancellations.
         */
        val MIN_RENEWABLE_PERIOD = 1.seconds
    }
}
