package wardmux.logging

import org.slf4j.Logger
import org.slf4j.LoggerFactory

/** The log of class [T], under its simple name. */
inline fun <reified T> logger(): Logger = LoggerFactory.getLogger(T::class.java.simpleName)
