package wardmux.peers

import wardmux.Desk
import wardmux.Micros
import wardmux.Target
import wardmux.Token
import wardmux.millis
import wardmux.secs

/** Talk between the controllers: the leader tells who leads and how far the jobs are. */
class Peers(
    private val desk: Desk,
    private val member: String,
    private val siblings: List<String>,
) {
    private var beatAt = Micros.ZERO
    private val busy = HashSet<String>()
    private var progress = emptyMap<String, Progress>()
    private var progressAt = Micros.LONG_AGO

    /** The leader's counts for [job], if they are recent. */
    fun progressOf(job: String): Progress? =
        if (desk.now - progressAt < STALE) progress[job] else null

    fun received(beat: Beat) {
        progress = beat.progress.associateBy { it.job }
        progressAt = desk.now
    }

    fun lead(token: Token, progress: () -> List<Progress>) {
        if (desk.now < beatAt) return
        beatAt = desk.now + PERIOD
        val body = BeatCodec.encode(Beat(member, token.value, progress()))
        for (sibling in siblings) {
            if (!busy.add(sibling)) continue
            desk.send(Target.Sibling(sibling), "POST", PATH, body, TIMEOUT) { busy.remove(sibling) }
        }
    }

    companion object {
        const val PATH = "/beat"
        private val PERIOD = 1.secs
        private val STALE = 3.secs
        private val TIMEOUT = 900.millis
    }
}
