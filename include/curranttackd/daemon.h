#ifndef CURRANTTACKD_DAEMON_H
#define CURRANTTACKD_DAEMON_H

#include <pthread.h>
#include <stdatomic.h>

#include "coordination/config.h"
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
#define DM_MAX_LEAVING 256
#define DM_KEY_BYTES 256

struct calls;
struct front;
struct members;
struct shard_host;

/**
 * struct dm_service - requests of one service
 * @lock: guards @rt
 * @rt: routing state
 * @burn: good and bad answers over time, for the burn report
 */
struct dm_service {
	char name[MB_NAME_BYTES];
	pthread_mutex_t lock;
	struct rt_service *rt;
	struct burn *burn;
};

/**
 * struct daemon - one curranttackd
 * @control: loop of everything between daemons, store and workers
 * @front: loops that serve callers
 * @config_lock: guards @config and the list of services
 * @members_lock: guards @view
 * @leaving: SIGTERM has come; not ready for callers
 * @in_flight: requests of callers that are being served
 * @control_cpu_us: processor time of the control loop
 * @reload: takes over settings that can change
 */
struct daemon {
	struct settings *settings;
	uint64_t incarnation;
	char callers_address[MB_NAME_BYTES];
	char operators_address[MB_NAME_BYTES];
	char peers_address[MB_NAME_BYTES];
	struct loop *control;
	struct http_client *control_http;
	const struct kv_ops *kv_ops;
	void *kv;
	struct peer_net *peers;
	struct calls *calls;
	struct members *members;
	struct front *front;
	uint32_t front_count;
	pthread_mutex_t config_lock;
	struct cf_config *config;
	struct dm_service *service[DM_MAX_SERVICES];
	uint32_t service_count;
	pthread_mutex_t members_lock;
	struct mb_view *view;
	char leaving_vm[DM_MAX_LEAVING][MB_NAME_BYTES];
	uint32_t leaving_vm_count;
	struct shard_host *host[DM_MAX_SHARDS];
	uint32_t host_count;
	uint64_t store_lease;
	int64_t store_lease_renew_us;
	bool store_lease_busy;
	uint64_t watch_revision;
	bool watching;
	int64_t watch_retry_us;
	int64_t leave_at_us;
	int64_t drain_deadline_us;
	void (*reload)(struct daemon *d);
	int64_t started_us;
	atomic_bool leaving;
	atomic_int in_flight;
	atomic_int_fast64_t control_cpu_us;
};

/** dm_create() - a daemon that listens but does not run yet */
struct daemon *dm_create(TALLOC_CTX *ctx, struct settings *s);
/** dm_run() - serve until told to leave */
int dm_run(struct daemon *d);
/** dm_leave() - begin a planned exit; for the control loop */
void dm_leave(struct daemon *d);

/** dm_find_service() - by name, or NULL; takes config_lock */
struct dm_service *dm_find_service(struct daemon *d, const char *name);

/** dm_policy() - the policy in force; config_lock must be held */
const struct po_policy *dm_policy(const struct daemon *d);

/* configuration.c */

/** cw_tick() - watch the store and fetch what peers are ahead by */
void cw_tick(struct daemon *d, int64_t now_us);
/** cw_apply() - put a document in force if newer; control loop */
enum cf_error cw_apply(struct daemon *d, enum cf_area area, uint64_t revision,
    const uint8_t *body, size_t body_bytes);
/** cw_on_fetch() - answer a peer that is behind */
void cw_on_fetch(struct daemon *d, struct peer_link *link,
    const Currant__ConfigFetch *fetch);
/** cw_on_docs() - documents from a peer */
void cw_on_docs(struct daemon *d, const Currant__ConfigDocs *docs);
/** cw_update_services() - bring routing in line with members and config */
void cw_update_services(struct daemon *d, int64_t now_us);

/* store_lease.c */

/** sl_tick() - keep this daemon's lease in the store */
void sl_tick(struct daemon *d, int64_t now_us);

#endif
