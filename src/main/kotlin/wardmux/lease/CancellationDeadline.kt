package wardmux.lease

import wardmux.config.WorkerTiming
import wardmux.model.MAX_CLOCK_DRIFT
import wardmux.model.Micros
import wardmux.model.milliseconds
import wardmux.model.seconds

/** What users are promised of a cancelled job's tasks, as a bound on the renewal of leases. */
class CancellationDeadline(workers: WorkerTiming) {
    /**
     * For how long after a user may have been told of a cancellation a lease may be renewed without
     * the halt of its tasks: a relay may go on for its grant, and the lease then runs out, all
     * before the tasks have to be gone.
     */
    val renewableFor: Micros =
        maxOf(
            workers.cancelS.seconds -
                workers.leaseS.seconds * (1 + MAX_CLOCK_DRIFT) -
                ForwardingGrant.duration(workers) -
                MARGIN,
            RENEWABLE_LEAST,
        )

    private companion object {
        /** For messages on their way and the workers' own timers. */
        val MARGIN = 1500.milliseconds

        /** A leader that knows all learns that it does a few times a second. */
        val RENEWABLE_LEAST = 1.seconds
    }
}
