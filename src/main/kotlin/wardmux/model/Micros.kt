package wardmux.model

import kotlin.math.roundToLong

/** A duration or a point on a steady clock, in whole microseconds. */
@JvmInline
value class Micros(val value: Long) : Comparable<Micros> {
    /** The point that is [other] later, or the sum of two durations. */
    operator fun plus(other: Micros) = Micros(value + other.value)

    /** The time between two points, or the point that is [other] earlier. */
    operator fun minus(other: Micros) = Micros(value - other.value)

    /** This duration scaled by [factor], rounded to whole microseconds. */
    operator fun times(factor: Double) = Micros((value * factor).roundToLong())

    override fun compareTo(other: Micros) = value.compareTo(other.value)

    /** The same in seconds. */
    val inSeconds: Double
        get() = value / 1e6

    override fun toString() = "${value}us"

    companion object {
        /** No time at all, or the start of the clock. */
        val ZERO = Micros(0)
        /** A point that is never reached; a duration can be added to it. */
        val NEVER = Micros(Long.MAX_VALUE / 4)
        /** A point before all others; a duration can be subtracted from it. */
        val LONG_AGO = Micros(-(Long.MAX_VALUE / 4))
    }
}

/** The most by which two steady clocks differ in rate, as a share of the elapsed time. */
const val MAX_CLOCK_DRIFT = 0.001

/** So many milliseconds. */
val Int.milliseconds: Micros
    get() = Micros(this * 1_000L)

/** So many seconds. */
val Int.seconds: Micros
    get() = Micros(this * 1_000_000L)

/** So many seconds, rounded to whole microseconds. */
val Double.seconds: Micros
    get() = Micros((this * 1e6).roundToLong())
