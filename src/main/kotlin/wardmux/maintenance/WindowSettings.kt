package wardmux.maintenance

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A recurring maintenance window. */
@Serializable
data class WindowSettings(
    /** The days on which it opens: an RFC 5545 recurrence rule such as `FREQ=WEEKLY;BYDAY=TU`. */
    @SerialName("rule") val rule: String,
    /** The local time at which it opens, HH:MM. */
    @SerialName("opens") val opens: String,
    /** For how long it is open. */
    @SerialName("length_s") val lengthS: Double,
    /** The first day on which it may open, YYYY-MM-DD; the rule's intervals count from it. */
    @SerialName("from") val from: String = "2026-01-01",
)
