package wardmux.sim

/**
 * The seeds of the range FIRST-LAST in the system property named [property], or in [defaultRange].
 * A longer search takes other seeds: `-DargLine="-D<property>=100-500"`.
 */
fun seedsFrom(property: String, defaultRange: String): List<Long> {
    val range = (System.getProperty(property) ?: defaultRange).split('-')
    return (range.first().toLong()..range.last().toLong()).toList()
}
