#ifndef STATE_SHARD_MESSAGES_H
#define STATE_SHARD_MESSAGES_H

#include "state/types.h"

/**
 * DOC: Messages between a shard's owner and its workers: starts, stops, leases
 * and acknowledgements one way, inventories and outcomes the other way.
 */

/** struct sh_ref - identifies one start of one task */
struct sh_ref {
	const char *job;
	uint32_t index;
	uint64_t attempt;
};

/**
 * struct sh_start - a task for a worker to start
 * @ref: task and attempt
 * @need: resources reserved for it
 * @run_us: declared run time; 0 for services
 */
struct sh_start {
	struct sh_ref ref;
	struct st_res need;
	int64_t run_us;
	enum st_kind kind;
	bool idempotent;
};

/**
 * struct sh_stop - a task for a worker to stop
 * @ref: task and attempt
 * @checkpoint: the task will run again, so its progress should be saved
 */
struct sh_stop {
	struct sh_ref ref;
	bool checkpoint;
};

#define SH_SYNC_MAX 64

/**
 * struct sh_sync - one message to a worker; strings belong to the shard
 * @epoch: owner's epoch; the worker refuses a lower one
 * @seq: grows with each message of an epoch; the worker refuses an older one
 * @lease_generation: the worker's lease that the starts are valid under
 * @lease_until_us: new end of the lease on the worker's clock; 0 for no renewal
 * @want_inventory: the worker must list all tasks that it runs
 * @start: tasks to start, @start_count of them
 * @stop: tasks to stop, @stop_count of them
 * @ack: outcomes that the worker may forget, @ack_count of them
 */
struct sh_sync {
	uint64_t epoch;
	uint64_t seq;
	uint64_t lease_generation;
	int64_t lease_until_us;
	bool want_inventory;
	struct sh_start start[SH_SYNC_MAX];
	uint32_t start_count;
	struct sh_stop stop[SH_SYNC_MAX];
	uint32_t stop_count;
	struct sh_ref ack[SH_SYNC_MAX];
	uint32_t ack_count;
};

struct sh_ended {
	struct sh_ref ref;
	enum st_result result;
};

struct sh_usage {
	struct sh_ref ref;
	struct st_res used;
};

/**
 * struct sh_sync_reply - a worker's reply; arrays belong to the caller
 * @fenced_by: higher epoch that the worker obeys, or 0
 * @newest_outcome: number of the newest outcome
 * @clock_us: the worker's clock when it replied
 * @lease_generation: its current lease
 * @has_inventory: @running lists all tasks that it runs
 * @running: running tasks, @running_count of them
 * @started: starts that it has accepted
 * @refused: starts that did not run and will not run
 * @ended: outcomes, which it keeps until they are acknowledged; the result of
 *	a stopped task is CANCELLED
 * @usage: measured resource use of running tasks
 */
struct sh_sync_reply {
	uint64_t fenced_by;
	uint64_t newest_outcome;
	int64_t clock_us;
	uint64_t lease_generation;
	bool has_inventory;
	struct sh_ref *running;
	size_t running_count;
	struct sh_ref *started;
	size_t started_count;
	struct sh_ref *refused;
	size_t refused_count;
	struct sh_ended *ended;
	size_t ended_count;
	struct sh_usage *usage;
	size_t usage_count;
};

#endif
