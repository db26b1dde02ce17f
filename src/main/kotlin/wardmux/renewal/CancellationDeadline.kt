package wardmux.renewal

import wardmux.Micros
import wardmux.app.WorkerFacts
import wardmux.lead.Leadership
import wardmux.millis
import wardmux.relay.Relays
import wardmux.secs

/** What users are promised of a cancelled job's tasks, as a bound on the renewal of leases. */
class CancellationDeadline(workers: WorkerFacts) {
    /**
     * For how long after a user may have been told of a cancellation a lease may be renewed without
     * the halt of its tasks: a relay may go on for its grant, and the lease then runs out, all
     * before the tasks have to be gone.
     */
    val renewableFor: Micros =
        maxOf(
            workers.cancelS.secs -
                workers.leaseS.secs * (1 + Leadership.DRIFT) -
                Relays.grant(workers) -
                MARGIN,
            RENEWABLE_LEAST,
        )

    private companion object {
        /** For messages on their way and the workers' own timers. */
        val MARGIN = 1500.millis

        /** A leader that knows all learns that it does a few times a second. */
        val RENEWABLE_LEAST = 1.secs
    }
}
