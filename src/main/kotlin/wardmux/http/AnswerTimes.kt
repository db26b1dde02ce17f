package wardmux.http

import org.HdrHistogram.Histogram
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/** How long answers take, told in the log now and then. */
class AnswerTimes(private val name: String) {
    private val log = logger<AnswerTimes>()
    private val histogram = Histogram(HIGHEST, DIGITS)
    private var tellAt = Micros.LONG_AGO

    /** Counts one answer. */
    fun record(took: Micros) = histogram.recordValue(took.value.coerceIn(0, HIGHEST))

    /** Logs the percentiles once a minute, and starts anew. */
    fun tell(now: Micros) {
        if (now < tellAt) return
        tellAt = now + PERIOD
        if (histogram.totalCount == 0L) return
        log.info(
            "{}: {} answers, 50 % within {} ms, 99 % within {} ms, longest {} ms",
            name,
            histogram.totalCount,
            histogram.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
            histogram.getValueAtPercentile(SLOWEST_HUNDREDTH) / MICROS_PER_MILLI,
            histogram.maxValue / MICROS_PER_MILLI,
        )
        histogram.reset()
    }

    private companion object {
        const val HIGHEST = 60_000_000L
        const val DIGITS = 2
        const val MEDIAN = 50.0
        const val SLOWEST_HUNDREDTH = 99.0
        const val MICROS_PER_MILLI = 1_000
        val PERIOD = 60.seconds
    }
}
