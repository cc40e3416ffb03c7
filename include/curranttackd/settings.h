#ifndef CURRANTTACKD_SETTINGS_H
#define CURRANTTACKD_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

#define SE_ERROR_BYTES 384
#define SE_MAX_MODULES 32

/**
 * struct se_module_level - log level of one module
 */
struct se_module_level {
	char *module;
	char *level;
};

/**
 * struct settings - checked settings of a daemon
 * @vm: this VM
 * @domain: its failure domain
 * @listen_callers: "IP:PORT" for callers
 * @listen_operators: "IP:PORT" for operators
 * @listen_peers: "IP:PORT" for other daemons
 * @advertise_peers: address that others are told, or NULL for the bound one
 * @store_address: the platform's key-value service
 * @vms_address: the platform's VM list
 * @peer_token: shared by all daemons
 * @caller_token: bearer token of callers; NULL leaves the side open
 * @operator_token: bearer token of operators; NULL leaves the side open
 * @choose_two: choose endpoints by two random ones, for comparison
 * @commit_per_s: log writes a second that a shard may spend in the long run
 */
struct settings {
	char *vm;
	char *domain;
	char *listen_callers;
	char *listen_operators;
	char *listen_peers;
	char *advertise_peers;
	char *store_address;
	char *vms_address;
	char *peer_token;
	char *caller_token;
	char *operator_token;
	int64_t heartbeat_us;
	int64_t summary_us;
	int64_t member_timeout_us;
	int64_t remote_timeout_us;
	int64_t store_timeout_us;
	int64_t store_lease_us;
	int64_t worker_lease_us;
	int64_t worker_renew_us;
	int64_t vms_poll_us;
	int64_t drain_us;
	int64_t keep_ended_us;
	int64_t keep_claims_us;
	uint32_t commit_per_s;
	uint32_t commit_burst;
	uint32_t snapshot_every;
	bool choose_two;
	uint32_t front_threads;
	uint32_t max_connections;
	uint32_t idle_s;
	size_t max_body_bytes;
	size_t max_claim_bytes;
	char *log_level;
	struct se_module_level module_level[SE_MAX_MODULES];
	uint32_t module_level_count;
};

struct toml_doc;

/**
 * se_format_error() - put file and line before a reason that names a field
 * @doc: the file
 * @path: its name
 * @reason: "FIELD: reason"
 * @error: result; SE_ERROR_BYTES long
 */
void se_format_error(const struct toml_doc *doc, const char *path,
    const char *reason, char *error);

/**
 * se_load() - read and check a settings file
 * @ctx: talloc parent of the result
 * @path: TOML file
 * @error: "FILE:LINE: FIELD: reason"; SE_ERROR_BYTES long
 *
 * Return: settings or NULL.
 */
struct settings *se_load(TALLOC_CTX *ctx, const char *path, char *error);

#endif
