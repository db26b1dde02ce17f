package wardmux.lease

import com.codahale.metrics.Counter
import com.codahale.metrics.MetricRegistry
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/** Counts renewed and withheld leases, and logs the counts periodically. */
class RenewalCounters(private val context: CoreContext) {
    private val log = logger<RenewalCounters>()
    private val metrics = MetricRegistry()
    private val renewals: Counter = metrics.counter("renewals")
    private val stops: Counter = metrics.counter("stops")
    private val withheldOutdated: Counter = metrics.counter("withheld.cancellations-outdated")
    private val withheldUnverified: Counter = metrics.counter("withheld.absence-unverified")
    private var nextLogAt = Micros.LONG_AGO

    /**
     * Counts a response that renewed a lease and stopped [stoppedTasks] tasks of cancelled jobs.
     */
    fun countRenewal(stoppedTasks: Int) {
        renewals.inc()
        if (stoppedTasks > 0) stops.inc(stoppedTasks.toLong())
    }

    /** Counts a response that did not renew a lease because of [reason]. */
    fun countWithheld(reason: WithholdingReason) =
        when (reason) {
            WithholdingReason.CANCELLATIONS_OUTDATED -> withheldOutdated.inc()
            WithholdingReason.ABSENCE_UNVERIFIED -> withheldUnverified.inc()
        }

    /**
     * Logs the counts since the start of the process once a minute, unless all of them are zero.
     */
    fun tick() {
        if (context.now < nextLogAt) return
        nextLogAt = context.now + LOG_PERIOD
        if (renewals.count + withheldOutdated.count + withheldUnverified.count == 0L) return
        log.info(
            "renewals={} stops={} withheld_cancellations_outdated={} " +
                "withheld_absence_unverified={}",
            renewals.count,
            stops.count,
            withheldOutdated.count,
            withheldUnverified.count,
        )
    }

    private companion object {
        val LOG_PERIOD = 60.seconds
    }
}
