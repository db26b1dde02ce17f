package wardmux.election

import wardmux.core.CoreContext
import wardmux.model.FencingToken
import wardmux.model.KeyVersion
import wardmux.model.LeaseId
import wardmux.model.Micros
import wardmux.serialization.lenientJson
import wardmux.store.KeyValueStore
import wardmux.store.RequestPriority
import wardmux.store.StoreResult
import wardmux.store.VersionCondition
import wardmux.store.WriteOperation

/** The result of an attempt to take the leader key. */
sealed interface CampaignResult {
    /** This controller leads as [leader]. The request for its lease was sent at [sentAt]. */
    class Won(val leader: Role.Leader, val sentAt: Micros) : CampaignResult

    /** Another controller has taken the key. */
    data object Lost : CampaignResult

    /** A request failed. This controller may nevertheless have taken the key. */
    data object Failed : CampaignResult
}

/** Takes the leader key for this process and binds it to a new lease of the key-value store. */
class LeaderCampaign(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val record: LeaderRecord,
    private val leaseDuration: Micros,
) {
    /**
     * The lease that this process was last granted and may lead with, or null if there is none. A
     * leader key that is bound to any other lease does not belong to this process.
     */
    private var grantedLease: LeaseId? = null

    /**
     * Whether this process may lead with the leader key that is bound to [lease]. It may if it
     * wrote the key and has not stepped down since.
     */
    fun isOwnLease(lease: LeaseId): Boolean = lease == grantedLease

    /**
     * Forgets the lease when this controller steps down. If the leader key still exists, this
     * process does not lead with it again, because no fencing token may lead twice.
     */
    fun forgetLease() {
        grantedLease = null
    }

    /** Requests a lease and takes the key if no controller holds it. [onResult] gets the result. */
    fun run(onResult: (CampaignResult) -> Unit) {
        val sentAt = context.now
        store.grantLease(leaseDuration) { result ->
            if (result is StoreResult.Ok) {
                val lease = result.value
                grantedLease = lease
                takeKey(lease, sentAt, onResult)
            } else {
                onResult(CampaignResult.Failed)
            }
        }
    }

    private fun takeKey(lease: LeaseId, sentAt: Micros, onResult: (CampaignResult) -> Unit) {
        val change =
            WriteOperation(
                put = LeaderElection.KEY,
                data = lenientJson.encodeToJsonElement(LeaderRecord.serializer(), record),
                lease = lease,
            )
        val absent = VersionCondition(LeaderElection.KEY, KeyVersion.ABSENT)
        store.compareAndSwap(listOf(absent), listOf(change), RequestPriority.LEASE) { written ->
            when (written) {
                is StoreResult.Ok -> {
                    val leader = Role.Leader(FencingToken(written.value.value), lease)
                    onResult(CampaignResult.Won(leader, sentAt))
                }
                is StoreResult.Conflict -> {
                    store.revokeLease(lease) {}
                    onResult(CampaignResult.Lost)
                }
                else -> onResult(CampaignResult.Failed)
            }
        }
    }
}
