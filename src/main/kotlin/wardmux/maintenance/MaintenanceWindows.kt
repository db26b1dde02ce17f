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

/** One occurrence of a window. */
data class WindowOccurrence(val from: Instant, val until: Instant)

/**
 * The recurring times at which steps of drains may start. Days recur by RFC 5545 (lib-recur),
 * public holidays come from Jollyday. A window opens at a local time of day and lasts for its
 * length in elapsed time: one that would open in the hour that a change to summer time skips opens
 * at the end of that hour, and one in the hour that comes twice opens the first time.
 */
class MaintenanceWindows(
    private val zone: ZoneId,
    holidays: String,
    private val windows: List<WindowSettings>,
) {
    private val holidayManager: HolidayManager? =
        holidays.ifEmpty { null }?.let { HolidayManager.getInstance(ManagerParameters.create(it)) }

    /** True if something that takes [length] from [at] on ends within one occurrence. */
    fun isOpenFor(start: Instant, duration: Duration): Boolean =
        windows.isEmpty() || windows.any { window -> isOpenFor(window, start, duration) }

    /** The first occurrence that ends after [at]; null if there is none within two years. */
    fun nextOccurrence(after: Instant): WindowOccurrence? =
        windows.mapNotNull { nextOccurrenceOf(it, after) }.minByOrNull { it.from }

    private fun isOpenFor(window: WindowSettings, start: Instant, duration: Duration) =
        occurrences(window, start)
            .takeWhile { it.from <= start }
            .any { start + duration <= it.until }

    private fun nextOccurrenceOf(window: WindowSettings, after: Instant) =
        occurrences(window, after).firstOrNull()

    /** The occurrences that end after [at], in their order. */
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

    private fun openingDays(window: WindowSettings, first: LocalDate): Sequence<LocalDate> {
        val firstDay = LocalDate.parse(window.from)
        val last = maxOf(first, firstDay).plusYears(SEARCH_HORIZON_YEARS)
        val days = dayIterator(window, firstDay, first) ?: return emptySequence()
        return generateSequence { nextDay(days) }.takeWhile { it <= last }
    }

    /** Null for a rule without a day: lib-recur rejects it with an exception. */
    private fun dayIterator(window: WindowSettings, firstDay: LocalDate, first: LocalDate) =
        try {
            RecurrenceRule(window.rule).iterator(recurrenceDateOf(firstDay)).also {
                if (first > firstDay) it.fastForward(recurrenceDateOf(first))
            }
        } catch (e: IllegalArgumentException) {
            null
        }

    private fun nextDay(days: RecurrenceRuleIterator): LocalDate? =
        try {
            if (!days.hasNext()) null
            else days.nextDateTime().let { LocalDate.of(it.year, it.month + 1, it.dayOfMonth) }
        } catch (e: IllegalArgumentException) {
            null
        }

    /** Months count from 0 in lib-recur. */
    private fun recurrenceDateOf(day: LocalDate) =
        DateTime(day.year, day.monthValue - 1, day.dayOfMonth)

    companion object {
        private const val SEARCH_HORIZON_YEARS = 2L
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val MAX_WINDOW_LENGTH_S = 7 * 86_400.0
        private const val MICROS_PER_SECOND = 1_000_000L
        private const val NANOS_PER_MICRO = 1_000L

        /** A time of day of the core as an instant. */
        fun instantOf(wallTime: Micros): Instant =
            Instant.ofEpochSecond(
                Math.floorDiv(wallTime.value, MICROS_PER_SECOND),
                Math.floorMod(wallTime.value, MICROS_PER_SECOND) * NANOS_PER_MICRO,
            )

        /** The first error, in one line that begins with the field, or null. */
        fun problem(timeZone: String, holidays: String, windows: List<WindowSettings>): String? {
            val zone = parseTimeZone(timeZone) ?: return "time_zone: no such time zone: $timeZone"
            if (holidays.isNotEmpty() && !isHolidayCalendar(holidays))
                return "holidays: no such calendar: $holidays"
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
                else "windows.rule: never opens: ${window.rule}"

        private fun formatProblem(window: WindowSettings): String? =
            when {
                !isParsable { RecurrenceRule(window.rule) } ->
                    "windows.rule: no recurrence rule: ${window.rule}"
                !isParsable { LocalTime.parse(window.opens) } ->
                    "windows.opens: no time of day: ${window.opens}"
                !isParsable { LocalDate.parse(window.from) } ->
                    "windows.from: no date: ${window.from}"
                window.lengthS !in 1.0..MAX_WINDOW_LENGTH_S ->
                    "windows.length_s must be from 1 to $MAX_WINDOW_LENGTH_S"
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
