package wardmux.maintenance

import java.time.Duration
import java.time.Instant
import java.time.ZoneId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/**
 * Guards against steps of drains outside the maintenance windows: on public holidays, longer than
 * the window lasts, or shifted by an hour where the local time changes to or from summer time.
 */
class MaintenanceWindowsTest {
    private val budapest = ZoneId.of("Europe/Budapest")

    /** One window in the time zone of Budapest. */
    private fun windows(rule: String, opens: String, lengthS: Double, holidays: String = "") =
        MaintenanceWindows(budapest, holidays, listOf(WindowSettings(rule, opens, lengthS)))

    private fun instant(text: String) = Instant.parse(text)

    @Test
    fun `a step may start only if it ends within the window`() {
        val nights = windows("FREQ=WEEKLY;BYDAY=TU,WE", "23:00", 2 * 3600.0)
        val minute = Duration.ofMinutes(1)
        // Tuesday, 1 December 2026, 23:00 in Budapest is 22:00 UTC.
        assertFalse(nights.isOpenFor(instant("2026-12-01T21:59:00Z"), minute))
        assertTrue(nights.isOpenFor(instant("2026-12-01T22:00:00Z"), minute))
        assertTrue(
            nights.isOpenFor(instant("2026-12-01T23:59:00Z"), minute),
            "expected the window to be open past midnight",
        )
        assertFalse(
            nights.isOpenFor(instant("2026-12-01T23:59:30Z"), minute),
            "expected a step that ends after the window to be refused",
        )
        assertFalse(
            nights.isOpenFor(instant("2026-12-03T22:00:00Z"), minute),
            "expected no window on a Thursday",
        )
        assertEquals(
            instant("2026-12-02T22:00:00Z"),
            nights.nextOccurrence(instant("2026-12-02T10:00:00Z"))?.from,
        )
    }

    @Test
    fun `no window opens on a public holiday`() {
        // 15 March 2027 is a public holiday in Hungary.
        val daily = windows("FREQ=DAILY", "10:00", 3600.0, holidays = "hu")
        assertFalse(daily.isOpenFor(instant("2027-03-15T09:30:00Z"), Duration.ofMinutes(1)))
        assertTrue(daily.isOpenFor(instant("2027-03-16T09:30:00Z"), Duration.ofMinutes(1)))
        assertEquals(
            instant("2027-03-16T09:00:00Z"),
            daily.nextOccurrence(instant("2027-03-14T20:00:00Z"))?.from,
        )
    }

    @Test
    fun `a window in the hour that summer time skips opens an hour later for its whole length`() {
        val early = windows("FREQ=DAILY", "02:30", 3600.0)
        // On 28 March 2027 the local time changes from 02:00 to 03:00, so that 02:30 does not
        // exist. The window opens at 03:30 instead, which is 01:30 UTC.
        val opening = assertNotNull(early.nextOccurrence(instant("2027-03-27T23:30:00Z")))
        assertEquals(instant("2027-03-28T01:30:00Z"), opening.from)
        assertEquals(instant("2027-03-28T02:30:00Z"), opening.until)
        // On the day before and the day after it opens at 02:30 local time.
        assertEquals(
            instant("2027-03-27T01:30:00Z"),
            early.nextOccurrence(instant("2027-03-26T23:30:00Z"))?.from,
        )
        assertEquals(
            instant("2027-03-29T00:30:00Z"),
            early.nextOccurrence(instant("2027-03-28T23:30:00Z"))?.from,
        )
    }

    @Test
    fun `a window in the hour that is repeated in autumn opens only the first time`() {
        val early = windows("FREQ=DAILY", "02:30", 1800.0)
        // On 31 October 2027 the local time is 02:30 at 00:30 UTC and again at 01:30 UTC.
        assertTrue(early.isOpenFor(instant("2027-10-31T00:40:00Z"), Duration.ofMinutes(5)))
        assertFalse(early.isOpenFor(instant("2027-10-31T01:40:00Z"), Duration.ofMinutes(5)))
        assertEquals(
            instant("2027-11-01T01:30:00Z"),
            early.nextOccurrence(instant("2027-10-31T01:40:00Z"))?.from,
        )
    }

    @Test
    fun `a window during which the local time changes lasts for its length in elapsed time`() {
        val night = windows("FREQ=DAILY", "22:00", 8 * 3600.0)
        assertTrue(
            night.isOpenFor(instant("2027-10-31T04:50:00Z").minusSeconds(3600), Duration.ZERO)
        )
        assertFalse(night.isOpenFor(instant("2027-10-31T04:10:00Z"), Duration.ZERO))
    }

    @Test
    fun `intervals of the rule count from the first day of the window`() {
        val everyOther = WindowSettings("FREQ=WEEKLY;INTERVAL=2", "12:00", 60.0, "2026-12-01")
        val windows = MaintenanceWindows(ZoneId.of("UTC"), "", listOf(everyOther))
        assertEquals(
            instant("2026-12-15T12:00:00Z"),
            windows.nextOccurrence(instant("2026-12-02T00:00:00Z"))?.from,
        )
        assertEquals(
            instant("2026-12-15T12:00:00Z"),
            windows.nextOccurrence(instant("2026-12-14T00:00:00Z"))?.from,
        )
    }

    @Test
    fun `steps may always start if there are no windows`() {
        val none = MaintenanceWindows(budapest, "", emptyList())
        assertTrue(none.isOpenFor(Instant.EPOCH, Duration.ofDays(30)))
        assertNull(none.nextOccurrence(Instant.EPOCH))
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value =
            [
                "Mars/Base | hu | FREQ=DAILY | 22:00 | 60 | time_zone",
                "UTC | atlantis | FREQ=DAILY | 22:00 | 60 | holidays",
                "UTC | hu | FREQ=SOMETIMES | 22:00 | 60 | windows.rule",
                "UTC | hu | FREQ=YEARLY;BYMONTH=2;BYMONTHDAY=30 | 22:00 | 60 | windows.rule",
                "UTC | hu | FREQ=YEARLY;BYMONTH=1;BYMONTHDAY=1 | 22:00 | 60 | windows.rule",
                "UTC | hu | FREQ=DAILY | 25:00 | 60 | windows.opens",
                "UTC | hu | FREQ=DAILY | 22:00 | 0 | windows.length_s",
            ],
    )
    fun `the error for an invalid window names the field`(
        zone: String,
        holidays: String,
        rule: String,
        opens: String,
        lengthS: Double,
        field: String,
    ) {
        val window = WindowSettings(rule, opens, lengthS)
        val problem = assertNotNull(MaintenanceWindows.problem(zone, holidays, listOf(window)))
        assertTrue(problem.startsWith("$field:") || problem.startsWith("$field "), problem)
    }
}
