package wardmux.model

/** The machine types that the cloud offers, as this controller last read them. */
interface MachineTypes {
    /** All types, or null until they have been read for the first time. */
    val types: List<MachineType>?

    /** The type named [label], or null if there is none. */
    fun byLabel(label: String): MachineType? = types?.firstOrNull { it.label == label }
}
