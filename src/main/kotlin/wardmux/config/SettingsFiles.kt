package wardmux.config

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import kotlinx.serialization.SerializationException

/** A setting is invalid, missing or unreadable. The message is one line that names it. */
class InvalidSettingsException(message: String) : Exception(message)

/** Reads and checks the platform's and the operators' settings files. */
object SettingsFiles {
    private val VALID_PORTS = 1..65_535

    /**
     * Reads and checks the platform's configuration in [file]. Throws [InvalidSettingsException] if
     * it cannot be read or is invalid.
     */
    fun platform(file: File): PlatformConfig {
        val config =
            parse(file) { text ->
                Toml(TomlInputConfig(ignoreUnknownNames = true))
                    .decodeFromString(PlatformConfig.serializer(), text)
            }
        PlatformConfigCheck(file.name).check(config)
        return config
    }

    /**
     * Reads and checks the operators' settings in [file]; returns the defaults if it is null.
     * Throws [InvalidSettingsException] if they cannot be read or are invalid.
     */
    fun operators(file: File?): OperatorSettings {
        if (file == null) return OperatorSettings()
        val settings =
            parse(file) { text ->
                Toml(TomlInputConfig(ignoreUnknownNames = false))
                    .decodeFromString(OperatorSettings.serializer(), text)
            }
        settings.problem()?.let { throw InvalidSettingsException("${file.name}: $it") }
        return settings
    }

    /**
     * The address that [text] of the form HOST:PORT stands for, or null if it is malformed. The
     * address is unresolved if the host is not known.
     */
    fun parseAddress(text: String): InetSocketAddress? {
        val colon = text.lastIndexOf(':')
        val port = text.substring(colon + 1).toIntOrNull() ?: return null
        if (colon <= 0 || port !in VALID_PORTS) return null
        return InetSocketAddress(text.substring(0, colon), port)
    }

    private fun <T> parse(file: File, decode: (String) -> T): T {
        val text =
            try {
                file.readText()
            } catch (e: IOException) {
                throw InvalidSettingsException("${file.name}: cannot be read: ${firstLine(e)}")
            }
        try {
            return decode(text)
        } catch (e: SerializationException) {
            throw InvalidSettingsException("${file.name}: ${firstLine(e)}")
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException("${file.name}: ${firstLine(e)}")
        }
    }

    private fun firstLine(e: Exception) = (e.message ?: e.toString()).lineSequence().first()
}
