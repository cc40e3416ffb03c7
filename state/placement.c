#include <math.h>

#include "state/placement.h"

#define PL_RANDOM_TRIES 8
#define PL_FREE_WEIGHT 1.0F
#define PL_ORDER_WEIGHT 10.0F
#define PL_BALANCE_WEIGHT 2.0F
#define PL_ACCEL_FREE_WEIGHT 2.0F
/* Part of the accelerator penalty that even one free accelerator costs. */
#define PL_ACCEL_PENALTY_BASE 0.5F

struct pl_table *
pl_create(TALLOC_CTX *ctx, uint32_t count)
{
	struct pl_table *t;

	t = talloc_zero(ctx, struct pl_table);
	if (t == NULL)
		return NULL;
	t->worker = talloc_zero_array(t, struct pl_worker, count);
	if (t->worker == NULL) {
		talloc_free(t);
		return NULL;
	}
	t->count = count;
	return t;
}

static float
pl_inverse(int64_t v)
{
	return v > 0 ? 1.0F / (float)v : 0.0F;
}

void
pl_set_worker(struct pl_table *t, uint32_t w, const struct st_res *capacity,
    uint32_t rack)
{
	struct pl_worker *row = &t->worker[w];

	row->capacity = *capacity;
	row->free = *capacity;
	row->rack = rack;
	row->usable = true;
	row->cpu_inv = pl_inverse(capacity->cpu_mcpu);
	row->mem_inv = pl_inverse(capacity->mem_bytes);
	row->order = (float)w / (float)t->count;
	if (rack >= t->rack_count)
		t->rack_count = rack + 1;
}

bool
pl_reserve(struct pl_table *t, uint32_t w, const struct st_res *need)
{
	if (!st_res_fits(need, &t->worker[w].free))
		return false;
	st_res_sub(&t->worker[w].free, need);
	return true;
}

void
pl_release(struct pl_table *t, uint32_t w, const struct st_res *need)
{
	st_res_add(&t->worker[w].free, need);
}

static inline bool
pl_can_place(const struct pl_worker *row, const struct pl_request *req)
{
	if (!row->usable || !st_res_fits(&req->need, &row->free))
		return false;
	return row->gang_from_us == 0 || req->ends_us <= row->gang_from_us;
}

/* Higher is better. */
static inline float
pl_score(const struct pl_worker *row, const struct pl_request *req,
    const struct po_policy *policy)
{
	float cpu_left;
	float mem_left;
	float score;

	cpu_left =
	    (float)(row->free.cpu_mcpu - req->need.cpu_mcpu) * row->cpu_inv;
	mem_left =
	    (float)(row->free.mem_bytes - req->need.mem_bytes) * row->mem_inv;
	score = -policy->packing_weight *
	    (PL_FREE_WEIGHT * (cpu_left + mem_left) +
		PL_ORDER_WEIGHT * row->order);
	/* Free CPU without memory, or the reverse, can't be used by tasks. */
	score -= fabsf(cpu_left - mem_left) * PL_BALANCE_WEIGHT;
	if (req->need.accel == 0 && row->free.accel > 0)
		score -= policy->accel_penalty_weight *
		    (PL_ACCEL_PENALTY_BASE +
			(float)row->free.accel / (float)row->capacity.accel);
	if (req->need.accel > 0)
		score -= policy->packing_weight * PL_ACCEL_FREE_WEIGHT *
		    (float)(row->free.accel - req->need.accel);
	if (req->tasks_per_rack != NULL)
		score -= policy->spread_weight *
		    (float)req->tasks_per_rack[row->rack];
	return score;
}

uint32_t
pl_pick_score(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng)
{
	uint32_t best = PL_NONE;
	float best_score = -INFINITY;
	float score;
	uint32_t w;

	(void)rng;
	for (w = 0; w < t->count; w++) {
		if (!pl_can_place(&t->worker[w], req))
			continue;
		score = pl_score(&t->worker[w], req, policy);
		if (score > best_score) {
			best_score = score;
			best = w;
		}
	}
	return best;
}

uint32_t
pl_pick_first(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng)
{
	uint32_t w;

	(void)policy;
	(void)rng;
	for (w = 0; w < t->count; w++) {
		if (pl_can_place(&t->worker[w], req))
			return w;
	}
	return PL_NONE;
}

uint32_t
pl_pick_random(const struct pl_table *t, const struct pl_request *req,
    const struct po_policy *policy, struct rng *rng)
{
	unsigned int i;
	uint32_t w;

	for (i = 0; i < PL_RANDOM_TRIES; i++) {
		w = (uint32_t)rng_below(rng, t->count);
		if (pl_can_place(&t->worker[w], req))
			return w;
	}
	return pl_pick_first(t, req, policy, rng);
}

bool
pl_reserve_gang(struct pl_table *t, const struct pl_request *req,
    uint32_t count, const struct po_policy *policy, struct rng *rng,
    uint32_t *out)
{
	uint32_t done;
	uint32_t w;

	for (done = 0; done < count; done++) {
		w = pl_pick_score(t, req, policy, rng);
		if (w == PL_NONE)
			goto undo;
		pl_reserve(t, w, &req->need);
		out[done] = w;
	}
	return true;
undo:
	while (done > 0)
		pl_release(t, out[--done], &req->need);
	return false;
}

uint64_t
pl_max_tasks(const struct pl_table *t, const struct st_res *need)
{
	uint64_t total = 0;
	uint32_t w;

	for (w = 0; w < t->count; w++)
		total += st_res_count(&t->worker[w].capacity, need);
	return total;
}
