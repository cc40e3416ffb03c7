#ifndef TRANSPORT_FLEET_H
#define TRANSPORT_FLEET_H

#include "state/maintenance.h"
#include "state/pool.h"
#include "state/queues.h"
#include "transport/http_client.h"
#include "transport/key_space.h"

/**
 * DOC: What the cell needs of the fleet that it schedules.
 *
 * Tables of functions: one for orders to workers, one for advice, one that
 * reads what others keep in the key space, one that reads callers' requests.
 * Every call ends with exactly one callback, on the loop that made it.
 */

/** typedef fl_order_fn - what became of an order; @clock_ms of the worker or 0 */
typedef void (*fl_order_fn)(
    enum wp_order_result result, int64_t clock_ms, void *arg);

/** typedef fl_hold_fn - answer to a renewal; @reply is NULL unless done */
typedef void (*fl_hold_fn)(enum wp_order_result result,
    const struct wp_renewal_reply *reply, void *arg);

/**
 * struct fl_worker_ops - orders to workers
 * @order: send an order under a fencing token
 * @hold: renew leases, acknowledge ends and fetch the worker's lists
 */
struct fl_worker_ops {
	void (*order)(void *fleet, const struct wp_order *o, uint64_t fence,
	    fl_order_fn done, void *arg);
	void (*hold)(void *fleet, const struct wp_worker *w,
	    const struct wp_renewal *hold, uint64_t fence, fl_hold_fn done,
	    void *arg);
};

/** typedef fl_advice_fn - answer of the advice service */
typedef void (*fl_advice_fn)(
    bool ok, const struct wp_approval *good, uint32_t count, void *arg);

struct fl_advice_ops {
	void (*ask)(void *fleet, const struct wp_advice_request *ask,
	    int64_t deadline_us, fl_advice_fn done, void *arg);
};

/** enum fl_key_kind - what a key of the key space that is not ours holds */
enum fl_key_kind {
	FL_KEY_OTHER,
	FL_KEY_WORKER,
	FL_KEY_CONFIG,
	FL_KEY_WAVE,
};

/**
 * struct fl_entry_ops - entries that others keep in the key space
 * @orders_prefix: begins the keys of all that operators order
 * @kind: what a key holds; for a worker or a wave, @id names it
 * @worker: decode a worker's entry; NULL for one that can't be used
 * @worker_pool: service of a decoded entry
 * @config: decode a configuration; NULL with @error when it can't be read
 * @wave: decode a wave of maintenance; NULL with @error when it can't be read
 * @wave_status: key and text that tell operators how far a wave is
 */
struct fl_entry_ops {
	const char *orders_prefix;
	enum fl_key_kind (*kind)(const char *key, const char **id);
	bool (*worker)(TALLOC_CTX *ctx, const char *id, const uint8_t *value,
	    size_t bytes, struct wp_worker_info *info, const char **pool);
	struct qs_config *(*config)(TALLOC_CTX *ctx, const uint8_t *value,
	    size_t bytes, char *error, size_t error_bytes);
	struct mw_wave *(*wave)(TALLOC_CTX *ctx, const uint8_t *value,
	    size_t bytes, char *error, size_t error_bytes);
	void (*wave_status)(TALLOC_CTX *ctx, uint64_t number, bool completed,
	    const char **key, const char **text);
};

/** typedef fl_duty_fn - answer to an order to take a VM down */
typedef void (*fl_duty_fn)(enum mw_order_result result, void *arg);

/**
 * struct fl_duty_ops - orders about whole VMs
 * @take_down: have a VM of a wave maintained
 */
struct fl_duty_ops {
	void (*take_down)(void *fleet, const char *vm, uint64_t wave,
	    const char *holder, uint64_t fence, fl_duty_fn done, void *arg);
};

/**
 * struct fl_caller_ops - what callers send
 * @job: decode the body of a submission; NULL with @error
 * @state_body: answer that shows a state
 * @waiting_body: answer that shows how many jobs wait
 * @deadline_header: header with the milliseconds that a caller will wait
 * @ready_path: path that the platform asks for readiness
 */
struct fl_caller_ops {
	struct jb_spec *(*job)(TALLOC_CTX *ctx, const char *body, size_t bytes,
	    char *error, size_t error_bytes);
	char *(*state_body)(TALLOC_CTX *ctx, enum jb_state state);
	char *(*waiting_body)(TALLOC_CTX *ctx, uint32_t waiting);
	const char *deadline_header;
	const char *ready_path;
};

/** struct fl_fleet - one fleet behind its tables */
struct fl_fleet {
	const struct ks_ops *keys;
	const struct fl_worker_ops *workers;
	const struct fl_advice_ops *advice;
	const struct fl_duty_ops *duties;
	const struct fl_entry_ops *entries;
	const struct fl_caller_ops *callers;
	void *handle;
};

#endif
