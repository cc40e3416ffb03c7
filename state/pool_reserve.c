#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/gang_plan.h"
#include "state/pool_approval.h"

/*
 * Reserves resources for gangs.
 *
 * A gang starts only when all its members fit at once. In a busy pool that
 * never happens by itself: smaller tasks take what becomes free. So gangs are
 * planned in scheduling order on workers that approve them, at the time when
 * enough runs there are expected to have ended, and these resources are
 * reserved. Other tasks may run on them if they end before that time, or if
 * they are more urgent and fit nowhere else.
 */

#define WP_RESERVE_INTERVAL_US (50 * CLK_US_PER_MS)
/* Reservations of gangs that need no tickets reach this far ahead. */
#define WP_RESERVE_HORIZON_US (2 * CLK_US_PER_S)
/* A stop takes about this long. */
#define WP_STOP_TIME_US (300 * CLK_US_PER_MS)
/* Fraction of a pool that may idle for gangs while other steps want as much. */
#define WP_MAX_IDLE_DIVISOR 16
/* Leaves ranks for the steps that are listed until the next plan. */
#define WP_RANK_STEP 64
/* Runs take longer than estimated by up to a quarter. */
#define WP_BACKFILL_PERCENT 125

/**
 * struct wp_planner - plans the gangs of a pool in one pass
 * @pool: the pool
 * @now_us: time of the pass
 * @release: buffer for gp_add_slots(), kept from one gang to the next
 * @slot: buffer with space for @slot_max slots, kept as well
 * @has_distant_gang: a gang that can't start soon has a reservation
 * @idle: resources that are free and reserved
 * @wanted: resources that waiting steps need which are no gangs
 * @capacity: resources of all usable workers
 */
struct wp_planner {
	struct wp_pool *pool;
	int64_t now_us;
	struct gp_release *release;
	struct gp_slot *slot;
	uint32_t slot_max;
	bool has_distant_gang;
	struct wp_resources idle;
	struct wp_resources wanted;
	struct wp_resources capacity;
};

int64_t
wp_backfill_us(const struct wp_step *s)
{
	return s->spec->estimate_ms * CLK_US_PER_MS * WP_BACKFILL_PERCENT / 100;
}

static uint32_t
wp_reserved_slots(const struct wp_step *s, const struct wp_worker *w)
{
	const struct wp_ticket *ticket = wp_ticket_find(s, w);

	return ticket != NULL ? ticket->reserved : 0;
}

static struct wp_resources
wp_unreserved(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	struct wp_resources left = wp_unheld(s, w, now_us);
	struct wp_resources need = wp_task_resources(s->spec);

	wp_resources_add(&left, &w->gang_reserved, -1);
	wp_resources_add(&left, &need, (int)wp_reserved_slots(s, w));
	return left;
}

static bool
wp_ends_before_reservation(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	return !(s->spec->flags & JB_LONG_RUNNING) &&
	    now_us + wp_backfill_us(s) <= w->reserved_from_us;
}

struct wp_resources
wp_available_to(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	if (w->reserved_members == 0 ||
	    wp_ends_before_reservation(s, w, now_us) || wp_held_slots(s, w) > 0)
		return wp_unheld(s, w, now_us);
	return wp_unreserved(s, w, now_us);
}

bool
wp_goes_before_reservation(const struct wp_step *s, const struct wp_worker *w)
{
	return w->reserved_members > 0 && s->rank < w->reserved_rank;
}

struct wp_resources
wp_idle_reserved(const struct wp_worker *w)
{
	struct wp_resources left = wp_free_resources(w);
	struct wp_resources idle = w->gang_reserved;

	wp_resources_clip(&left);
	if (idle.cpu_mcpu > left.cpu_mcpu)
		idle.cpu_mcpu = left.cpu_mcpu;
	if (idle.mem_mb > left.mem_mb)
		idle.mem_mb = left.mem_mb;
	if (idle.gpu > left.gpu)
		idle.gpu = left.gpu;
	return idle;
}

void
wp_reservation_release(struct wp_pool *p, struct wp_step *s)
{
	struct wp_resources need = wp_task_resources(s->spec);
	uint32_t i;

	if (!s->reserved)
		return;
	s->reserved = false;
	for (i = 0; i < s->ticket_count; i++) {
		struct wp_ticket *ticket = &s->ticket[i];
		struct wp_worker *w = p->worker_by_index[ticket->worker_index];

		if (ticket->reserved == 0)
			continue;
		wp_resources_add(
		    &w->gang_reserved, &need, -(int)ticket->reserved);
		w->reserved_members -= ticket->reserved;
		ticket->reserved = 0;
	}
}

static void
wp_reserve_slot(
    struct wp_planner *plan, struct wp_step *s, const struct gp_slot *slot)
{
	struct wp_worker *w = plan->pool->worker_by_index[slot->worker];
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_resources idle = wp_idle_reserved(w);

	wp_resources_add(&plan->idle, &idle, -1);
	wp_ticket_get(plan->pool, s, w)->reserved++;
	wp_resources_add(&w->gang_reserved, &need, 1);
	idle = wp_idle_reserved(w);
	wp_resources_add(&plan->idle, &idle, 1);
	if (w->reserved_members == 0 || s->planned_us < w->reserved_from_us)
		w->reserved_from_us = s->planned_us;
	if (w->reserved_members == 0 || s->rank < w->reserved_rank)
		w->reserved_rank = s->rank;
	w->reserved_members++;
}

/* A run that takes longer than expected is given as much time again. */
int64_t
wp_release_us(const struct wp_task *t, int64_t now_us)
{
	int64_t ends_us;

	if (t->state == WP_TASK_STOPPING)
		return now_us + WP_STOP_TIME_US;
	ends_us = wp_expected_end_us(t);
	return ends_us > now_us ? ends_us : now_us + (now_us - ends_us);
}

/* Resources on a worker that will become free for gangs. */
static uint32_t
wp_list_releases(struct wp_planner *plan, const struct wp_worker *w)
{
	const struct wp_task *t;
	uint32_t count = 0;

	DL_FOREACH(w->tasks, t)
		count++;
	plan->release = talloc_realloc(
	    plan->pool, plan->release, struct gp_release, count + 1);
	if (plan->release == NULL)
		abort();
	count = 0;
	DL_FOREACH(w->tasks, t) {
		if (t->step->spec->flags & JB_LONG_RUNNING)
			continue;
		plan->release[count++] = (struct gp_release){
		    .at_us = wp_release_us(t, plan->now_us),
		    .freed = wp_task_resources(t->step->spec),
		};
	}
	return count;
}

/* When a start with a ticket is possible on a worker at the earliest. */
int64_t
wp_ticket_ready_us(struct wp_pool *p, const struct wp_step *s,
    const struct wp_worker *w, int64_t at_us, int64_t now_us)
{
	int64_t latency_us;

	if (!wp_needs_advice(s) || wp_ticket_valid(s, w, at_us) != NULL)
		return at_us;
	latency_us = wp_advice_latency_us(p, s, s->spec->count);
	return now_us + latency_us > at_us ? now_us + latency_us : at_us;
}

static uint32_t
wp_offered_slots(struct wp_planner *plan, const struct wp_step *s,
    struct wp_worker *w, struct gp_slot *slot)
{
	struct wp_resources need = wp_task_resources(s->spec);
	uint32_t limit = wp_slots_left(s, w);
	struct gp_offer offer = {
	    .worker = w->index,
	    .available = wp_unheld(s, w, plan->now_us),
	    .max_slots = limit < s->spec->count ? limit : s->spec->count,
	    .now_us = plan->now_us,
	};
	uint32_t count;
	uint32_t i;

	if (!wp_is_usable(w, plan->now_us) || !wp_is_suitable(s, w) ||
	    !wp_has_acceptable_task(s, w, plan->now_us))
		return 0;
	wp_resources_add(&offer.available, &w->gang_reserved, -1);
	offer.release_count = wp_list_releases(plan, w);
	offer.release = plan->release;
	count = gp_add_slots(&offer, &need, slot);
	for (i = 0; i < count; i++)
		slot[i].at_us = wp_ticket_ready_us(
		    plan->pool, s, w, slot[i].at_us, plan->now_us);
	return count;
}

static uint32_t
wp_list_slots(struct wp_planner *plan, const struct wp_step *s)
{
	struct wp_scan scan;
	struct wp_worker *w;
	uint32_t count = 0;

	wp_scan_begin(&scan, plan->pool, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (plan->slot == NULL ||
		    count + s->spec->count > plan->slot_max) {
			plan->slot_max = 2 * (count + s->spec->count) + 1;
			plan->slot = talloc_realloc(plan->pool, plan->slot,
			    struct gp_slot, plan->slot_max);
			if (plan->slot == NULL)
				abort();
		}
		count += wp_offered_slots(plan, s, w, plan->slot + count);
	}
	return count;
}

/*
 * Resources wait no longer than until tickets that are requested now are half
 * used up: later starts are too uncertain.
 */
static int64_t
wp_horizon_us(struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	int64_t valid_us =
	    s->occ->job->spec->policy.advice_valid_ms * CLK_US_PER_MS;

	if (!wp_needs_advice(s))
		return now_us + WP_RESERVE_HORIZON_US;
	return now_us + wp_advice_latency_us(p, s, s->spec->count) +
	    valid_us / 2;
}

static bool
wp_is_wanted(int64_t idle, int64_t wanted, int64_t capacity)
{
	int64_t max = capacity / WP_MAX_IDLE_DIVISOR;

	return idle > max && wanted > max;
}

/* Whether so much waits for gangs that other steps go short. */
static bool
wp_too_much_is_idle(const struct wp_planner *plan)
{
	return wp_is_wanted(plan->idle.cpu_mcpu, plan->wanted.cpu_mcpu,
		   plan->capacity.cpu_mcpu) ||
	    wp_is_wanted(plan->idle.gpu, plan->wanted.gpu, plan->capacity.gpu);
}

/*
 * Gangs that can start soon get a reservation. So does the first one that can't,
 * as it would wait for ever otherwise.
 */
static bool
wp_may_reserve(
    struct wp_planner *plan, const struct wp_step *s, int64_t planned_us)
{
	if (planned_us == INT64_MAX || wp_too_much_is_idle(plan))
		return false;
	if (planned_us <= wp_horizon_us(plan->pool, s, plan->now_us))
		return true;
	if (plan->has_distant_gang)
		return false;
	plan->has_distant_gang = true;
	return true;
}

static void
wp_plan_reservation(struct wp_planner *plan, struct wp_step *s)
{
	uint32_t count = wp_list_slots(plan, s);
	uint32_t i;

	s->planned_us = INT64_MAX;
	if (plan->slot == NULL)
		return;
	s->planned_us = gp_choose(plan->slot, count, s->spec->count);
	if (!wp_may_reserve(plan, s, s->planned_us))
		return;
	s->reserved = true;
	for (i = 0; i < s->spec->count; i++)
		wp_reserve_slot(plan, s, &plan->slot[i]);
}

static bool
wp_is_waiting_gang(const struct wp_step *s)
{
	return (s->spec->flags & JB_GANG) && s->waiting == s->spec->count;
}

static void
wp_planner_begin(struct wp_planner *plan)
{
	struct wp_pool *p = plan->pool;
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_step *s;

	DL_FOREACH(p->ready, s) {
		struct wp_resources need = wp_task_resources(s->spec);

		wp_reservation_release(p, s);
		if (!(s->spec->flags & JB_GANG))
			wp_resources_add(&plan->wanted, &need, (int)s->waiting);
	}
	HASH_ITER(hh, p->workers, w, tmp) {
		memset(&w->gang_reserved, 0, sizeof(w->gang_reserved));
		w->reserved_members = 0;
	}
	plan->capacity = wp_usable_capacity(p, plan->now_us);
}

void
wp_reserve_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_planner plan = {.pool = p, .now_us = now_us};
	uint32_t rank = 0;
	struct wp_step *s;

	if (now_us < p->reserve_at_us)
		return;
	p->reserve_at_us = now_us + WP_RESERVE_INTERVAL_US;
	wp_planner_begin(&plan);
	DL_FOREACH(p->ready, s) {
		rank += WP_RANK_STEP;
		s->rank = rank;
		if (wp_is_waiting_gang(s))
			wp_plan_reservation(&plan, s);
	}
	talloc_free(plan.release);
	talloc_free(plan.slot);
}
