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
    private var granted: LeaseId? = null

    /** The key bound to [lease] was written by this process, and it has not led with it yet. */
    fun isOwn(lease: LeaseId): Boolean = lease == granted

    /** Should the key still stand, it is not taken again: no fencing token may lead twice. */
    fun forgetLease() {
        granted = null
    }

    /** Asks for a lease and takes the key if nobody has it; [then] gets the result. */
    fun run(then: (CampaignResult) -> Unit) {
        val sentAt = context.now
        store.grantLease(leaseDuration) { result ->
            if (result is StoreResult.Ok) {
                val lease = result.value
                granted = lease
                takeKey(lease, sentAt, then)
            } else {
                then(CampaignResult.Failed)
            }
        }
    }

    private fun takeKey(lease: LeaseId, sentAt: Micros, then: (CampaignResult) -> Unit) {
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
                    then(CampaignResult.Won(leader, sentAt))
                }
                is StoreResult.Conflict -> {
                    store.revokeLease(lease) {}
                    then(CampaignResult.Lost)
                }
                else -> then(CampaignResult.Failed)
            }
        }
    }
}
