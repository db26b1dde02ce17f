package wardmux.app

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import wardmux.config.DrainSettings
import wardmux.config.OperatorSettings
import wardmux.config.SettingsFiles
import wardmux.config.TeamBudgetSettings
import wardmux.maintenance.WindowSettings

/**
 * Guards against a settings key that is renamed, moved or read into the wrong field: operators keep
 * their settings files over many versions. The sample file sets every key to a value that differs
 * from its default. It is never regenerated, since it stands for the files that operators have.
 */
class SettingsKeysTest {
    private val settings by lazy { SettingsFiles.operators(File(SAMPLE_FILE)) }
    private val drain by lazy { assertNotNull(settings.drain) }

    @Test
    fun `each setting of a controller is read into its own field`() {
        assertEquals(601.0, settings.usageHalfLifeS)
        assertEquals(602.0, settings.usageNormS)
        assertEquals(4.5, settings.leaderLeaseS)
        assertEquals(0.5, settings.writePeriodS)
        assertEquals(1.5, settings.leaseMarginS)
        assertEquals(3.5, settings.unresponsiveAfterHeartbeats)
        assertEquals(5.5, settings.lostAfterHeartbeats)
        assertEquals(0.75, settings.idleKeepBoots)
        assertEquals(0.25, settings.spareShare)
        assertEquals(2.75, settings.preemptAfterS)
        assertEquals(41.0, settings.reclaimAfterS)
        assertEquals(16.0, settings.noCapacityBackoffS)
        assertEquals(121.0, settings.maxWaitS)
        assertEquals(501.0, settings.heartbeatsPerCore)
    }

    @Test
    fun `each setting of drains is read into its own field`() {
        assertEquals("127.0.0.1:7171", drain.address)
        assertEquals("Europe/Budapest", drain.timeZone)
        assertEquals("hu", drain.holidays)
        assertEquals(0.03, drain.solverShare)
        assertEquals(0.4, drain.solverTimeS)
        assertEquals(6, drain.budget.maxDisrupted)
        assertEquals(0.7, drain.budget.maxDisruptedShare)
        assertEquals(8, drain.budget.minReplicas)
        assertEquals(39.0, drain.budget.stepPauseS)
    }

    @Test
    fun `each setting of a team's budget and of a window is read into its own field`() {
        val team = drain.teams.single()
        assertEquals("team-1", team.team)
        assertEquals(11, team.maxDisrupted)
        assertEquals(0.12, team.maxDisruptedShare)
        assertEquals(13, team.minReplicas)
        assertEquals(14.5, team.stepPauseS)
        val window = drain.windows.single()
        assertEquals("FREQ=WEEKLY;BYDAY=TU", window.rule)
        assertEquals("22:15", window.opens)
        assertEquals(3601.0, window.lengthS)
        assertEquals("2026-02-03", window.from)
    }

    @Test
    fun `the settings have exactly the listed keys`() =
        assertEquals(KEYS, keyPaths(OperatorSettings.serializer().descriptor))

    @Test
    fun `the sample file sets every key to a value other than its default`() {
        val defaults =
            DrainSettings(
                teams = listOf(TeamBudgetSettings("")),
                windows = listOf(WindowSettings("", "", 0.0)),
            )
        val defaultValues = leafValues(toJson(OperatorSettings(drain = defaults)))
        val setValues = leafValues(toJson(settings))
        assertEquals(KEYS, setValues.keys.toList())
        for ((key, value) in setValues) assertNotEquals(defaultValues.getValue(key), value, key)
    }

    private fun toJson(settings: OperatorSettings): JsonElement =
        json.encodeToJsonElement(OperatorSettings.serializer(), settings)

    @OptIn(ExperimentalSerializationApi::class)
    /** The paths of all keys below [descriptor], with `[]` for the elements of a list. */
    private fun keyPaths(descriptor: SerialDescriptor, path: String = ""): List<String> =
        when (descriptor.kind) {
            StructureKind.LIST -> keyPaths(descriptor.getElementDescriptor(0), "$path[]")
            StructureKind.CLASS ->
                List(descriptor.elementsCount) {
                        val name = descriptor.getElementName(it)
                        keyPaths(descriptor.getElementDescriptor(it), "$path.$name")
                    }
                    .flatten()
            else -> listOf(path.removePrefix("."))
        }

    /** The values in [tree] by the paths of their keys; each list must have one element. */
    private fun leafValues(tree: JsonElement, path: String = ""): Map<String, JsonElement> =
        when (tree) {
            is JsonArray -> leafValues(tree.single(), "$path[]")
            is JsonObject ->
                tree.entries.fold(emptyMap()) { all, (name, value) ->
                    all + leafValues(value, "$path.$name")
                }
            else -> mapOf(path.removePrefix(".") to tree)
        }

    private companion object {
        val json = Json { encodeDefaults = true }

        const val SAMPLE_FILE =
            "src/test/resources/formats/${FormatSamples.ADDITIONS}/settings.toml"

        val KEYS =
            listOf(
                "half_life_s",
                "norm_s",
                "leader_lease_s",
                "write_period_s",
                "lease_margin_s",
                "quiet_reports",
                "lost_reports",
                "idle_keep_boots",
                "spare_share",
                "preempt_after_s",
                "call_back_after_s",
                "refused_pause_s",
                "longest_wait_s",
                "reports_per_core",
                "drain.address",
                "drain.time_zone",
                "drain.holidays",
                "drain.solver_share",
                "drain.solver_time_s",
                "drain.budget.most_disrupted",
                "drain.budget.most_disrupted_share",
                "drain.budget.least_replicas",
                "drain.budget.step_pause_s",
                "drain.teams[].team",
                "drain.teams[].most_disrupted",
                "drain.teams[].most_disrupted_share",
                "drain.teams[].least_replicas",
                "drain.teams[].step_pause_s",
                "drain.windows[].rule",
                "drain.windows[].opens",
                "drain.windows[].length_s",
                "drain.windows[].from",
            )
    }
}
