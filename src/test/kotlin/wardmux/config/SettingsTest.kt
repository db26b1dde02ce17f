package wardmux.config

import java.io.File
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import org.junit.jupiter.api.io.TempDir
import wardmux.app.CdsTrainingRun

/**
 * Guards against controllers that start with settings other than the intended ones: an invalid,
 * missing or misspelt field must be rejected with one line that names it.
 */
class SettingsTest {
    @TempDir lateinit var dir: File

    /** Writes a settings file with this content. */
    private fun settingsFile(text: String) = File(dir, "settings.toml").also { it.writeText(text) }

    /** The error message of reading [text] as the platform's configuration, which must fail. */
    private fun rejectedPlatformConfig(text: String): String {
        val message =
            assertFailsWith<InvalidSettingsException> { SettingsFiles.platform(settingsFile(text)) }
                .message
        assertEquals(1, message.orEmpty().lines().size)
        return message.orEmpty()
    }

    @Test
    fun `the platform's configuration is read and its unknown fields are ignored`() {
        val settings =
            SettingsFiles.platform(settingsFile("later = 3\n" + CdsTrainingRun.SAMPLE_SETTINGS))
        assertEquals("wardbox-0", settings.member)
        assertEquals(listOf("team-0", "team-1"), settings.deployment.teams.map { it.name })
        assertEquals(48, settings.deployment.state.txnOps)
        assertEquals(listOf("wardbox-1"), settings.peers.map { it.member })
    }

    @Test
    fun `the error for a missing field names the field`() {
        assertContains(
            rejectedPlatformConfig(CdsTrainingRun.SAMPLE_SETTINGS.replace("lease_s = 16.0", "")),
            "lease_s",
        )
        assertContains(
            rejectedPlatformConfig(
                CdsTrainingRun.SAMPLE_SETTINGS.replace(Regex("member = .*wardbox-0.*"), "")
            ),
            "member",
        )
    }

    @Test
    fun `the error for an invalid value names the field`() {
        val wrong =
            mapOf(
                "rps = 150.0" to "rps = -1.0",
                "txn_ops = 48" to "txn_ops = 0",
                "lease_s = 16.0" to "lease_s = 0.0",
                "cpus_max = 96.0" to "cpus_max = -96.0",
            )
        for ((good, bad) in wrong) {
            val field = good.substringBefore(' ')
            assertContains(
                rejectedPlatformConfig(CdsTrainingRun.SAMPLE_SETTINGS.replace(good, bad)),
                field,
            )
        }
        assertContains(
            rejectedPlatformConfig(CdsTrainingRun.SAMPLE_SETTINGS.replace(":18080", "")),
            "api_addr",
        )
        assertContains(
            rejectedPlatformConfig(
                CdsTrainingRun.SAMPLE_SETTINGS.replace("txn_ops = 48", "txn_ops = \"x\"")
            ),
            "x",
        )
    }

    private val sampleWithAnnouncedLimits =
        CdsTrainingRun.SAMPLE_SETTINGS.replace(
            "txn_ops = 48",
            "txn_ops = 48\n[facts.state.next]\nwrite_rps = 18.0\nvalue_kb = 2.0\ntxn_ops = 4",
        )

    @Test
    fun `the lowest limits are the smaller of each present and announced limit`() {
        val without =
            SettingsFiles.platform(settingsFile(CdsTrainingRun.SAMPLE_SETTINGS)).deployment.state
        assertNull(without.next)
        assertEquals(without, without.lowest)
        val with = SettingsFiles.platform(settingsFile(sampleWithAnnouncedLimits)).deployment.state
        assertEquals(48, with.txnOps)
        assertEquals(StoreLimits(with.rps, 18.0, 2.0, 4), with.lowest)
        val one = with.copy(next = AnnouncedStoreLimits(rps = 9.0, txnOps = 99))
        assertEquals(without.copy(rps = 9.0), one.lowest)
        val partial = sampleWithAnnouncedLimits.replace("value_kb = 2.0\ntxn_ops = 4", "later = 1")
        val read = SettingsFiles.platform(settingsFile(partial)).deployment.state
        assertEquals(without.copy(writeRps = 18.0), read.lowest)
    }

    @Test
    fun `the error for an invalid announced limit names the field`() {
        for ((good, bad) in
            mapOf(
                "write_rps = 18.0" to "write_rps = 0.0",
                "value_kb = 2.0" to "value_kb = -2.0",
                "txn_ops = 4\n" to "txn_ops = 3\n",
                "write_rps = 18.0" to "rps = 0.0",
            )) {
            val wrong = (sampleWithAnnouncedLimits + "\n").replace(good, bad)
            assertContains(
                rejectedPlatformConfig(wrong),
                "facts.state.next.${bad.substringBefore(' ')}",
            )
        }
    }

    @Test
    fun `the error for an unreadable file names the file`() {
        val missing = File(dir, "none.toml")
        val message =
            assertFailsWith<InvalidSettingsException> { SettingsFiles.platform(missing) }.message
        assertContains(message.orEmpty(), "none.toml: cannot be read")
    }

    @Test
    fun `operators' settings have defaults and ranges, and unknown fields are rejected`() {
        assertEquals(OperatorSettings(), SettingsFiles.operators(null))
        assertEquals(
            60.0,
            SettingsFiles.operators(settingsFile("half_life_s = 60.0")).usageHalfLifeS,
        )
        val range =
            assertFailsWith<InvalidSettingsException> {
                SettingsFiles.operators(settingsFile("norm_s = 0.0"))
            }
        assertContains(range.message.orEmpty(), "norm_s must be from 1.0")
        val unknown =
            assertFailsWith<InvalidSettingsException> {
                SettingsFiles.operators(settingsFile("nrom_s = 5.0"))
            }
        assertContains(unknown.message.orEmpty(), "nrom_s")
    }

    /** Reads [text] as the operators' settings. */
    private fun operatorSettings(text: String) = SettingsFiles.operators(settingsFile(text))

    /** The error message of reading [text] as the operators' settings, which must fail. */
    private fun rejectedOperatorSettings(text: String): String {
        val message =
            assertFailsWith<InvalidSettingsException> { operatorSettings(text) }.message.orEmpty()
        assertEquals(1, message.lines().size)
        return message
    }

    @Test
    fun `drains are off without their section and on with the settings file for deployments`() {
        assertNull(operatorSettings("norm_s = 300.0").drain)
        val drain = assertNotNull(SettingsFiles.operators(File("deploy/drain.toml")).drain)
        assertEquals("127.0.0.1:7070", drain.listenerAddress)
        assertEquals(4, drain.budgetOf("anyone").maxDisrupted)
    }

    @Test
    fun `a team's budget takes unset fields from the default budget`() {
        val drain =
            assertNotNull(
                operatorSettings(
                        """
                        [drain]
                        [drain.budget]
                        most_disrupted = 3
                        least_replicas = 2
                        [[drain.teams]]
                        team = "team-1"
                        most_disrupted = 5
                        [[drain.windows]]
                        rule = "FREQ=DAILY"
                        opens = "22:00"
                        length_s = 60.0
                        """
                            .trimIndent()
                    )
                    .drain
            )
        assertEquals(BudgetSettings(5, minReplicas = 2), drain.budgetOf("team-1"))
        assertEquals(BudgetSettings(3, minReplicas = 2), drain.budgetOf("team-0"))
        assertNull(drain.listenerAddress)
        assertNull(drain.unknownTeam(setOf("team-1")))
        assertContains(drain.unknownTeam(setOf("team-0")).orEmpty(), "drain.teams.team")
    }

    @Test
    fun `the error for an invalid setting of drains names the field`() {
        val wrong =
            mapOf(
                "drain.address" to "address = \"nowhere\"",
                "drain.time_zone" to "time_zone = \"Mars/Base\"",
                "drain.holidays" to "holidays = \"atlantis\"",
                "drain.solver_share" to "solver_share = 2.0",
                "drain.budget.most_disrupted" to "[drain.budget]\nmost_disrupted = -1",
                "drain.budget.least_replicas" to "[drain.budget]\nleast_replicas = -1",
                "drain.teams.team-0.step_pause_s" to
                    "[[drain.teams]]\nteam = \"team-0\"\nstep_pause_s = -1.0",
                "drain.windows.rule" to
                    "[[drain.windows]]\nrule = \"X\"\nopens = \"22:00\"\nlength_s = 9.0",
            )
        for ((field, text) in wrong) assertContains(
            rejectedOperatorSettings("[drain]\n$text"),
            field,
        )
        assertContains(rejectedOperatorSettings("[drain]\nadress = \":1\""), "adress")
    }
}
