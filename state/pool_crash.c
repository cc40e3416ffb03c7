#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * What is known of workers that crashed under a task: which crashes have
 * happened, which are only suspected, and when a job fails because of them.
 *
 * A crash is suspected when a worker falls silent soon after it started the
 * task. It is open until the worker answers again, which refutes it, or its
 * incarnation has ended. It is then certain if the worker had confirmed the
 * start. A worker that is only silent, or refuses connections, may as well be
 * partitioned.
 */

#define WP_CHECK_INTERVAL_US (100 * CLK_US_PER_MS)
/* How long the outcome of a suspected crash is awaited. */
#define WP_OPEN_CRASH_US (6 * CLK_US_PER_S)
/* A run that has lived for so long does not crash its worker. */
#define WP_CLEARED_US (2 * CLK_US_PER_S)
/* A job does not fail because of fewer crashes under a task of it. */
#define WP_MIN_CRASHES 2
/* It does when they tell so much against the task, or are so many. */
#define WP_MAX_WEIGHT 5
#define WP_MAX_CERTAIN_CRASHES 4
/* The same for a job of an earlier owner, which may not have stored some. */
#define WP_MAX_INHERITED_CRASHES 3
/* Workers that may crash while they run a task, suspected or not. */
#define WP_MAX_CRASHED_WORKERS 4
/* A run that has lived for so long is not counted for its worker's crash. */
#define WP_COUNTED_LIFE_US (10 * CLK_US_PER_S)

static const char *const wp_crash_kind_names[] = {
    [WP_CRASH_SUSPECTED] = "suspected",
    [WP_CRASH_CONFIRMED] = "confirmed",
    [WP_CRASH_REFUTED] = "refuted",
    [WP_CRASH_GIVEN_UP] = "given_up",
};

const char *
wp_crash_kind_name(enum wp_crash_kind kind)
{
	return wp_crash_kind_names[kind];
}

struct wp_crash_event *
wp_next_crash_event(struct wp_pool *p)
{
	struct wp_crash_event *e = p->crash_events;

	if (e != NULL)
		DL_DELETE(p->crash_events, e);
	return e;
}

static bool
wp_is_certain(const struct jb_crash *c)
{
	return c->ended && c->weight > WP_CRASH_UNSURE;
}

uint32_t
wp_certain_crashes(const struct wp_task *t)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < t->crash_count; i++)
		n += wp_is_certain(&t->crash[i]);
	return n;
}

static uint32_t
wp_weight_of_crashes(const struct wp_task *t)
{
	uint32_t sum = 0;
	uint32_t i;

	for (i = 0; i < t->crash_count; i++) {
		if (t->crash[i].ended)
			sum += t->crash[i].weight;
	}
	return sum;
}

static uint32_t
wp_open_crashes(const struct wp_task *t, int64_t now_us)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < t->crash_count; i++) {
		n += !t->crash[i].ended &&
		    now_us < t->crash[i].made_us + WP_OPEN_CRASH_US;
	}
	return n;
}

/* Whether a later owner would know of a task's crashes. */
static bool
wp_crashes_are_stored(const struct wp_pool *p, const struct wp_job *job)
{
	return !job->crash_unstored && p->commits >= job->crash_commit;
}

bool
wp_crashes_allow_start(
    const struct wp_pool *p, const struct wp_task *t, int64_t now_us)
{
	uint32_t open = wp_open_crashes(t, now_us);

	if (t->crash_count >= WP_MAX_CRASHES ||
	    (t->crash_count >= WP_MIN_CRASHES &&
		!wp_crashes_are_stored(p, t->step->occ->job)))
		return false;
	return open == 0 || wp_certain_crashes(t) + open < WP_MIN_CRASHES;
}

static void
wp_queue_crash_event(struct wp_pool *p, enum wp_crash_kind kind,
    const struct wp_task *t, const struct jb_crash *crash)
{
	struct wp_crash_event *e = talloc_zero(p, struct wp_crash_event);

	if (e == NULL)
		abort();
	e->kind = kind;
	e->crash = *crash;
	e->crash.worker = tx_dup(e, crash->worker);
	e->crashes = wp_certain_crashes(t);
	wp_task_ref(t, &e->ref);
	DL_APPEND(p->crash_events, e);
}

static struct jb_crash *
wp_find_crash(const struct wp_task *t, uint32_t run)
{
	uint32_t i;

	for (i = 0; i < t->crash_count; i++) {
		if (t->crash[i].run == run)
			return &t->crash[i];
	}
	return NULL;
}

/* The place of a step depends on whether it has suspects. */
static void
wp_count_suspect(struct wp_pool *p, struct wp_step *s, int change)
{
	bool had_suspects = s->suspects > 0;

	s->suspects += (uint32_t)change;
	if (s->prev == NULL || had_suspects == (s->suspects > 0))
		return;
	wp_step_unlist(p, s);
	wp_step_update_lists(p, s);
}

static bool
wp_remember_crash(
    struct wp_pool *p, struct wp_task *t, const struct jb_crash *crash)
{
	if (t->crash_count == WP_MAX_CRASHES ||
	    wp_find_crash(t, crash->run) != NULL)
		return false;
	if (t->crash == NULL)
		t->crash = talloc_zero_array(
		    t->step->occ, struct jb_crash, WP_MAX_CRASHES);
	if (t->crash == NULL)
		abort();
	if (t->crash_count == 0) {
		DL_APPEND2(p->suspects, t, crash_prev, crash_next);
		wp_count_suspect(p, t->step, 1);
	}
	t->crash[t->crash_count++] = *crash;
	return true;
}

void
wp_crash_restore(struct wp_pool *p, struct wp_task *t,
    const struct jb_crash *stored, int64_t now_us)
{
	struct jb_crash crash = *stored;

	crash.worker = tx_dup(t->step->occ, stored->worker);
	crash.made_us = now_us;
	wp_remember_crash(p, t, &crash);
}

/* It has to be stored before the task starts again. */
static void
wp_crash_changed(struct wp_task *t)
{
	struct wp_job *job = t->step->occ->job;

	job->crash_unstored = true;
	wp_mark_dirty(job);
}

void
wp_crash_suspect(struct wp_pool *p, struct wp_task *t,
    const struct wp_worker *w, uint32_t weight, int64_t now_us)
{
	struct jb_crash *known = wp_find_crash(t, t->run);
	struct jb_crash crash = {
	    .run = t->run,
	    .worker = w->id,
	    .incarnation_ms = w->incarnation_ms,
	    .weight = weight,
	    .made_us = now_us,
	};

	if (known != NULL && known->weight < weight)
		*known = crash;
	else if (!wp_remember_crash(p, t, &crash))
		return;
	t->step->trial_passed = false;
	wp_crash_changed(t);
	wp_queue_crash_event(p, WP_CRASH_SUSPECTED, t, &crash);
}

static void
wp_drop_crash(struct wp_pool *p, struct wp_task *t, uint32_t i)
{
	t->crash_count--;
	memmove(&t->crash[i], &t->crash[i + 1],
	    (t->crash_count - i) * sizeof(*t->crash));
	if (t->crash_count > 0)
		return;
	DL_DELETE2(p->suspects, t, crash_prev, crash_next);
	wp_count_suspect(p, t->step, -1);
}

void
wp_crash_forget(struct wp_pool *p, struct wp_task *t)
{
	while (t->crash_count > 0)
		wp_drop_crash(p, t, t->crash_count - 1);
}

void
wp_crash_retract(
    struct wp_pool *p, struct wp_task *t, const struct wp_worker *w)
{
	const struct jb_crash *c = wp_find_crash(t, t->run);

	if (c == NULL || c->ended || strcmp(c->worker, w->id) != 0)
		return;
	wp_drop_crash(p, t, (uint32_t)(c - t->crash));
	wp_crash_changed(t);
}

static uint32_t
wp_max_certain_crashes(const struct wp_job *job)
{
	return job->inherited ? WP_MAX_INHERITED_CRASHES
			      : WP_MAX_CERTAIN_CRASHES;
}

static bool
wp_is_cause(const struct wp_task *t)
{
	uint32_t certain = wp_certain_crashes(t);
	uint32_t i;

	if (t->crashed_workers >= WP_MAX_CRASHED_WORKERS)
		return true;
	if (certain >= WP_MIN_CRASHES &&
	    (certain >= wp_max_certain_crashes(t->step->occ->job) ||
		wp_weight_of_crashes(t) >= WP_MAX_WEIGHT))
		return true;
	/* It can't be started any more, so nothing else will be learned. */
	for (i = 0; i < t->crash_count; i++) {
		if (!t->crash[i].ended)
			return false;
	}
	return t->crash_count == WP_MAX_CRASHES;
}

void
wp_check_crashes(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	struct wp_job *job = t->step->occ->job;
	struct jb_crash last = {.run = t->run, .worker = ""};

	if (job->final_state != JB_PENDING || jb_has_ended(job->state) ||
	    !wp_is_cause(t))
		return;
	p->stats.given_up++;
	if (t->crash_count > 0)
		last = t->crash[t->crash_count - 1];
	wp_queue_crash_event(p, WP_CRASH_GIVEN_UP, t, &last);
	wp_job_stop(p, job, JB_FAILED, now_us);
}

void
wp_count_crashed_worker(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;

	if (w->draining || w->evacuating)
		return;
	DL_FOREACH(w->tasks, t) {
		if (!wp_has_begun(t) || t->excused_run == t->run ||
		    wp_lived_us(t) >= WP_COUNTED_LIFE_US)
			continue;
		t->crashed_workers++;
		wp_crash_changed(t);
		wp_check_crashes(p, t, now_us);
	}
}

/* Else a few crashes in months would add up. */
void
wp_crash_lived(struct wp_task *t)
{
	if (t->crashed_workers == 0 || t->state != WP_TASK_RUNNING ||
	    wp_lived_us(t) < WP_COUNTED_LIFE_US)
		return;
	t->crashed_workers = 0;
	wp_crash_changed(t);
}

enum wp_verdict {
	WP_VERDICT_OPEN,
	WP_VERDICT_CRASHED,
	WP_VERDICT_ALIVE,
};

/* Whether the incarnation of a worker that a run was on has ended. */
static enum wp_verdict
wp_crash_verdict(struct wp_pool *p, const struct jb_crash *c)
{
	const struct wp_worker *w = wp_find_worker(p, c->worker);
	const struct wp_worker *next;

	if (w == NULL)
		return WP_VERDICT_OPEN;
	if (w->replaced ||
	    (w->incarnation_ms != 0 && w->incarnation_ms != c->incarnation_ms))
		return WP_VERDICT_CRASHED;
	if (w->incarnation_ms != 0 && w->reachable &&
	    w->clock_read_us >= c->made_us)
		return WP_VERDICT_ALIVE;
	if (w->vm[0] == '\0')
		return WP_VERDICT_OPEN;
	next = wp_find_worker_on_vm(p, w->vm);
	if (next != NULL && next->incarnation_ms > c->incarnation_ms)
		return WP_VERDICT_CRASHED;
	return WP_VERDICT_OPEN;
}

static void
wp_settle_crash(
    struct wp_pool *p, struct wp_task *t, uint32_t i, int64_t now_us)
{
	struct jb_crash *c = &t->crash[i];

	switch (wp_crash_verdict(p, c)) {
	case WP_VERDICT_OPEN:
		/* Its worker may never return, and no other run can tell. */
		if (t->crash_count < WP_MAX_CRASHES ||
		    now_us < c->made_us + WP_OPEN_CRASH_US)
			return;
		wp_drop_crash(p, t, i);
		wp_crash_changed(t);
		return;
	case WP_VERDICT_CRASHED:
		c->ended = true;
		p->stats.crashes++;
		wp_queue_crash_event(p, WP_CRASH_CONFIRMED, t, c);
		wp_crash_changed(t);
		wp_check_crashes(p, t, now_us);
		return;
	case WP_VERDICT_ALIVE:
		wp_queue_crash_event(p, WP_CRASH_REFUTED, t, c);
		wp_drop_crash(p, t, i);
		wp_crash_changed(t);
		return;
	}
}

/* A run that lives lets its siblings start, and clears its task later. */
static void
wp_check_survival(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	if (t->state != WP_TASK_RUNNING || !t->worker->reachable)
		return;
	if (now_us - t->started_us >= WP_TRIAL_US)
		t->step->trial_passed = true;
	if (wp_lived_us(t) < WP_CLEARED_US)
		return;
	wp_crash_changed(t);
	wp_crash_forget(p, t);
}

void
wp_crash_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	if (now_us < p->crashes_checked_us + WP_CHECK_INTERVAL_US)
		return;
	p->crashes_checked_us = now_us;
	DL_FOREACH_SAFE2(p->suspects, t, tmp, crash_next)
	{
		const struct wp_job *job = t->step->occ->job;
		uint32_t i = t->crash_count;

		if (jb_has_ended(job->state)) {
			wp_crash_forget(p, t);
			continue;
		}
		if (job->final_state != JB_PENDING)
			continue;
		while (i-- > 0) {
			if (!t->crash[i].ended)
				wp_settle_crash(p, t, i, now_us);
		}
		wp_check_survival(p, t, now_us);
	}
}
