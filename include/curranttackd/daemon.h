#ifndef CURRANTTACKD_DAEMON_H
#define CURRANTTACKD_DAEMON_H

#include <pthread.h>
#include <stdatomic.h>

#include "coordination/config.h"
#include "coordination/drain.h"
#include "coordination/membership.h"
#include "curranttackd/settings.h"
#include "state/routing.h"
#include "transport/http_client.h"
#include "transport/http_server.h"
#include "transport/kv.h"
#include "transport/loop.h"
#include "transport/peer.h"

#define DM_MAX_SERVICES 64
#define DM_MAX_SHARDS 64
#define DM_MAX_LEAVING_VMS 256
#define DM_KEY_BYTES 256

struct call_table;
struct frontend;
struct members;
struct shard_host;

/**
 * DOC: What the parts of one daemon share. daemon_run.h creates them.
 */

/**
 * struct dm_service - what the daemon keeps for one service
 * @name: service name
 * @lock: guards @routing and @burn
 * @routing: routing state
 * @burn: good and bad responses per objective
 */
struct dm_service {
	char name[MB_NAME_BYTES];
	pthread_mutex_t lock;
	struct rt_service *routing;
	struct burn_counters *burn;
};

/**
 * struct daemon - one curranttackd process
 * @settings: settings from the file
 * @incarnation: wall clock at the start, so it grows with each start on a VM
 * @callers_address: bound "IP:PORT" for callers
 * @operators_address: bound "IP:PORT" for operators
 * @peers_address: bound "IP:PORT" for other daemons
 * @control_loop: loop that talks to peers, the store and workers
 * @control_http: HTTP client on @control_loop
 * @kv_ops: operations of the platform's key-value service
 * @kv: argument of @kv_ops
 * @peers: links to other daemons
 * @calls: calls to other daemons
 * @members: heartbeats and summaries
 * @frontend: loops that serve callers and operators, @frontend_count long
 * @config_lock: guards @config and the list of services; only the control
 *	loop changes these, so it reads them without the lock
 * @config: configuration in effect
 * @service: services, of which none is ever removed
 * @members_lock: guards @view
 * @view: all known daemons
 * @leaving_vm: VMs that the platform's list marks as leaving
 * @shard_host: one per shard that has ever been configured
 * @store_lease_id: this daemon's lease in the store; 0 for none
 * @store_lease_renew_at_us: when to grant or renew it next
 * @store_lease_in_flight: a grant is in flight
 * @watch_revision: store revision up to which changes have been read
 * @watch_in_flight: a watch on the configuration is in flight
 * @watch_retry_at_us: no watch before this time
 * @shutdown_started_us: when the shutdown began
 * @drain: the steps of the shutdown
 * @reload_settings: reads the settings file again on SIGHUP
 * @started_us: when the daemon was created
 * @shutting_down: SIGTERM or SIGINT has been received; GET /ready fails
 * @requests_in_flight: requests to services that are being served
 * @control_cpu_us: CPU time of the control loop
 *
 * Members without a lock belong to the control loop. Times are monotonic.
 */
struct daemon {
	struct settings *settings;
	uint64_t incarnation;
	char callers_address[MB_NAME_BYTES];
	char operators_address[MB_NAME_BYTES];
	char peers_address[MB_NAME_BYTES];
	struct loop *control_loop;
	struct http_client *control_http;
	const struct kv_ops *kv_ops;
	void *kv;
	struct peer_net *peers;
	struct call_table *calls;
	struct members *members;
	struct frontend *frontend;
	uint32_t frontend_count;
	pthread_mutex_t config_lock;
	struct cf_config *config;
	struct dm_service *service[DM_MAX_SERVICES];
	uint32_t service_count;
	pthread_mutex_t members_lock;
	struct mb_view *view;
	char leaving_vm[DM_MAX_LEAVING_VMS][MB_NAME_BYTES];
	uint32_t leaving_vm_count;
	struct shard_host *shard_host[DM_MAX_SHARDS];
	uint32_t shard_host_count;
	uint64_t store_lease_id;
	int64_t store_lease_renew_at_us;
	bool store_lease_in_flight;
	uint64_t watch_revision;
	bool watch_in_flight;
	int64_t watch_retry_at_us;
	int64_t shutdown_started_us;
	struct dr_drain drain;
	void (*reload_settings)(struct daemon *d);
	int64_t started_us;
	atomic_bool shutting_down;
	atomic_int requests_in_flight;
	atomic_int_fast64_t control_cpu_us;
};

/** dm_find_service() - a service by name, or NULL; takes config_lock */
struct dm_service *dm_find_service(struct daemon *d, const char *name);

/**
 * dm_policy() - the policy in effect
 * @d: daemon
 *
 * For the control loop, or with config_lock held.
 */
const struct po_policy *dm_policy(const struct daemon *d);

/** dm_vm_is_leaving() - whether the platform's list marks a VM as leaving */
bool dm_vm_is_leaving(const struct daemon *d, const char *vm);

/* configuration.c */

/** cw_tick() - watch the store, and fetch newer documents from peers */
void cw_tick(struct daemon *d, int64_t now_us);
/**
 * cw_apply() - apply a configuration document if it is newer
 * @d: daemon
 * @area: area of the configuration
 * @revision: its revision in the store
 * @body: JSON text
 * @body_bytes: its size
 *
 * Only on the control loop. Return: CF_OK when it was applied.
 */
enum cf_error cw_apply(struct daemon *d, enum cf_area area, uint64_t revision,
    const uint8_t *body, size_t body_bytes);
/** cw_on_config_fetch() - send a peer the documents that it lacks */
void cw_on_config_fetch(struct daemon *d, struct peer_link *link,
    const Currant__ConfigFetch *fetch);
/** cw_on_config_docs() - apply documents from a peer */
void cw_on_config_docs(struct daemon *d, const Currant__ConfigDocs *docs);
/**
 * cw_update_services() - pass endpoints, policy and slot shares to the routing
 * @d: daemon
 * @now_us: time
 */
void cw_update_services(struct daemon *d, int64_t now_us);

/* store_lease.c */

/** sl_tick() - grant or renew this daemon's lease in the store when due */
void sl_tick(struct daemon *d, int64_t now_us);

#endif
