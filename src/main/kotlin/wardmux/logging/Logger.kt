package wardmux.logging

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** Returns the logger of class [T], which has the simple name of the class. */
inline fun <reified T> logger(): Logger = LoggerFactory.getLogger(T::class.java.simpleName)
