package wardmux.http

import org.HdrHistogram.Histogram
import wardmux.Micros
import wardmux.logger
import wardmux.secs

/** How long answers take, told in the log now and then. */
class AnswerTimes(private val name: String) {
    private val log = logger<AnswerTimes>()
    private val histogram = Histogram(HIGHEST, DIGITS)
    private var tellAt = Micros.LONG_AGO

    fun record(took: Micros) = histogram.recordValue(took.value.coerceIn(0, HIGHEST))

    fun tell(now: Micros) {
        if (now < tellAt) return
        tellAt = now + PERIOD
        if (histogram.totalCount == 0L) return
        log.info(
            "{}: {} answers, 50 % within {} ms, 99 % within {} ms, longest {} ms",
            name,
            histogram.totalCount,
            histogram.getValueAtPercentile(50.0) / 1_000,
            histogram.getValueAtPercentile(99.0) / 1_000,
            histogram.maxValue / 1_000,
        )
        histogram.reset()
    }

    private companion object {
        const val HIGHEST = 60_000_000L
        const val DIGITS = 2
        val PERIOD = 60.secs
    }
}
