#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* Unanswered orders in a row after which a worker receives no more tasks. */
#define WP_MAX_UNANSWERED_ORDERS 2
/*
 * While ownership is unconfirmed, a worker whose last answer is to an older
 * renewal receives no tasks. It may be longer between two renewals that wait.
 */
#define WP_TELLING_US (2 * CLK_US_PER_S)
/* Added to a worker's score for each task that a crash would cost. */
#define WP_RISK_PER_TASK 100.0
/* How often a step that can't start considers all workers. */
#define WP_FULL_SCAN_INTERVAL_US (100 * CLK_US_PER_MS)

/* Another incarnation may have another kind and capacity. */
static bool
wp_entry_is_current(const struct wp_worker *w)
{
	return w->listed_incarnation_ms == 0 ||
	    w->listed_incarnation_ms == w->incarnation_ms;
}

/*
 * The age of its report is measured on the worker's own clock, so that it does
 * not matter what delayed the report.
 */
bool
wp_knows_capacity(const struct wp_worker *w, int64_t now_us)
{
	return wp_entry_is_current(w) &&
	    (w->capacity_until_ms == 0 ||
		wp_worker_clock_ms(w, now_us) + WP_START_MARGIN_MS <=
		    w->capacity_until_ms);
}

bool
wp_is_usable(const struct wp_worker *w, int64_t now_us)
{
	return w->unanswered_orders < WP_MAX_UNANSWERED_ORDERS && w->listed &&
	    w->registered && !w->restart_unstored && !w->restart_seen &&
	    !w->unfenced && !w->closed && !w->unleased && w->token_accepted &&
	    w->reachable && !w->replied_late && wp_knows_capacity(w, now_us) &&
	    !w->draining && !w->evacuating && now_us >= w->quarantined_until_us;
}

/*
 * A worker that restarts forgets the tokens that it has seen, and its clock
 * starts anew, so that a deadline by its earlier clock does not keep it from
 * starting what an owner sends that has been superseded while it was paused. An
 * owner that may have been superseded relies only on workers that it knew before
 * and that have accepted its token since.
 */
bool
wp_would_tell(
    const struct wp_pool *p, const struct wp_worker *w, int64_t now_us)
{
	if (!p->ownership_unconfirmed)
		return true;
	return !w->new_to_owner &&
	    now_us - w->answered_renewal_us <= WP_TELLING_US;
}

struct wp_resources
wp_usable_capacity(const struct wp_pool *p, int64_t now_us)
{
	struct wp_resources sum = {0};
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp) {
		if (wp_is_usable(w, now_us))
			wp_resources_add(&sum, &w->capacity, 1);
	}
	return sum;
}

bool
wp_is_suitable(const struct wp_step *s, const struct wp_worker *w)
{
	const struct jb_step *spec = s->spec;

	if (spec->label != NULL && strcmp(spec->label, w->kind) != 0 &&
	    strcmp(spec->label, w->rack) != 0)
		return false;
	return spec->cpu_mcpu <= w->capacity.cpu_mcpu &&
	    spec->mem_mb <= w->capacity.mem_mb && spec->gpu <= w->capacity.gpu;
}

static uint32_t
wp_orphans_on(const struct wp_step *s, const struct wp_worker *w)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < w->orphan_count; i++)
		n += wp_is_of_step(s, &w->orphan[i]);
	return n;
}

static uint32_t
wp_tasks_on(const struct wp_step *s, const struct wp_worker *w)
{
	uint32_t n = wp_orphans_on(s, w) + wp_strays_on(s, w);
	uint32_t i;

	for (i = 0; i < s->spec->count; i++)
		n += s->task[i].worker == w;
	return n;
}

/* The task failed on that worker lately, and the worker may be the cause. */
bool
wp_avoids(const struct wp_task *t, const struct wp_worker *w, int64_t now_us)
{
	uint32_t i;

	if (now_us > t->avoid_until_us)
		return false;
	for (i = 0; i < t->avoided_count && i < WP_MAX_AVOIDED; i++) {
		if (t->avoided[i] == w)
			return true;
	}
	return false;
}

uint32_t
wp_slots_left(const struct wp_step *s, const struct wp_worker *w)
{
	uint32_t max = s->spec->max_per_worker;
	uint32_t placed;

	if (max == 0)
		return UINT32_MAX;
	placed = wp_tasks_on(s, w);
	return placed < max ? max - placed : 0;
}

bool
wp_has_acceptable_task(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		const struct wp_task *t = &s->task[i];

		if (t->state == WP_TASK_WAITING && !wp_avoids(t, w, now_us))
			return true;
	}
	return false;
}

bool
wp_may_start_on(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	if (!wp_is_usable(w, now_us) || !wp_is_suitable(s, w) ||
	    !wp_would_tell(s->occ->job->pool, w, now_us))
		return false;
	if (wp_needs_advice(s) && wp_ticket_valid(s, w, now_us) == NULL)
		return false;
	return wp_slots_left(s, w) > 0;
}

void
wp_scan_begin(
    struct wp_scan *scan, const struct wp_pool *p, const struct wp_step *s)
{
	scan->pool = p;
	scan->step = s;
	scan->worker = p->workers;
	scan->ticket = 0;
}

struct wp_worker *
wp_scan_next(struct wp_scan *scan)
{
	const struct wp_step *s = scan->step;
	struct wp_worker *w = scan->worker;

	if (!wp_needs_advice(s)) {
		if (w != NULL)
			scan->worker = w->hh.next;
		return w;
	}
	while (scan->ticket < s->ticket_count) {
		const struct wp_ticket *ticket = &s->ticket[scan->ticket++];

		if (ticket->approved)
			return scan->pool
			    ->worker_by_index[ticket->worker_index];
	}
	return NULL;
}

/* Lower is better. Fuller workers go first, so that whole workers stay free. */
static double
wp_score(const struct wp_step *s, const struct wp_worker *w, const char *rack)
{
	struct wp_resources left = wp_free_resources(w);
	double score;

	score = (double)left.cpu_mcpu / (double)(w->capacity.cpu_mcpu + 1);
	if (s->spec->gpu > 0)
		score = (double)left.gpu + score;
	if (s->spec->rack != NULL && strcmp(s->spec->rack, w->rack) != 0)
		score += 1000;
	if (rack != NULL && strcmp(rack, w->rack) != 0)
		score += 500;
	if (w->failures > 0)
		score += 50;
	return score;
}

/* The work of all tasks on a worker is lost if a suspected task crashes it. */
static double
wp_risk_score(const struct wp_task *t, const struct wp_worker *w)
{
	if (t->crash_count == 0)
		return 0;
	return WP_RISK_PER_TASK * wp_count_tasks(w);
}

/* @over_reservations: ignore those of less urgent gangs */
static bool
wp_has_resources_for(const struct wp_step *s, const struct wp_worker *w,
    bool over_reservations, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_resources available;

	if (over_reservations && wp_goes_before_reservation(s, w))
		available = wp_unheld(s, w, now_us);
	else
		available = wp_available_to(s, w, now_us);
	return wp_resources_fit(&available, &need);
}

static struct wp_worker *
wp_pick_worker(struct wp_pool *p, const struct wp_step *s,
    const struct wp_task *t, const char *rack, bool over_reservations,
    int64_t now_us, const char **ticket)
{
	struct wp_worker *best = NULL;
	double best_score = 0;
	struct wp_scan scan;
	struct wp_worker *w;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		double score;

		if (!wp_has_resources_for(s, w, over_reservations, now_us) ||
		    !wp_may_start_on(s, w, now_us) || wp_avoids(t, w, now_us) ||
		    !wp_may_share(p, t, w, now_us))
			continue;
		score = wp_score(s, w, rack) + wp_risk_score(t, w);
		if (best != NULL && score >= best_score)
			continue;
		best = w;
		best_score = score;
	}
	if (best != NULL && wp_needs_advice(s))
		*ticket = wp_ticket_valid(s, best, now_us);
	return best;
}

/* Rack of the first task placed, if all have to be in one rack, or NULL. */
static const char *
wp_common_rack(const struct wp_step *s)
{
	uint32_t i;

	if (!(s->spec->flags & JB_SAME_RACK))
		return NULL;
	for (i = 0; i < s->spec->count; i++) {
		if (s->task[i].worker != NULL)
			return s->task[i].worker->rack;
	}
	return NULL;
}

/* @others_wait: tasks without a crash wait for their siblings in this pass */
static bool
wp_may_start_task(const struct wp_pool *p, const struct wp_task *t,
    bool *others_wait, int64_t now_us)
{
	if (t->state != WP_TASK_WAITING || now_us < t->not_before_us ||
	    (*others_wait && t->crash_count == 0))
		return false;
	if (wp_may_restart(p, t, now_us))
		return true;
	/* It looks at all siblings, and would find the same for each of these. */
	if (t->crash_count == 0)
		*others_wait = true;
	return false;
}

static void
wp_start_step(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	bool interrupted_first = wp_has_interrupted_task(s, now_us);
	bool others_wait = false;
	uint32_t i;

	for (i = 0;
	     i < s->spec->count && s->waiting > 0 && sw_is_open(&p->starts);
	     i++) {
		struct wp_task *t = &s->task[i];
		const char *ticket = NULL;
		struct wp_worker *w;

		/* Their room is not for tasks that have never run. */
		if (interrupted_first && !wp_is_interrupted(t))
			continue;
		if (!wp_may_start_task(p, t, &others_wait, now_us))
			continue;
		w = wp_pick_worker(
		    p, s, t, wp_common_rack(s), false, now_us, &ticket);
		if (w == NULL)
			w = wp_pick_worker(
			    p, s, t, wp_common_rack(s), true, now_us, &ticket);
		if (w == NULL) {
			if (wp_is_isolated(t, now_us))
				continue;
			/* The next task may avoid other workers. */
			if (!wp_preempt_for(p, s, now_us) &&
			    t->avoided_count == 0)
				return;
			continue;
		}
		wp_task_place(p, t, w, wp_next_run(p, t), ticket, now_us);
	}
}

static uint32_t
wp_gang_run(const struct wp_pool *p, const struct wp_step *s)
{
	uint32_t run = 0;
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (wp_next_run(p, &s->task[i]) > run)
			run = wp_next_run(p, &s->task[i]);
	}
	return run;
}

static const char *
wp_gang_checkpoint(const struct wp_step *s)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		if (s->task[i].checkpoint != NULL)
			return s->task[i].checkpoint;
	}
	return NULL;
}

/* Worker and ticket for each member of a gang. */
struct wp_gang_plan {
	struct wp_worker **w;
	const char **ticket;
};

static bool
wp_plan_gang(struct wp_pool *p, struct wp_step *s, bool over_reservations,
    struct wp_gang_plan *plan, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	const char *rack = NULL;
	uint32_t placed;
	uint32_t i;

	for (placed = 0; placed < s->spec->count; placed++) {
		struct wp_worker *w;

		w = wp_pick_worker(p, s, &s->task[placed], rack,
		    over_reservations, now_us, &plan->ticket[placed]);
		plan->w[placed] = w;
		if (w == NULL)
			break;
		wp_resources_add(&w->used, &need, 1);
		/* So that wp_tasks_on() counts it while the plan is made. */
		s->task[placed].worker = w;
		if (rack == NULL && (s->spec->flags & JB_SAME_RACK))
			rack = w->rack;
	}
	for (i = 0; i < placed; i++) {
		wp_resources_add(&plan->w[i]->used, &need, -1);
		s->task[i].worker = NULL;
	}
	return placed == s->spec->count;
}

static void
wp_start_gang(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	struct wp_gang_plan plan;
	const char *checkpoint;
	uint32_t run;
	uint32_t i;

	if (s->waiting != s->spec->count)
		return;
	for (i = 0; i < s->spec->count; i++) {
		if (now_us < s->task[i].not_before_us ||
		    !wp_may_restart(p, &s->task[i], now_us))
			return;
	}
	plan.w = talloc_zero_array(NULL, struct wp_worker *, s->spec->count);
	plan.ticket = talloc_zero_array(plan.w, const char *, s->spec->count);
	if (plan.w == NULL || plan.ticket == NULL)
		abort();
	if (!wp_plan_gang(p, s, false, &plan, now_us) &&
	    !wp_plan_gang(p, s, true, &plan, now_us))
		goto out;
	run = wp_gang_run(p, s);
	checkpoint = wp_gang_checkpoint(s);
	for (i = 0; i < s->spec->count; i++) {
		wp_task_set_checkpoint(&s->task[i], checkpoint);
		wp_task_place(
		    p, &s->task[i], plan.w[i], run, plan.ticket[i], now_us);
	}
out:
	talloc_free(plan.w);
}

/* A scheduling pass; @changed are usable workers with new resources. */
struct wp_pass {
	struct wp_pool *pool;
	int64_t now_us;
	struct wp_worker **changed;
	uint32_t changed_count;
};

static void
wp_pass_begin(struct wp_pass *pass, struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	pass->pool = p;
	pass->now_us = now_us;
	pass->changed_count = 0;
	pass->changed =
	    talloc_array(p, struct wp_worker *, HASH_COUNT(p->workers) + 1);
	if (pass->changed == NULL)
		abort();
	HASH_ITER(hh, p->workers, w, tmp) {
		bool usable = wp_is_usable(w, now_us);

		memset(&w->reserved, 0, sizeof(w->reserved));
		if (usable && (w->freed || !w->was_usable))
			pass->changed[pass->changed_count++] = w;
		w->freed = false;
		w->was_usable = usable;
	}
}

/* Whether a step that could not start before may be able to do so now. */
static bool
wp_pass_may_start(const struct wp_pass *pass, const struct wp_step *s)
{
	uint32_t i;

	if (pass->now_us >= s->full_scan_at_us)
		return true;
	for (i = 0; i < pass->changed_count; i++) {
		const struct wp_worker *w = pass->changed[i];

		if (wp_has_resources_for(s, w, true, pass->now_us) &&
		    wp_may_start_on(s, w, pass->now_us))
			return true;
	}
	return false;
}

static bool
wp_has_place(struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_scan scan;
	struct wp_worker *w;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (wp_has_resources_for(s, w, true, now_us) &&
		    wp_may_start_on(s, w, now_us))
			return true;
	}
	return false;
}

static void
wp_pass_step(struct wp_pass *pass, struct wp_step *s)
{
	struct wp_job *job = s->occ->job;

	if (!wp_pass_may_start(pass, s))
		return;
	s->full_scan_at_us = pass->now_us + WP_FULL_SCAN_INTERVAL_US;
	if (job->deferred) {
		if (wp_has_place(pass->pool, s, pass->now_us))
			wp_defer_no_longer(pass->pool, job, pass->now_us);
		return;
	}
	if (s->spec->flags & JB_GANG)
		wp_start_gang(pass->pool, s, pass->now_us);
	else
		wp_start_step(pass->pool, s, pass->now_us);
	wp_step_update_lists(pass->pool, s);
}

void
wp_schedule(struct wp_pool *p, int64_t now_us)
{
	struct wp_pass pass;
	struct wp_step *s;
	struct wp_step *tmp;

	if (p->superseded || p->draining)
		return;
	p->stats.passes++;
	p->starts_delayed = false;
	wp_pass_begin(&pass, p, now_us);
	DL_FOREACH_SAFE(p->ready, s, tmp) {
		if (sw_is_open(&p->starts))
			wp_pass_step(&pass, s);
		if (!sw_is_open(&p->starts)) {
			p->starts_delayed = true;
			s->full_scan_at_us = 0;
		}
	}
	talloc_free(pass.changed);
}
