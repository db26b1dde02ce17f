package wardmux.maintenance

import de.focus_shift.jollyday.core.HolidayManager
import de.focus_shift.jollyday.core.ManagerParameters
import java.time.DateTimeException
import java.time.Duration
import java.time.Instant
import java.time.LocalDate
import java.time.LocalTime
import java.time.ZoneId
import org.dmfs.rfc5545.DateTime
import org.dmfs.rfc5545.recur.InvalidRecurrenceRuleException
import org.dmfs.rfc5545.recur.RecurrenceRule
import org.dmfs.rfc5545.recur.RecurrenceRuleIterator
import wardmux.model.Micros

/** One occurrence of a maintenance window. */
data class WindowOccurrence(val from: Instant, val until: Instant)

/**
 * The maintenance windows, in which steps of drains may start. The days of a window recur by an RFC
 * 5545 rule, which lib-recur evaluates; public holidays, on which no window opens, come from
 * Jollyday.
 *
 * A window opens at a local time of day in [zone] and stays open for its length in elapsed time. If
 * the change to summer time skips the local time at which it opens, it opens later by the length of
 * the change. If the change from summer time repeats that local time, it opens the first time only.
 */
class MaintenanceWindows(
    private val zone: ZoneId,
    holidays: String,
    private val windows: List<WindowSettings>,
) {
    private val holidayManager: HolidayManager? =
        holidays.ifEmpty { null }?.let { HolidayManager.getInstance(ManagerParameters.create(it)) }

    /**
     * True if an activity that begins at [start] and takes [duration] lies within one occurrence of
     * a window, or if there are no windows.
     */
    fun isOpenFor(start: Instant, duration: Duration): Boolean =
        windows.isEmpty() || windows.any { window -> isOpenFor(window, start, duration) }

    /**
     * The first occurrence of any window that ends later than [after]; null if there is none within
     * two years ([SEARCH_HORIZON_YEARS]).
     */
    fun nextOccurrence(after: Instant): WindowOccurrence? =
        windows.mapNotNull { nextOccurrenceOf(it, after) }.minByOrNull { it.from }

    private fun isOpenFor(window: WindowSettings, start: Instant, duration: Duration) =
        occurrences(window, start)
            .takeWhile { it.from <= start }
            .any { start + duration <= it.until }

    private fun nextOccurrenceOf(window: WindowSettings, after: Instant) =
        occurrences(window, after).firstOrNull()

    /** The occurrences of [window] that end later than [after], in chronological order. */
    private fun occurrences(window: WindowSettings, after: Instant): Sequence<WindowOccurrence> {
        val length = Duration.ofMillis((window.lengthS * MILLIS_PER_SECOND).toLong())
        val first = after.atZone(zone).toLocalDate().minusDays(length.toDays() + 1)
        val openingTime = LocalTime.parse(window.opens)
        return openingDays(window, first)
            .filter { holidayManager?.isHoliday(it) != true }
            .map { it.atTime(openingTime).atZone(zone).toInstant() }
            .map { WindowOccurrence(it, it + length) }
            .filter { it.until > after }
    }

    /** The days from [first] on that the rule of [window] names, up to the search horizon. */
    private fun openingDays(window: WindowSettings, first: LocalDate): Sequence<LocalDate> {
        val firstDay = LocalDate.parse(window.from)
        val last = maxOf(first, firstDay).plusYears(SEARCH_HORIZON_YEARS)
        val days = dayIterator(window, firstDay, first) ?: return emptySequence()
        return generateSequence { nextDay(days) }.takeWhile { it <= last }
    }

    /**
     * Iterates over the days of [window] from [first] on. Null for a rule that matches no day, for
     * which lib-recur throws an exception.
     */
    private fun dayIterator(window: WindowSettings, firstDay: LocalDate, first: LocalDate) =
        try {
            RecurrenceRule(window.rule).iterator(recurrenceDateOf(firstDay)).also {
                if (first > firstDay) it.fastForward(recurrenceDateOf(first))
            }
        } catch (e: IllegalArgumentException) {
            null
        }

    /** The next day of [days]; null if there is none, also if lib-recur throws an exception. */
    private fun nextDay(days: RecurrenceRuleIterator): LocalDate? =
        try {
            if (!days.hasNext()) null
            else days.nextDateTime().let { LocalDate.of(it.year, it.month + 1, it.dayOfMonth) }
        } catch (e: IllegalArgumentException) {
            null
        }

    /** Converts [day] to a date of lib-recur, which counts months from 0. */
    private fun recurrenceDateOf(day: LocalDate) =
        DateTime(day.year, day.monthValue - 1, day.dayOfMonth)

    companion object {
        /** How far ahead occurrences are searched. */
        private const val SEARCH_HORIZON_YEARS = 2L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val MAX_WINDOW_LENGTH_S = 7 * 86_400.0
        private const val MICROS_PER_SECOND = 1_000_000L
        private const val NANOS_PER_MICRO = 1_000L

        /** Converts a wall-clock time in microseconds since the epoch. */
        fun instantOf(wallTime: Micros): Instant =
            Instant.ofEpochSecond(
                Math.floorDiv(wallTime.value, MICROS_PER_SECOND),
                Math.floorMod(wallTime.value, MICROS_PER_SECOND) * NANOS_PER_MICRO,
            )

        /** The first error, in one line that begins with the field; null if there is none. */
        fun problem(timeZone: String, holidays: String, windows: List<WindowSettings>): String? {
            val zone =
                parseTimeZone(timeZone)
                    ?: return "time_zone: must be an IANA time zone, but is '$timeZone'"
            if (holidays.isNotEmpty() && !isHolidayCalendar(holidays))
                return "holidays: must be a Jollyday calendar such as hu, but is '$holidays'"
            return windows.firstNotNullOfOrNull { problem(zone, holidays, it) }
        }

        private fun parseTimeZone(name: String): ZoneId? =
            try {
                ZoneId.of(name)
            } catch (e: DateTimeException) {
                null
            }

        private fun isHolidayCalendar(name: String) =
            HolidayManager.getSupportedCalendarCodes().any { it.equals(name, ignoreCase = true) }

        private fun problem(zone: ZoneId, holidays: String, window: WindowSettings): String? =
            formatProblem(window)
                ?: if (hasOccurrence(zone, holidays, window)) null
                else "windows.rule: the window never opens with the rule '${window.rule}'"

        private fun formatProblem(window: WindowSettings): String? =
            when {
                !isParsable { RecurrenceRule(window.rule) } ->
                    "windows.rule: must be an RFC 5545 recurrence rule, but is '${window.rule}'"
                !isParsable { LocalTime.parse(window.opens) } ->
                    "windows.opens: must be HH:MM, but is '${window.opens}'"
                !isParsable { LocalDate.parse(window.from) } ->
                    "windows.from: must be YYYY-MM-DD, but is '${window.from}'"
                window.lengthS !in 1.0..MAX_WINDOW_LENGTH_S ->
                    "windows.length_s must be from 1 to $MAX_WINDOW_LENGTH_S, " +
                        "but is ${window.lengthS}"
                else -> null
            }

        private fun hasOccurrence(zone: ZoneId, holidays: String, window: WindowSettings): Boolean {
            val earliest = LocalDate.parse(window.from).atStartOfDay(zone).toInstant()
            return MaintenanceWindows(zone, holidays, listOf(window)).nextOccurrence(earliest) !=
                null
        }

        private fun isParsable(read: () -> Any): Boolean =
            try {
                read()
                true
            } catch (e: InvalidRecurrenceRuleException) {
                false
            } catch (e: DateTimeException) {
                false
            }
    }
}
