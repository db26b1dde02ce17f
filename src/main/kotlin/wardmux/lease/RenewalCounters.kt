package wardmux.lease

import com.codahale.metrics.Counter
import com.codahale.metrics.MetricRegistry
import wardmux.core.CoreContext
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/** Counts what answers to reports did to leases, and logs the counts once in a while. */
class RenewalCounters(private val context: CoreContext) {
    private val log = logger<RenewalCounters>()
    private val metrics = MetricRegistry()
    private val renewed: Counter = metrics.counter("renewals")
    private val halts: Counter = metrics.counter("halts")
    private val uninformed: Counter = metrics.counter("withheld.uninformed")
    private val unproven: Counter = metrics.counter("withheld.unproven")
    private var tellAt = Micros.LONG_AGO

    /** An answer renewed a lease and carried so many halts of cancelled tasks. */
    fun renewed(haltedTasks: Int) {
        renewed.inc()
        if (haltedTasks > 0) halts.inc(haltedTasks.toLong())
    }

    /** An answer did not renew a lease. */
    fun withheld(reason: WithholdingReason) =
        when (reason) {
            WithholdingReason.UNINFORMED -> uninformed.inc()
            WithholdingReason.UNPROVEN -> unproven.inc()
        }

    /** Logs the counts since the process began, once a minute. */
    fun tick() {
        if (context.now < tellAt) return
        tellAt = context.now + PERIOD
        if (renewed.count + uninformed.count + unproven.count == 0L) return
        log.info(
            "renewals={} halts={} withheld_uninformed={} withheld_unproven={}",
            renewed.count,
            halts.count,
            uninformed.count,
            unproven.count,
        )
    }

    private companion object {
        val PERIOD = 60.seconds
    }
}
