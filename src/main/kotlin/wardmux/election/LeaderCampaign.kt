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

/** What came of an attempt to take the leader key. */
sealed interface CampaignResult {
    /** This controller leads as [leader]; its lease was asked for at [sentAt]. */
    class Won(val leader: Role.Leader, val sentAt: Micros) : CampaignResult

    /** Another controller has taken the key. */
    data object Lost : CampaignResult

    /** A request failed; the key may have been taken. */
    data object Failed : CampaignResult
}

/** Takes the leader key for this process, bound to a lease of its own. */
class LeaderCampaign(
    private val context: CoreContext,
    private val store: KeyValueStore,
    private val record: LeaderRecord,
    private val leaseDuration: Micros,
) {
    /** The lease that this process was last granted and may lead with; any other is not its own. */
    private var grantedLease: LeaseId? = null

    /** The key bound to [lease] was written by this process, and it has not led with it yet. */
    fun isOwnLease(lease: LeaseId): Boolean = lease == grantedLease

    /** Should the key still stand, it is not taken again: no fencing token may lead twice. */
    fun forgetLease() {
        grantedLease = null
    }

    /** Asks for a lease and takes the key if nobody has it; [onResult] gets the result. */
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
