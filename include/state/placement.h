#ifndef STATE_PLACEMENT_H
#define STATE_PLACEMENT_H

#include <talloc.h>

#include "common/rng.h"
#include "state/policy.h"
#include "state/types.h"

/**
 * DOC: Choice of a worker for a task.
 *
 * The table holds, per worker, its capacity and what is still free. All
 * operations keep 0 <= free <= capacity.
 */

#define PL_NONE UINT32_MAX

/**
 * struct pl_worker - one row
 * @capacity: what the VM holds
 * @free: capacity less reservations
 * @rack: rack index
 * @usable: may receive new tasks
 * @gang_from_us: a gang reservation needs the room from here on; 0 for none
 * @cpu_inv: reciprocal of the capacity, to compare workers of unlike sizes
 * @mem_inv: likewise
 * @order: position in the table from 0 to 1; packing fills from the front,
 *	so that workers at the back run empty
 */
struct pl_worker {
	struct st_res capacity;
	struct st_res free;
	uint32_t rack;
	bool usable;
	int64_t gang_from_us;
	float cpu_inv;
	float mem_inv;
	float order;
};

struct pl_table {
	struct pl_worker *worker;
	uint32_t count;
	uint32_t rack_count;
};

/**
 * struct pl_request - what has to be placed
 * @need: resources of one task
 * @ends_us: when it is expected to end; INT64_MAX for services
 * @tasks_per_rack: tasks of the same job by rack; NULL if spread is no matter
 */
struct pl_request {
	struct st_res need;
	int64_t ends_us;
	const uint16_t *tasks_per_rack;
};

/**
 * typedef pl_pick_fn - a way to choose; PL_NONE when nothing fits
 */
typedef uint32_t (*pl_pick_fn)(const struct pl_table *t,
    const struct pl_request *req, const struct po_policy *policy,
    struct rng *rng);

/** pl_create() - an empty table of @count workers */
struct pl_table *pl_create(TALLOC_CTX *ctx, uint32_t count);

/**
 * pl_set_worker() - describe a worker; nothing is reserved on it yet
 * @t: table
 * @w: row
 * @capacity: what it holds
 * @rack: rack index
 */
void pl_set_worker(struct pl_table *t, uint32_t w,
    const struct st_res *capacity, uint32_t rack);

/**
 * pl_reserve() - take room on a worker
 * @t: table
 * @w: row
 * @need: resources
 *
 * Return: false, with nothing taken, when it does not fit.
 */
bool pl_reserve(struct pl_table *t, uint32_t w, const struct st_res *need);

/** pl_release() - give room back that pl_reserve() took */
void pl_release(struct pl_table *t, uint32_t w, const struct st_res *need);

/** pl_pick_score() - best weighted score; the shipped way */
uint32_t pl_pick_score(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng);
/** pl_pick_first() - baseline: first that fits */
uint32_t pl_pick_first(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng);
/** pl_pick_random() - baseline: random worker that fits, from 8 tries */
uint32_t pl_pick_random(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng);

/**
 * pl_reserve_gang() - place all tasks of a gang, or none
 * @t: table
 * @req: one task
 * @count: number of tasks
 * @policy: weights
 * @rng: generator
 * @out: @count rows; valid when true is returned
 *
 * Return: true when all are reserved.
 */
bool pl_reserve_gang(struct pl_table *t, const struct pl_request *req,
    uint32_t count, const struct po_policy *policy, struct rng *rng,
    uint32_t *out);

/**
 * pl_max_tasks() - how many tasks the table holds when empty
 * @t: table
 * @need: one task
 */
uint64_t pl_max_tasks(const struct pl_table *t, const struct st_res *need);

#endif
