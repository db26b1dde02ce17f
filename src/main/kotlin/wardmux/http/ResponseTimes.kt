package wardmux.http

import org.HdrHistogram.Histogram
import wardmux.logging.logger
import wardmux.model.Micros
import wardmux.model.seconds

/** Measures how long the HTTP server takes to respond, and logs the percentiles once a minute. */
class ResponseTimes {
    private val log = logger<ResponseTimes>()
    private val histogram = Histogram(MAX_RESPONSE_MICROS, SIGNIFICANT_DIGITS)
    private var nextLogAt = Micros.LONG_AGO

    /** Records a response that took [duration]. */
    fun record(duration: Micros) =
        histogram.recordValue(duration.value.coerceIn(0, MAX_RESPONSE_MICROS))

    /**
     * Logs the percentiles and resets the histogram if [LOG_PERIOD] has passed since the last time.
     */
    fun logIfDue(now: Micros) {
        if (now < nextLogAt) return
        nextLogAt = now + LOG_PERIOD
        if (histogram.totalCount == 0L) return
        log.info(
            "{} HTTP responses: 50 % within {} ms, 99 % within {} ms, longest {} ms",
            histogram.totalCount,
            histogram.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
            histogram.getValueAtPercentile(NINETY_NINTH) / MICROS_PER_MILLI,
            histogram.maxValue / MICROS_PER_MILLI,
        )
        histogram.reset()
    }

    private companion object {
        /** The largest value of the histogram; longer response times are recorded as this value. */
        const val MAX_RESPONSE_MICROS = 60_000_000L
        const val SIGNIFICANT_DIGITS = 2
        const val MEDIAN = 50.0
        const val NINETY_NINTH = 99.0
        const val MICROS_PER_MILLI = 1_000
        val LOG_PERIOD = 60.seconds
    }
}
