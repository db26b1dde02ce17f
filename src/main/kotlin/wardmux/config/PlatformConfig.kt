package wardmux.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The platform's configuration file for one controller. Unknown fields in the file are ignored. */
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

/** Another controller, and the address of its listener for peers (HOST:PORT). */
@Serializable
data class PeerConfig(
    @SerialName("member") val member: String,
    @SerialName("site") val site: String = "",
    @SerialName("addr") val address: String,
)

/** The addresses (HOST:PORT) of the services that a controller calls. */
@Serializable
data class ServiceAddresses(
    @SerialName("cloud") val cloud: String,
    @SerialName("state") val state: String,
)
