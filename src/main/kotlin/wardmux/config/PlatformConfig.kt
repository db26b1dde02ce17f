package wardmux.config

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

/** The file that the platform hands over. Fields that are not named here are ignored. */
@Serializable
data class PlatformConfig(
    @SerialName("member") val member: String,
    @SerialName("site") val site: String,
    @SerialName("api_addr") val apiAddress: String,
    @SerialName("peer_bind") val peerAddress: String,
    @SerialName("siblings") val peers: List<PeerConfig> = emptyList(),
    @SerialName("services") val services: ServiceAddresses,
    @SerialName("facts") val deployment: DeploymentConfig,
)

/** Another controller, and the address of its peer port. */
@Serializable
data class PeerConfig(
    @SerialName("member") val member: String,
    @SerialName("site") val site: String = "",
    @SerialName("addr") val address: String,
)

/** The addresses of the services that a controller calls. */
@Serializable
data class ServiceAddresses(
    @SerialName("cloud") val cloud: String,
    @SerialName("state") val state: String,
)

/** What holds at this deployment: its teams, zones, services and limits. */
@Serializable
data class DeploymentConfig(
    @SerialName("nodes") val nodes: Int,
    @SerialName("zones") val zones: List<String>,
    @SerialName("clock_error_ms") val clockErrorMs: Double = 0.0,
    @SerialName("teams") val teams: List<TeamQuota>,
    @SerialName("objectives") val objectives: List<ServiceLevelObjective> = emptyList(),
    @SerialName("workers") val workers: WorkerTiming,
    @SerialName("state") val state: StoreLimits,
    @SerialName("cloud") val cloud: CloudLimits,
    @SerialName("limits") val limits: ProcessLimits,
)

/** A team: its guaranteed share of the cluster and its cap. */
@Serializable
data class TeamQuota(
    @SerialName("name") val name: String,
    @SerialName("cpus") val cpus: Double,
    @SerialName("cpus_max") val cpusMax: Double,
    @SerialName("gpus") val gpus: Double = 0.0,
    @SerialName("gpus_max") val gpusMax: Double = 0.0,
)

/** An aim of the users, as the platform states it. */
@Serializable
data class ServiceLevelObjective(
    @SerialName("kind") val kind: String = "",
    @SerialName("class") val jobClass: String = "",
    @SerialName("within_s") val withinS: Double = 0.0,
    @SerialName("share") val share: Double = 0.0,
    @SerialName("times") val times: Double = 1.0,
)

/** The timing of the workers, in seconds. */
@Serializable
data class WorkerTiming(
    @SerialName("report_s") val reportS: Double,
    @SerialName("lease_s") val leaseS: Double,
    @SerialName("cancel_s") val cancelS: Double,
    /** How long a task of a gang waits for the others. */
    @SerialName("gang_wait_s") val gangWaitS: Double = 30.0,
    /** Within this the tasks of a gang notice that one is gone. */
    @SerialName("gang_peer_s") val gangPeerS: Double = 5.0,
)

/** The limits of the state service, for all controllers together. */
@Serializable
data class StoreLimits(
    @SerialName("rps") val rps: Double,
    @SerialName("write_rps") val writeRps: Double,
    @SerialName("value_kb") val valueKb: Double,
    @SerialName("txn_ops") val txnOps: Int,
    /** The limits from some moment on, of which nobody is told; null where none are to come. */
    @SerialName("next") val next: AnnouncedStoreLimits? = null,
) {
    /** The smaller of both: what holds now and what may hold at any moment. */
    val lowest: StoreLimits
        get() =
            StoreLimits(
                minOf(rps, next?.rps ?: rps),
                minOf(writeRps, next?.writeRps ?: writeRps),
                minOf(valueKb, next?.valueKb ?: valueKb),
                minOf(txnOps, next?.txnOps ?: txnOps),
            )
}

/** A limit that is not named here stays as it is. */
@Serializable
data class AnnouncedStoreLimits(
    @SerialName("rps") val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

/** The limits of the cloud service, and how old its list of machines may be. */
@Serializable
data class CloudLimits(
    @SerialName("rps") val rps: Double,
    @SerialName("list_lag_s") val listLagS: Double,
)

/** What the platform gives to the process of one controller. */
@Serializable
data class ProcessLimits(
    @SerialName("cpu") val cpu: Double = 1.0,
    @SerialName("ram_mb") val ramMb: Double = 0.0,
    @SerialName("fd_limit") val fdLimit: Int,
) {
    /** How the sockets of the process are divided. */
    val sockets: SocketBudget
        get() = SocketBudget(fdLimit)

    /** What the last reports of machines may take, so that like ones need no parsing. */
    val reportCacheBytes: Long
        get() = maxOf((ramMb * BYTES_PER_MB * REPORT_CACHE_PART).toLong(), LEAST_REPORT_CACHE)

    private companion object {
        const val BYTES_PER_MB = 1024 * 1024
        const val REPORT_CACHE_PART = 0.06
        const val LEAST_REPORT_CACHE = 8L * BYTES_PER_MB
    }
}

/** A setting is wrong, missing or unreadable; the message is one line that names it. */
class InvalidSettingsException(message: String) : Exception(message)

/** Reads the settings files and checks them. */
object SettingsFiles {
    private val PORTS = 1..65_535

    /** A submission's records and their conditions must fit into one transaction. */
    private const val LEAST_TXN_OPS = 4

    /** Below this there are no sockets left for users. */
    private const val LEAST_FD_LIMIT = 32

    /**
     * The settings of the platform in [file]; throws [InvalidSettingsException] if they are wrong.
     */
    fun platform(file: File): PlatformConfig {
        val settings =
            parse(file) { text ->
                Toml(TomlInputConfig(ignoreUnknownNames = true))
                    .decodeFromString(PlatformConfig.serializer(), text)
            }
        check(settings, file)
        return settings
    }

    /** The operators' settings in [file], or the defaults without one. */
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

    /** The address that HOST:PORT stands for, unresolved names included; null if it is none. */
    fun address(text: String): InetSocketAddress? {
        val colon = text.lastIndexOf(':')
        val port = text.substring(colon + 1).toIntOrNull() ?: return null
        if (colon <= 0 || port !in PORTS) return null
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

    /** Each address with the name of its field. */
    private fun addresses(s: PlatformConfig): List<Pair<String, String>> =
        listOf("api_addr" to s.apiAddress, "peer_bind" to s.peerAddress) +
            listOf("services.cloud" to s.services.cloud, "services.state" to s.services.state) +
            s.peers.map { "siblings.addr" to it.address }

    private fun check(s: PlatformConfig, file: File) {
        fun need(holds: Boolean, field: String, what: String) {
            if (!holds) throw InvalidSettingsException("${file.name}: $field $what")
        }
        fun positive(value: Double, field: String) =
            need(value.isFinite() && value > 0, field, "must be a number above 0, but is $value")

        need(s.member.isNotBlank(), "member", "must not be empty")
        for ((field, text) in addresses(s)) {
            need(address(text) != null, field, "must be HOST:PORT, but is '$text'")
        }
        need(s.deployment.nodes > 0, "facts.nodes", "must be above 0, but is ${s.deployment.nodes}")
        need(s.deployment.zones.isNotEmpty(), "facts.zones", "must name a zone")
        for (team in s.deployment.teams) {
            need(team.cpus >= 0, "facts.teams.cpus", "must not be negative for ${team.name}")
            need(team.cpusMax >= 0, "facts.teams.cpus_max", "must not be negative for ${team.name}")
        }
        positive(s.deployment.workers.reportS, "facts.workers.report_s")
        positive(s.deployment.workers.leaseS, "facts.workers.lease_s")
        positive(s.deployment.workers.cancelS, "facts.workers.cancel_s")
        positive(s.deployment.state.rps, "facts.state.rps")
        positive(s.deployment.state.writeRps, "facts.state.write_rps")
        positive(s.deployment.state.valueKb, "facts.state.value_kb")
        need(
            s.deployment.state.txnOps >= LEAST_TXN_OPS,
            "facts.state.txn_ops",
            "must be at least 4",
        )
        s.deployment.state.next?.let { next ->
            next.rps?.let { positive(it, "facts.state.next.rps") }
            next.writeRps?.let { positive(it, "facts.state.next.write_rps") }
            next.valueKb?.let { positive(it, "facts.state.next.value_kb") }
            next.txnOps?.let {
                need(it >= LEAST_TXN_OPS, "facts.state.next.txn_ops", "must be at least 4")
            }
        }
        positive(s.deployment.cloud.rps, "facts.cloud.rps")
        need(
            s.deployment.limits.fdLimit > LEAST_FD_LIMIT,
            "facts.limits.fd_limit",
            "must be above 32",
        )
    }
}
