package wardmux.sim

import java.io.File
import java.nio.ByteBuffer
import java.security.MessageDigest
import wardmux.core.Effect
import wardmux.model.Micros

/**
 * The number and the SHA-256 hash of all effects of one simulated cluster, in their order. Two
 * versions of the controller that make the same decisions have the same digests;
 * `tools/compare-effects` compares them.
 */
class EffectDigest private constructor() {
    private val hash = MessageDigest.getInstance("SHA-256")
    private var count = 0L

    /** Adds the effects that the controller [member] returned for one input at the time [now]. */
    fun record(now: Micros, member: String, effects: List<Effect>) {
        for (effect in effects) {
            count++
            add(now.value)
            add(member.encodeToByteArray())
            add(effect)
        }
    }

    private fun add(effect: Effect) {
        when (effect) {
            is Effect.Respond -> {
                add(effect.id)
                add(effect.status.toLong())
                if (effect.status < FIRST_ERROR_STATUS) add(effect.body)
            }
            is Effect.SendRequest -> {
                add(effect.id)
                add("${effect.method} ${effect.path}".encodeToByteArray())
                add(effect.body)
                add(effect.timeout.value)
            }
            is Effect.Compute -> add(effect.id)
        }
    }

    private fun add(bytes: ByteArray) {
        add(bytes.size.toLong())
        hash.update(bytes)
    }

    private fun add(number: Long) =
        hash.update(ByteBuffer.allocate(Long.SIZE_BYTES).putLong(number).array())

    /** Ends the digest and returns its line in the file; nothing may be recorded afterwards. */
    private fun finish() = "$count ${hash.digest().toHexString()}"

    companion object {
        /** Answers with this status or a higher one explain an error in a text for people. */
        private const val FIRST_ERROR_STATUS = 400

        private val digests = ArrayList<EffectDigest>()

        /**
         * The digest of a new cluster, or null unless the system property `wardmux.effects` names
         * the file to which all digests are written when the process exits.
         */
        fun start(): EffectDigest? {
            val path = System.getProperty("wardmux.effects") ?: return null
            if (digests.isEmpty()) {
                Runtime.getRuntime().addShutdownHook(Thread { write(File(path)) })
            }
            return EffectDigest().also { digests += it }
        }

        /**
         * Writes one line per cluster. The lines are sorted because the order in which tests run
         * depends on their names.
         */
        private fun write(file: File) =
            file.writeText(digests.map { it.finish() }.sorted().joinToString("\n", postfix = "\n"))
    }
}
