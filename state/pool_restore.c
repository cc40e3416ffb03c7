#include <stdlib.h>
#include <utlist.h>

#include "state/gang_plan.h"
#include "state/pool_internal.h"

/*
 * Room for long-running tasks that have lost their run.
 *
 * Such a task has to run again within seconds, however full the pool is. From
 * the moment at which its worker falls silent, or its run is stopped, it is
 * planned where it is expected to be able to start first, and its resources are
 * held there: other steps take them only for tasks that end before. Gangs are
 * planned after that, with what is left. If no room is expected in time, other
 * tasks are stopped. A task that has never run has no such claim and waits for
 * its turn.
 */

#define WP_RESTORE_INTERVAL_US (50 * CLK_US_PER_MS)
/* Tasks that are planned at a time; the rest follows when these have started. */
#define WP_MAX_HOLDS 64
/* How long a new owner takes to find out that a run is over, if nothing tells. */
#define WP_UNRECONCILED_US (3 * CLK_US_PER_S)
/* Others are stopped for a held task so long before it may start. */
#define WP_HELD_ROOM_US (700 * CLK_US_PER_MS)
/* Another worker is planned only if it has room so much sooner. */
#define WP_KEEP_HOLD_US (300 * CLK_US_PER_MS)
/* Searches of all workers in a pass: for tasks without a plan, and for others. */
#define WP_MAX_FIRST_SEARCHES 6
#define WP_MAX_SEARCHES_AGAIN 2
#define WP_SEARCH_AGAIN_US (300 * CLK_US_PER_MS)
#define WP_AWAIT_TICKET_US (100 * CLK_US_PER_MS)
/* How long room that becomes free by itself is waited for. */
#define WP_RESTORE_WAIT_US (2 * CLK_US_PER_S)
/* About as long as it takes to stop a task and to hear of it. */
#define WP_MAKE_ROOM_US (400 * CLK_US_PER_MS)
/* Others are stopped again for the same task after this time, doubled each time. */
#define WP_PREEMPT_AGAIN_US (5 * CLK_US_PER_S)
#define WP_MAX_PREEMPT_DOUBLINGS 5

/**
 * struct wp_lost - a long-running task whose run has ended, or may have
 * @task: the task
 * @from_us: it does not start before
 * @has_made_room: others have been stopped for it, where it is planned
 * @order: position in the list, so that the same one always goes first
 */
struct wp_lost {
	struct wp_task *task;
	int64_t from_us;
	bool has_made_room;
	uint32_t order;
};

/**
 * struct wp_restorer - plans where lost tasks start
 * @pool: the pool
 * @now_us: time of the pass
 * @lost: these tasks, @lost_count of them, with space for @lost_max
 * @release: buffer for gp_add_slots(), with space for @release_max
 * @first_searches: searches of all workers for tasks without a plan
 * @searches_again: those for other tasks
 */
struct wp_restorer {
	struct wp_pool *pool;
	int64_t now_us;
	struct wp_lost *lost;
	uint32_t lost_count;
	uint32_t lost_max;
	struct gp_release *release;
	uint32_t release_max;
	uint32_t first_searches;
	uint32_t searches_again;
};

bool
wp_lasts(const struct wp_step *s)
{
	return (s->spec->flags & (JB_LONG_RUNNING | JB_GANG)) ==
	    JB_LONG_RUNNING;
}

bool
wp_is_interrupted(const struct wp_task *t)
{
	return t->state == WP_TASK_WAITING && t->run > 0 && wp_lasts(t->step);
}

bool
wp_has_interrupted_task(const struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; wp_lasts(s) && i < s->spec->count; i++) {
		const struct wp_task *t = &s->task[i];

		if (wp_is_interrupted(t) && now_us >= t->not_before_us &&
		    now_us > t->avoid_until_us && t->crash_count == 0)
			return true;
	}
	return false;
}

uint32_t
wp_held_slots_by(
    const struct wp_step *s, const struct wp_worker *w, int64_t until_us)
{
	const struct wp_pool *p = s->occ->job->pool;
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; w->holds > 0 && i < p->hold_count; i++)
		n += p->hold[i].worker == w && p->hold[i].step == s &&
		    p->hold[i].from_us <= until_us;
	return n;
}

uint32_t
wp_held_slots(const struct wp_step *s, const struct wp_worker *w)
{
	return wp_held_slots_by(s, w, INT64_MAX);
}

/* Runs whose length is not known are taken to end too late. */
static bool
wp_ends_before_hold(
    const struct wp_step *s, const struct wp_hold *hold, int64_t now_us)
{
	return !(s->spec->flags & JB_LONG_RUNNING) &&
	    s->spec->estimate_ms > 0 &&
	    now_us + wp_backfill_us(s) <= hold->from_us;
}

struct wp_resources
wp_unheld(const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	const struct wp_pool *p = s->occ->job->pool;
	struct wp_resources left = wp_free_resources(w);
	uint32_t i;

	for (i = 0; w->holds > 0 && i < p->hold_count; i++) {
		const struct wp_hold *hold = &p->hold[i];

		if (hold->worker == w && hold->step != s &&
		    !wp_ends_before_hold(s, hold, now_us))
			wp_resources_add(&left, &hold->need, -1);
	}
	return left;
}

static void
wp_add_lost(struct wp_restorer *r, struct wp_task *t, int64_t from_us)
{
	if (t->step->occ->job->final_state != JB_PENDING)
		return;
	if (r->lost_count == r->lost_max) {
		r->lost_max = 2 * r->lost_max + 16;
		r->lost = talloc_realloc(
		    r->pool, r->lost, struct wp_lost, r->lost_max);
		if (r->lost == NULL)
			abort();
	}
	if (from_us < r->now_us)
		from_us = r->now_us;
	r->lost[r->lost_count] = (struct wp_lost){
	    .task = t,
	    .from_us = from_us,
	    .has_made_room = t->held_on != NULL && r->now_us < t->preempt_at_us,
	    .order = r->lost_count,
	};
	r->lost_count++;
}

/* One that can't start before may ask for advice meanwhile. */
static void
wp_add_awaited(struct wp_restorer *r, struct wp_task *t, int64_t from_us)
{
	wp_add_lost(r, t, from_us);
	wp_add_lost_step(t->step, from_us);
}

static void
wp_list_waiting(struct wp_restorer *r)
{
	struct wp_step *s;
	uint32_t i;

	DL_FOREACH(r->pool->ready, s) {
		for (i = 0; wp_lasts(s) && i < s->spec->count; i++) {
			if (wp_is_interrupted(&s->task[i]))
				wp_add_lost(
				    r, &s->task[i], s->task[i].not_before_us);
		}
	}
}

/* Tasks on a silent worker, and those that are stopped to run elsewhere. */
static void
wp_list_lost_on(struct wp_restorer *r, const struct wp_worker *w)
{
	int64_t expires_us = wp_lease_expiry_us(w);
	struct wp_task *t;

	DL_FOREACH(w->tasks, t) {
		if (!wp_lasts(t->step))
			continue;
		if (!w->reachable)
			wp_add_awaited(r, t, expires_us);
		else if (t->state == WP_TASK_STOPPING)
			wp_add_lost(r, t, wp_release_us(t, r->now_us));
	}
}

/* When the last worker that holds tasks of an earlier owner is over. */
static int64_t
wp_held_until_us(const struct wp_restorer *r)
{
	const struct wp_pool *p = r->pool;
	const struct wp_worker *w;
	int64_t until_us = 0;

	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (wp_is_holding(w, r->now_us))
			until_us =
			    clk_later_us(until_us, wp_lease_expiry_us(w));
	}
	if (until_us == 0 || p->ownership_unconfirmed)
		return r->now_us + WP_UNRECONCILED_US;
	return until_us;
}

/* What an earlier owner had started may run on a worker that has not answered. */
static void
wp_list_unreconciled(
    struct wp_restorer *r, struct wp_occurrence *occ, int64_t until_us)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; occ != NULL && i < occ->job->spec->step_count; i++) {
		struct wp_step *s = &occ->step[i];

		for (j = 0; wp_lasts(s) && j < s->spec->count; j++) {
			struct wp_task *t = &s->task[j];

			if (t->state == WP_TASK_UNRECONCILED && t->run > 0)
				wp_add_awaited(r, t, until_us);
		}
	}
}

static void
wp_list_lost(struct wp_restorer *r)
{
	struct wp_worker *w;
	struct wp_worker *wtmp;
	struct wp_job *job;
	struct wp_job *jtmp;
	int64_t until_us;
	uint32_t k;

	wp_list_waiting(r);
	HASH_ITER(hh, r->pool->workers, w, wtmp)
		wp_list_lost_on(r, w);
	if (r->pool->reconciled)
		return;
	until_us = wp_held_until_us(r);
	HASH_ITER(hh, r->pool->jobs, job, jtmp) {
		for (k = 0; k < jb_occurrences(job->spec); k++)
			wp_list_unreconciled(r, job->occ[k], until_us);
	}
}

bool
wp_frees_room(const struct wp_task *t)
{
	return t->state == WP_TASK_STOPPING ||
	    !(t->step->spec->flags & JB_LONG_RUNNING);
}

static uint32_t
wp_list_room(struct wp_restorer *r, const struct wp_worker *w)
{
	uint32_t count = wp_count_tasks(w);
	const struct wp_task *t;

	if (count > r->release_max) {
		r->release_max = 2 * count;
		r->release = talloc_realloc(
		    r->pool, r->release, struct gp_release, r->release_max);
		if (r->release == NULL)
			abort();
	}
	count = 0;
	DL_FOREACH(w->tasks, t) {
		if (!wp_frees_room(t))
			continue;
		r->release[count++] = (struct gp_release){
		    .at_us = wp_release_us(t, r->now_us),
		    .freed = wp_task_resources(t->step->spec),
		};
	}
	return count;
}

/* When a task of a step fits on a worker, or INT64_MAX. */
static int64_t
wp_room_from_us(struct wp_restorer *r, const struct wp_step *s,
    const struct wp_worker *w, bool free_now)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct gp_offer offer = {
	    .worker = w->index,
	    .available = wp_free_resources(w),
	    .max_slots = 1,
	    .now_us = r->now_us,
	};
	struct gp_slot slot;

	wp_resources_add(&offer.available, &w->held, -1);
	if (wp_resources_fit(&offer.available, &need))
		return r->now_us;
	if (free_now)
		return INT64_MAX;
	offer.release_count = wp_list_room(r, w);
	offer.release = r->release;
	return gp_add_slots(&offer, &need, &slot) > 0 ? slot.at_us : INT64_MAX;
}

/* Whether a worker may take one more task of the step, beside those planned. */
static bool
wp_may_hold(const struct wp_restorer *r, const struct wp_task *t,
    const struct wp_worker *w)
{
	const struct wp_step *s = t->step;
	uint32_t left;

	if (!wp_is_usable(w, r->now_us) || !wp_is_suitable(s, w) ||
	    wp_avoids(t, w, r->now_us))
		return false;
	left = wp_slots_left(s, w);
	if (left < UINT32_MAX && t->worker == w)
		left++;
	return left > wp_held_slots(s, w);
}

/* When a lost task could start on a worker, or INT64_MAX. */
static int64_t
wp_restored_us(struct wp_restorer *r, const struct wp_lost *lost,
    const struct wp_worker *w, bool free_now)
{
	const struct wp_step *s = lost->task->step;
	int64_t at_us;

	if (!wp_may_hold(r, lost->task, w))
		return INT64_MAX;
	at_us = wp_room_from_us(r, s, w, free_now);
	if (at_us == INT64_MAX)
		return INT64_MAX;
	at_us = clk_later_us(at_us, lost->from_us);
	return wp_ticket_ready_us(r->pool, s, w, at_us, r->now_us);
}

/*
 * The worker on which a lost task can start first, or NULL. @free_now: only among
 * those that have room now, which is cheap to find out
 */
static struct wp_worker *
wp_find_room(struct wp_restorer *r, const struct wp_lost *lost, bool free_now,
    int64_t *at_us)
{
	struct wp_task *t = lost->task;
	struct wp_worker *best = NULL;
	struct wp_scan scan;
	struct wp_worker *w;

	*at_us = INT64_MAX;
	wp_scan_begin(&scan, r->pool, t->step);
	while ((w = wp_scan_next(&scan)) != NULL) {
		int64_t w_us = wp_restored_us(
		    r, lost, w, free_now || *at_us <= lost->from_us);

		/* So that room that becomes free is kept together. */
		if (w_us != INT64_MAX && w == t->held_on)
			w_us -= WP_KEEP_HOLD_US;
		if (w_us >= *at_us)
			continue;
		best = w;
		*at_us = w_us;
	}
	if (best != NULL)
		*at_us = clk_later_us(*at_us, lost->from_us);
	return best;
}

/* So that each lost task has its turn, however many there are. */
static int64_t
wp_search_again_us(const struct wp_restorer *r, int64_t interval_us)
{
	uint32_t in_turn = (uint32_t)(WP_MAX_SEARCHES_AGAIN *
	    WP_SEARCH_AGAIN_US / WP_RESTORE_INTERVAL_US);

	return r->now_us + interval_us * (1 + r->lost_count / in_turn);
}

/*
 * To search full workers takes about 1 ms in a pool of 500, and many tasks may be
 * lost at the same time. Those that are not planned yet, or not any more, go first.
 */
static bool
wp_may_search(struct wp_restorer *r, struct wp_task *t, int64_t planned_us)
{
	bool lost_plan = planned_us == INT64_MAX && t->held_on != NULL;

	if (t->search_at_us == 0 || lost_plan) {
		if (r->first_searches >= WP_MAX_FIRST_SEARCHES)
			return false;
		r->first_searches++;
	} else {
		if (r->now_us < t->search_at_us ||
		    r->searches_again >= WP_MAX_SEARCHES_AGAIN)
			return false;
		r->searches_again++;
	}
	t->search_at_us = wp_search_again_us(r, WP_SEARCH_AGAIN_US);
	return true;
}

static void
wp_hold(
    struct wp_pool *p, struct wp_task *t, struct wp_worker *w, int64_t from_us)
{
	struct wp_hold *hold = &p->hold[p->hold_count++];

	*hold = (struct wp_hold){
	    .step = t->step,
	    .worker = w,
	    .need = wp_task_resources(t->step->spec),
	    .from_us = from_us,
	};
	w->holds++;
	wp_resources_add(&w->held, &hold->need, 1);
	t->held_on = w;
}

/* Room for a held task is made shortly before it may start. */
static bool
wp_may_start_soon(const struct wp_restorer *r, const struct wp_lost *lost)
{
	const struct wp_task *t = lost->task;

	if (t->state == WP_TASK_UNRECONCILED)
		return r->now_us + WP_HELD_ROOM_US >= lost->from_us;
	return t->state == WP_TASK_WAITING && r->now_us >= t->not_before_us;
}

static bool
wp_may_preempt_for(
    const struct wp_restorer *r, const struct wp_lost *lost, int64_t at_us)
{
	const struct wp_task *t = lost->task;

	return wp_may_start_soon(r, lost) && !r->pool->draining &&
	    r->now_us >= t->preempt_at_us &&
	    at_us >
	    clk_later_us(t->restore_by_us, r->now_us + WP_MAKE_ROOM_US) &&
	    wp_may_restart(r->pool, t, r->now_us);
}

/*
 * The worker on which stops cost the least, or NULL. Those with a valid ticket go
 * first; a ticket for another one is requested once it is planned.
 */
static struct wp_worker *
wp_find_victims(
    struct wp_restorer *r, const struct wp_task *t, struct wp_victims *best)
{
	struct wp_resources need = wp_task_resources(t->step->spec);
	struct wp_victims v = {.ctx = r->pool};
	int64_t due_us = r->now_us + WP_MAKE_ROOM_US;
	struct wp_worker *found = NULL;
	bool found_may_start = false;
	struct wp_scan scan;
	struct wp_worker *w;

	wp_scan_begin(&scan, r->pool, t->step);
	while ((w = wp_scan_next(&scan)) != NULL) {
		bool may_start = wp_may_start_on(t->step, w, r->now_us);
		struct wp_victims spare = *best;

		if ((found_may_start && !may_start) || !wp_may_hold(r, t, w) ||
		    !wp_choose_victims(&v, w, &need, due_us, r->now_us))
			continue;
		if (found != NULL && found_may_start == may_start &&
		    !wp_is_less_missed(&v, best))
			continue;
		found = w;
		found_may_start = may_start;
		*best = v;
		v = spare;
		v.ctx = r->pool;
	}
	talloc_free(v.victim);
	return found;
}

/* Stops other tasks, if it may start there now. Return: whether it is planned. */
static bool
wp_make_room(struct wp_restorer *r, const struct wp_lost *lost)
{
	struct wp_task *t = lost->task;
	struct wp_victims v = {.ctx = r->pool};
	struct wp_worker *w = wp_find_victims(r, t, &v);
	int64_t at_us =
	    clk_later_us(r->now_us + WP_MAKE_ROOM_US, lost->from_us);

	if (w == NULL)
		return false;
	if (wp_may_start_on(t->step, w, r->now_us)) {
		wp_stop_victims(r->pool, &v, r->now_us);
		t->preempt_at_us =
		    r->now_us + (WP_PREEMPT_AGAIN_US << t->preempt_count);
		if (t->preempt_count < WP_MAX_PREEMPT_DOUBLINGS)
			t->preempt_count++;
	} else {
		t->search_at_us = wp_search_again_us(r, WP_AWAIT_TICKET_US);
	}
	wp_hold(r->pool, t, w,
	    wp_ticket_ready_us(r->pool, t->step, w, at_us, r->now_us));
	talloc_free(v.victim);
	return true;
}

/* A worker that has room now, or else @planned. */
static struct wp_worker *
wp_find_sooner(struct wp_restorer *r, const struct wp_lost *lost,
    struct wp_worker *planned, int64_t *at_us)
{
	int64_t free_us;
	struct wp_worker *w = wp_find_room(r, lost, true, &free_us);

	if (w == NULL || free_us >= *at_us)
		return planned;
	*at_us = free_us;
	return w;
}

static void
wp_plan_lost(struct wp_restorer *r, const struct wp_lost *lost)
{
	struct wp_task *t = lost->task;
	struct wp_worker *w = t->held_on;
	int64_t at_us = INT64_MAX;

	/* One that an earlier owner may have started has been waited for. */
	if (t->state == WP_TASK_UNRECONCILED)
		t->restore_by_us = lost->from_us;
	if (t->state == WP_TASK_WAITING && t->restore_by_us == 0)
		t->restore_by_us = lost->from_us + WP_RESTORE_WAIT_US;
	if (w != NULL)
		at_us = wp_restored_us(r, lost, w, false);
	if (at_us > lost->from_us)
		w = wp_find_sooner(r, lost, w, &at_us);
	if (at_us > lost->from_us && wp_may_search(r, t, at_us)) {
		w = wp_find_room(r, lost, false, &at_us);
		t->held_on = w;
		if (wp_may_preempt_for(r, lost, at_us) && wp_make_room(r, lost))
			return;
	}
	if (w != NULL && at_us != INT64_MAX)
		wp_hold(r->pool, t, w, at_us);
}

void
wp_forget_holds(struct wp_pool *p)
{
	uint32_t i;

	for (i = 0; i < p->hold_count; i++) {
		struct wp_worker *w = p->hold[i].worker;

		w->holds = 0;
		w->held = (struct wp_resources){0};
	}
	p->hold_count = 0;
	p->restore_at_us = 0;
	wp_forget_lost_steps(p);
}

void
wp_lost_approved(struct wp_step *s)
{
	uint32_t i;

	for (i = 0; wp_lasts(s) && i < s->spec->count; i++) {
		struct wp_task *t = &s->task[i];

		if (t->state == WP_TASK_UNRECONCILED || wp_is_interrupted(t))
			wp_restore_soon(t);
	}
}

static int
wp_compare_lost(const void *a, const void *b)
{
	const struct wp_lost *x = a;
	const struct wp_lost *y = b;

	/* Else another one takes that room, and this one may stop no more. */
	if (x->has_made_room != y->has_made_room)
		return x->has_made_room ? -1 : 1;
	if (x->from_us != y->from_us)
		return x->from_us < y->from_us ? -1 : 1;
	return (x->order > y->order) - (x->order < y->order);
}

static void
wp_plan_all_lost(struct wp_restorer *r)
{
	struct wp_pool *p = r->pool;
	uint32_t i;

	if (p->hold == NULL)
		p->hold = talloc_array(p, struct wp_hold, WP_MAX_HOLDS);
	if (p->hold == NULL)
		abort();
	qsort(r->lost, r->lost_count, sizeof(*r->lost), wp_compare_lost);
	for (i = 0; i < r->lost_count && p->hold_count < WP_MAX_HOLDS; i++)
		wp_plan_lost(r, &r->lost[i]);
}

void
wp_restore_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_restorer r = {.pool = p, .now_us = now_us};

	if (now_us < p->restore_at_us)
		return;
	wp_forget_holds(p);
	p->restore_at_us = now_us + WP_RESTORE_INTERVAL_US;
	wp_list_lost(&r);
	if (r.lost_count > 0)
		wp_plan_all_lost(&r);
	talloc_free(r.lost);
	talloc_free(r.release);
}

void
wp_restore_soon(struct wp_task *t)
{
	if (!wp_lasts(t->step))
		return;
	t->search_at_us = 0;
	t->step->occ->job->pool->restore_at_us = 0;
}

static void
wp_note_restored(struct wp_task *t, int64_t now_us)
{
	struct wp_pool *p = t->step->occ->job->pool;
	int64_t waited_us = now_us - t->not_before_us;

	p->stats.restored++;
	if (waited_us > p->longest_restore_us)
		p->longest_restore_us = waited_us;
}

int64_t
wp_take_longest_restore_us(struct wp_pool *p)
{
	int64_t longest_us = p->longest_restore_us;

	p->longest_restore_us = 0;
	return longest_us;
}

/* A later owner has to know that the task has run. */
void
wp_restored(struct wp_task *t, int64_t now_us)
{
	/* 0: it hasn't run since it was loaded. */
	if (wp_lasts(t->step) && t->has_run && t->not_before_us > 0)
		wp_note_restored(t, now_us);
	t->restore_by_us = 0;
	t->preempt_at_us = 0;
	t->preempt_count = 0;
	if (!wp_lasts(t->step) || t->has_run)
		return;
	t->has_run = true;
	wp_mark_dirty(t->step->occ->job);
}
