#ifndef STATE_PLACEMENT_H
#define STATE_PLACEMENT_H

#include <talloc.h>

#include "common/rng.h"
#include "state/policy.h"
#include "state/types.h"

/**
 * DOC: Placement of tasks on workers.
 *
 * The table has the capacity and the free resources of each worker. All
 * operations keep 0 <= free <= capacity.
 */

#define PL_NONE UINT32_MAX

/**
 * struct pl_worker - one worker; its index in the table is called its row
 * @capacity: total resources of the VM
 * @free: capacity less reservations
 * @rack: rack index
 * @usable: may receive new tasks
 * @gang_from_us: when a gang's reservation of this worker starts; 0 for none
 * @cpu_inv: reciprocal of the CPU capacity, to compare workers of unlike sizes
 * @mem_inv: reciprocal of the memory capacity
 * @order: position in the table from 0 to 1; packing fills workers from the
 *	front, so that those at the back become idle
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
 * struct pl_request - a task to place
 * @need: resources of the task
 * @ends_us: when it is expected to end; INT64_MAX for services
 * @tasks_per_rack: tasks of the same job by rack, to spread them; or NULL
 */
struct pl_request {
	struct st_res need;
	int64_t ends_us;
	const uint16_t *tasks_per_rack;
};

/**
 * typedef pl_pick_fn - a placement strategy; PL_NONE when no worker fits
 */
typedef uint32_t (*pl_pick_fn)(const struct pl_table *t,
    const struct pl_request *req, const struct po_policy *policy,
    struct rng *rng);

/** pl_create() - create a table for @count workers; NULL without memory */
struct pl_table *pl_create(TALLOC_CTX *ctx, uint32_t count);

/**
 * pl_set_worker() - set a worker's capacity; it is usable and all free
 * @t: table
 * @w: row
 * @capacity: total resources
 * @rack: rack index
 */
void pl_set_worker(struct pl_table *t, uint32_t w,
    const struct st_res *capacity, uint32_t rack);

/**
 * pl_reserve() - reserve resources on a worker
 * @t: table
 * @w: row
 * @need: resources
 *
 * Return: false, with nothing reserved, when they do not fit.
 */
bool pl_reserve(struct pl_table *t, uint32_t w, const struct st_res *need);

/** pl_release() - release resources that pl_reserve() reserved */
void pl_release(struct pl_table *t, uint32_t w, const struct st_res *need);

/** pl_pick_score() - strategy in use: best weighted score */
uint32_t pl_pick_score(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng);
/** pl_pick_first() - baseline: first worker that fits */
uint32_t pl_pick_first(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng);
/** pl_pick_random() - baseline: random worker in 8 tries, else the first */
uint32_t pl_pick_random(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng);

/**
 * pl_reserve_gang() - reserve workers for all tasks of a gang, or for none
 * @t: table
 * @req: one task
 * @count: number of tasks
 * @policy: weights
 * @rng: random generator
 * @out: @count rows; valid when true is returned
 *
 * Return: true when all are reserved.
 */
bool pl_reserve_gang(struct pl_table *t, const struct pl_request *req,
    uint32_t count, const struct po_policy *policy, struct rng *rng,
    uint32_t *out);

/**
 * pl_max_tasks() - how many tasks would fit on all workers when idle
 * @t: table
 * @need: resources of one task
 */
uint64_t pl_max_tasks(const struct pl_table *t, const struct st_res *need);

#endif
