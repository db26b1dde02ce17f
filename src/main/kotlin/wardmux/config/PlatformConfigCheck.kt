package wardmux.config

/** Checks the platform's configuration. Error messages name [fileName] and the field. */
internal class PlatformConfigCheck(private val fileName: String) {
    /** Throws [InvalidSettingsException] for the first field with an invalid value. */
    fun check(config: PlatformConfig) {
        require(config.member.isNotBlank(), "member", "must not be empty")
        checkAddresses(config)
        val deployment = config.deployment
        require(deployment.nodes > 0, "facts.nodes", "must be above 0, but is ${deployment.nodes}")
        require(
            deployment.zones.isNotEmpty(),
            "facts.zones",
            "must name at least one zone, but is empty",
        )
        for (team in deployment.teams) checkTeam(team)
        checkWorkers(deployment.workers)
        checkStore(deployment.state)
        requirePositive(deployment.cloud.rps, "facts.cloud.rps")
        val fdLimit = deployment.limits.fdLimit
        require(
            fdLimit > MIN_FD_LIMIT,
            "facts.limits.fd_limit",
            "must be above $MIN_FD_LIMIT, but is $fdLimit",
        )
    }

    private fun checkAddresses(config: PlatformConfig) {
        checkAddress("api_addr", config.apiAddress)
        checkAddress("peer_bind", config.peerAddress)
        checkAddress("services.cloud", config.services.cloud)
        checkAddress("services.state", config.services.state)
        for (peer in config.peers) checkAddress("siblings.addr", peer.address)
    }

    private fun checkAddress(field: String, text: String) =
        require(
            SettingsFiles.parseAddress(text) != null,
            field,
            "must be HOST:PORT, but is '$text'",
        )

    private fun checkTeam(team: TeamQuota) {
        require(
            team.cpus >= 0,
            "facts.teams.cpus",
            "must not be negative, but is ${team.cpus} for team ${team.name}",
        )
        require(
            team.cpusMax >= 0,
            "facts.teams.cpus_max",
            "must not be negative, but is ${team.cpusMax} for team ${team.name}",
        )
    }

    private fun checkWorkers(timing: WorkerTiming) {
        requirePositive(timing.heartbeatPeriodS, "facts.workers.report_s")
        requirePositive(timing.leaseS, "facts.workers.lease_s")
        requirePositive(timing.cancelS, "facts.workers.cancel_s")
    }

    private fun checkStore(limits: StoreLimits) {
        requirePositive(limits.rps, "facts.state.rps")
        requirePositive(limits.writeRps, "facts.state.write_rps")
        requirePositive(limits.valueKb, "facts.state.value_kb")
        requireTransactionSize(limits.txnOps, "facts.state.txn_ops")
        val next = limits.next ?: return
        next.rps?.let { requirePositive(it, "facts.state.next.rps") }
        next.writeRps?.let { requirePositive(it, "facts.state.next.write_rps") }
        next.valueKb?.let { requirePositive(it, "facts.state.next.value_kb") }
        next.txnOps?.let { requireTransactionSize(it, "facts.state.next.txn_ops") }
    }

    private fun requireTransactionSize(operations: Int, field: String) =
        require(
            operations >= MIN_TRANSACTION_OPERATIONS,
            field,
            "must be at least $MIN_TRANSACTION_OPERATIONS, but is $operations",
        )

    private fun requirePositive(value: Double, field: String) =
        require(value.isFinite() && value > 0, field, "must be a number above 0, but is $value")

    private fun require(isValid: Boolean, field: String, problem: String) {
        if (!isValid) throw InvalidSettingsException("$fileName: $field $problem")
    }

    private companion object {
        /**
         * The fewest operations that a transaction of the key-value store must allow. The records
         * of a submission and their conditions have to fit into one transaction.
         */
        const val MIN_TRANSACTION_OPERATIONS = 4

        /** A process with this limit of open files or a lower one has no sockets left for users. */
        const val MIN_FD_LIMIT = 32
    }
}
