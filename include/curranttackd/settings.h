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
 * @module: module name as in log lines
 * @level: "error", "warn", "info" or "debug"
 */
struct se_module_level {
	char *module;
	char *level;
};

/**
 * struct settings - validated settings of a daemon
 * @vm: id of this VM
 * @domain: failure domain of this VM
 * @listen_callers: "IP:PORT" for callers
 * @listen_operators: "IP:PORT" for operators
 * @listen_peers: "IP:PORT" for other daemons
 * @advertise_peers: address that peers are told, or NULL for the bound one
 * @store_address: "IP:PORT" of the platform's key-value service
 * @vm_list_address: "IP:PORT" of the platform's VM list
 * @peer_token: secret that daemons present to each other
 * @caller_token: bearer token of callers; NULL allows any caller
 * @operator_token: bearer token of operators; NULL allows any operator
 * @heartbeat_interval_us: between heartbeats within a failure domain
 * @summary_interval_us: between summaries to other failure domains
 * @member_timeout_us: silence after which a daemon of this domain is dead
 * @remote_member_timeout_us: the same for a daemon of another domain
 * @store_timeout_us: a store call without a response by then has failed
 * @store_lease_ttl_us: time to live of this daemon's lease in the store
 * @worker_lease_ttl_us: time to live of a worker's lease
 * @worker_renew_interval_us: between renewals of a worker's lease
 * @vm_list_poll_interval_us: between reads of the VM list
 * @drain_timeout_us: a shutdown stops waiting for requests and shards by then
 * @ended_job_retention_us: how long an ended job can be queried
 * @claim_retention_us: how long an idempotency key is remembered
 * @commits_per_s: store writes a second that a shard may average
 * @commit_burst: store writes that a shard may make at once
 * @snapshot_interval_entries: log entries after which a snapshot is due
 * @power_of_two_choices: choose the better of two random endpoints in place
 *	of the least loaded; a baseline for comparisons
 * @frontend_threads: number of frontends
 * @max_connections: connections of each HTTP server of a frontend
 * @idle_timeout_s: after which an idle connection is closed
 * @max_body_bytes: largest accepted request body
 * @max_claim_bytes: memory for the claims of one shard
 * @log_level: default log level
 * @module_level: log levels of single modules, @module_level_count long
 */
struct settings {
	char *vm;
	char *domain;
	char *listen_callers;
	char *listen_operators;
	char *listen_peers;
	char *advertise_peers;
	char *store_address;
	char *vm_list_address;
	char *peer_token;
	char *caller_token;
	char *operator_token;
	int64_t heartbeat_interval_us;
	int64_t summary_interval_us;
	int64_t member_timeout_us;
	int64_t remote_member_timeout_us;
	int64_t store_timeout_us;
	int64_t store_lease_ttl_us;
	int64_t worker_lease_ttl_us;
	int64_t worker_renew_interval_us;
	int64_t vm_list_poll_interval_us;
	int64_t drain_timeout_us;
	int64_t ended_job_retention_us;
	int64_t claim_retention_us;
	uint32_t commits_per_s;
	uint32_t commit_burst;
	uint32_t snapshot_interval_entries;
	bool power_of_two_choices;
	uint32_t frontend_threads;
	uint32_t max_connections;
	uint32_t idle_timeout_s;
	size_t max_body_bytes;
	size_t max_claim_bytes;
	char *log_level;
	struct se_module_level module_level[SE_MAX_MODULES];
	uint32_t module_level_count;
};

struct toml_doc;

/**
 * se_format_error() - prefix a reason with the file and line of its field
 * @doc: parsed file
 * @path: file name
 * @reason: "FIELD: reason"
 * @error: result; SE_ERROR_BYTES long
 */
void se_format_error(const struct toml_doc *doc, const char *path,
    const char *reason, char *error);

/**
 * se_load() - read and validate a settings file
 * @ctx: talloc parent of the result
 * @path: TOML file
 * @error: "FILE:LINE: FIELD: reason"; SE_ERROR_BYTES long
 *
 * Return: settings, or NULL with @error filled in.
 */
struct settings *se_load(TALLOC_CTX *ctx, const char *path, char *error);

#endif
