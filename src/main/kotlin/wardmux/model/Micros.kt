package wardmux.model

import kotlin.math.roundToLong

/** A duration, or a point in time on a monotonic clock or as time of day, in whole microseconds. */
@JvmInline
value class Micros(val value: Long) : Comparable<Micros> {
    /** The point in time that is [other] later, or the sum of two durations. */
    operator fun plus(other: Micros) = Micros(value + other.value)

    /** The duration between two points in time, or the point in time that is [other] earlier. */
    operator fun minus(other: Micros) = Micros(value - other.value)

    /** This duration scaled by [factor], rounded to whole microseconds. */
    operator fun times(factor: Double) = Micros((value * factor).roundToLong())

    override fun compareTo(other: Micros) = value.compareTo(other.value)

    /** This value in seconds. */
    val inSeconds: Double
        get() = value / 1e6

    override fun toString() = "${value}us"

    companion object {
        /** A duration of zero, or the origin of the clock. */
        val ZERO = Micros(0)
        /** A point in time that is never reached. Adding a duration to it does not overflow. */
        val NEVER = Micros(Long.MAX_VALUE / 4)
        /** A point in time before all others. Subtracting a duration does not overflow. */
        val LONG_AGO = Micros(-(Long.MAX_VALUE / 4))
    }
}

/**
 * The maximum difference in rate between two monotonic clocks, as a fraction of the elapsed time.
 */
const val MAX_CLOCK_DRIFT = 0.001

/** A duration of this many milliseconds. */
val Int.milliseconds: Micros
    get() = Micros(this * 1_000L)

/** A duration of this many seconds. */
val Int.seconds: Micros
    get() = Micros(this * 1_000_000L)

/** A duration of this many seconds, rounded to whole microseconds. */
val Double.seconds: Micros
    get() = Micros((this * 1e6).roundToLong())
