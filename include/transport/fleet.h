#ifndef TRANSPORT_FLEET_H
#define TRANSPORT_FLEET_H

#include "state/maintenance.h"
#include "state/pool.h"
#include "state/queues.h"
#include "transport/http_client.h"
#include "transport/key_space.h"

/**
 * DOC: The interface between the scheduler and the fleet that it runs on.
 *
 * Tables of functions: orders to workers, the advice service, maintenance of
 * VMs, decoding of entries that others write to the key space, and the formats
 * of callers' requests. Every asynchronous call ends with exactly one callback,
 * on the loop that made it; that of a renewal is called before, once, when the
 * reply is overdue.
 */

/**
 * typedef fl_order_fn - result of an order
 * @result: whether the worker accepted it
 * @clock_ms: the worker's clock, or 0 when unknown
 * @arg: the caller's argument
 */
typedef void (*fl_order_fn)(
    enum wp_order_result result, int64_t clock_ms, void *arg);

/**
 * typedef fl_renewal_fn - result of a renewal
 * @result: whether the worker accepted it; WP_OVERDUE when there is no reply
 *	yet: the only result that another one follows
 * @reply: the worker's reply; NULL unless accepted
 * @arg: the caller's argument
 */
typedef void (*fl_renewal_fn)(enum wp_order_result result,
    const struct wp_renewal_reply *reply, void *arg);

/**
 * struct fl_worker_ops - orders to workers
 * @order: send an order under a fencing token
 * @renew: renew leases, acknowledge ended runs and fetch the worker's lists
 */
struct fl_worker_ops {
	void (*order)(void *fleet, const struct wp_order *o, uint64_t fence,
	    fl_order_fn done, void *arg);
	void (*renew)(void *fleet, const struct wp_worker *w,
	    const struct wp_renewal *renewal, uint64_t fence,
	    fl_renewal_fn done, void *arg);
};

/**
 * typedef fl_advice_fn - response of the advice service
 * @ok: whether the service gave a valid response in time
 * @approved: approved workers, @count of them
 * @arg: the caller's argument
 */
typedef void (*fl_advice_fn)(
    bool ok, const struct wp_approval *approved, uint32_t count, void *arg);

/**
 * struct fl_advice_ops - the advice service
 * @request: ask on which workers a step may start
 */
struct fl_advice_ops {
	void (*request)(void *fleet, const struct wp_advice_request *req,
	    int64_t deadline_us, fl_advice_fn done, void *arg);
};

/** enum fl_key_kind - what a key that the scheduler does not write holds */
enum fl_key_kind {
	FL_KEY_OTHER,
	FL_KEY_WORKER,
	FL_KEY_CONFIG,
	FL_KEY_WAVE,
};

/**
 * struct fl_entry_ops - decodes entries that others write to the key space
 * @orders_prefix: prefix of the keys that hold operators' orders
 * @workers_prefix: prefix of the keys that hold workers' entries
 * @kind: what a key holds; sets @id for a worker or a maintenance wave
 * @worker: decode a worker's entry and name its @pool; false with @error when it
 *	names no worker to use
 * @config: decode a configuration; NULL with @error when it can't be read
 * @wave: decode a maintenance wave; NULL with @error when it can't be read
 * @wave_status: key and text that show operators the progress of a wave
 */
struct fl_entry_ops {
	const char *orders_prefix;
	const char *workers_prefix;
	enum fl_key_kind (*kind)(const char *key, const char **id);
	bool (*worker)(TALLOC_CTX *ctx, const char *id, const uint8_t *value,
	    size_t bytes, struct wp_worker_info *info, const char **pool,
	    char *error, size_t error_bytes);
	struct qs_config *(*config)(TALLOC_CTX *ctx, const uint8_t *value,
	    size_t bytes, char *error, size_t error_bytes);
	struct mw_wave *(*wave)(TALLOC_CTX *ctx, const uint8_t *value,
	    size_t bytes, char *error, size_t error_bytes);
	void (*wave_status)(TALLOC_CTX *ctx, uint64_t number, bool completed,
	    const char **key, const char **text);
};

/** typedef fl_maintenance_fn - result of an order to take a VM down */
typedef void (*fl_maintenance_fn)(enum mw_order_result result, void *arg);

/**
 * struct fl_maintenance_ops - orders to the platform about VMs
 * @take_down: take down a VM of a maintenance wave, under a fencing token
 */
struct fl_maintenance_ops {
	void (*take_down)(void *fleet, const char *vm, uint64_t wave,
	    const char *holder, uint64_t fence, fl_maintenance_fn done,
	    void *arg);
};

/**
 * struct fl_caller_ops - formats of callers' requests and of responses to them
 * @job: decode the body of a submission; NULL with @error
 * @state_body: response body with the state of a job
 * @waiting_body: response body with the number of waiting jobs
 * @deadline_header: request header with the caller's timeout in milliseconds
 * @ready_path: path of the platform's readiness check
 */
struct fl_caller_ops {
	struct jb_spec *(*job)(TALLOC_CTX *ctx, const char *body, size_t bytes,
	    char *error, size_t error_bytes);
	char *(*state_body)(TALLOC_CTX *ctx, enum jb_state state);
	char *(*waiting_body)(TALLOC_CTX *ctx, uint32_t waiting);
	const char *deadline_header;
	const char *ready_path;
};

/** struct fl_fleet - the tables of one fleet, and the handle that they take */
struct fl_fleet {
	const struct ks_ops *keys;
	const struct fl_worker_ops *workers;
	const struct fl_advice_ops *advice;
	const struct fl_maintenance_ops *maintenance;
	const struct fl_entry_ops *entries;
	const struct fl_caller_ops *callers;
	void *handle;
};

#endif
