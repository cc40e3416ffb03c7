#ifndef CURRANTTACKD_CELL_SETTINGS_H
#define CURRANTTACKD_CELL_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <talloc.h>

/**
 * struct cell_settings - checked settings of one daemon
 * @vm: id of this VM
 * @domain: its failure domain
 * @cpu_mcpu: share of a core that the daemon may use, in thousandths
 * @link_kbps: rate of the VM's own link
 * @callers_address: "IP:PORT" to listen on for callers
 * @ready_address: "IP:PORT" to listen on for the load balancer's readiness
 *	checks
 * @metrics_address: "IP:PORT" to listen on for metrics, or NULL
 * @peers_address: "IP:PORT" to listen on for other daemons
 * @store_address: "IP:PORT" of the platform's key-value store
 * @advice_address: "IP:PORT" of the platform's advice service, or NULL
 * @duties_address: "IP:PORT" of the platform's VM maintenance service, or NULL
 * @duty_turn_us: pause between maintenance requests of different owners for
 *	the same VM
 * @maintenance_down_us: how long a VM stays down for maintenance
 * @max_lease_ms: longest lease that workers grant
 * @grace_us: time from the request to stop until the process is killed
 * @report_interval_us: how often workers write their entries
 * @report_delay_us: how long after that starts may still rely on the entry
 *	before
 * @keep_ended_us: how long ended jobs are kept for callers to query
 * @relay_above_workers: pools with more workers than this use relays
 * @small_cell_daemons: in cells of up to this many daemons, all are told of
 *	each job's end; in larger ones they ask the pool's owner when a caller
 *	queries the job
 * @max_connections: limit of open connections from callers
 * @max_value_bytes: largest value that the store takes
 * @log_level: least severe level that is logged
 */
struct cell_settings {
	char *vm;
	char *domain;
	uint32_t cpu_mcpu;
	uint32_t link_kbps;
	char *callers_address;
	char *ready_address;
	char *metrics_address;
	char *peers_address;
	char *store_address;
	char *advice_address;
	char *duties_address;
	int64_t duty_turn_us;
	int64_t maintenance_down_us;
	uint32_t max_lease_ms;
	int64_t grace_us;
	int64_t report_interval_us;
	int64_t report_delay_us;
	int64_t keep_ended_us;
	uint32_t relay_above_workers;
	uint32_t small_cell_daemons;
	uint32_t max_connections;
	uint32_t max_value_bytes;
	char *log_level;
};

/** cell_settings_present() - whether a settings file has a [cell] section */
bool cell_settings_present(const char *path);

/**
 * cell_settings_load() - read and check a settings file
 * @ctx: talloc parent of the result
 * @path: TOML file
 * @error: set to "FILE:LINE: FIELD: reason" on failure; SE_ERROR_BYTES long
 *
 * Return: settings, or NULL when the file can't be read or is invalid.
 */
struct cell_settings *cell_settings_load(
    TALLOC_CTX *ctx, const char *path, char *error);

#endif
