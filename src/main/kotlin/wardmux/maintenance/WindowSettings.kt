package wardmux.maintenance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A recurring maintenance window. */
@Serializable
data class WindowSettings(
    /** The RFC 5545 rule of the days on which it opens, such as `FREQ=WEEKLY;BYDAY=TU`. */
    @SerialName("rule") val rule: String,
    /** The local time at which it opens, HH:MM. */
    @SerialName("opens") val opens: String,
    /** How long it stays open, in seconds. */
    @SerialName("length_s") val lengthS: Double,
    /** The first day on which it may open, YYYY-MM-DD. Intervals of [rule] count from this day. */
    @SerialName("from") val from: String = "2026-01-01",
)
