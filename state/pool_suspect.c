#include <utlist.h>

#include "state/pool_internal.h"

/*
 * Tasks under which a worker has or may have crashed.
 *
 * When a worker crashes, those that it had just started are suspected. Each
 * crash costs a worker for seconds and the work of all tasks on it, so a
 * suspected task starts where nothing else has just started, and nothing else
 * starts beside it until it has lived for a while: the next crash then tells
 * which task is the cause. Of a step's tasks, one at a time is tried.
 *
 * Where several other workers crash at the same moment, without a task of the
 * same job and without one that had just been started, the cause is another one:
 * the power of a rack, say. Such a crash tells nothing against a task, however
 * often it comes.
 */

/* A run that crashes its worker does so this soon after its start. */
#define WP_FRESH_US (250 * CLK_US_PER_MS)
/* A crash is noticed this much later, when a renewal is cut by it. */
#define WP_NOTICE_US (250 * CLK_US_PER_MS)
/* If no task was that fresh, one that has lived for less than this. */
#define WP_YOUNG_US (2 * CLK_US_PER_S)
/* Workers that fall silent within this time may have a cause in common. */
#define WP_TOGETHER_US (250 * CLK_US_PER_MS)
/* So many others make an outage, even if each had just started a task. */
#define WP_OUTAGE_WORKERS 6
/* So many others without a cause of their own excuse the task. */
#define WP_EXCUSING_WORKERS 2
/* A suspected task starts beside others so long after the crash. */
#define WP_TRIAL_PATIENCE_US (5 * CLK_US_PER_S)

int64_t
wp_lived_us(const struct wp_task *t)
{
	int64_t lived_us = t->worker->clock_read_us - t->started_us;

	return lived_us > 0 ? lived_us : 0;
}

/* A run of an earlier owner has lived for longer than it takes to crash. */
static bool
wp_may_be_cause(const struct wp_task *t)
{
	const struct wp_pool *p = t->step->occ->job->pool;

	return t->run > p->term * WP_RUNS_PER_TERM &&
	    (t->state == WP_TASK_STARTING || t->state == WP_TASK_RUNNING ||
		t->state == WP_TASK_STOPPING);
}

bool
wp_has_begun(const struct wp_task *t)
{
	return t->state == WP_TASK_RUNNING || t->confirmed_clock_ms > 0;
}

static bool
wp_is_fresh(const struct wp_worker *w, const struct wp_task *t)
{
	return wp_may_be_cause(t) && wp_lived_us(t) < WP_FRESH_US &&
	    (w->cut_at_us == 0 ||
		w->cut_at_us - t->started_us < WP_FRESH_US + WP_NOTICE_US);
}

static bool
wp_is_young(const struct wp_worker *w, const struct wp_task *t)
{
	(void)w;
	return wp_may_be_cause(t) && wp_lived_us(t) < WP_YOUNG_US;
}

typedef bool (*wp_suspect_fn)(
    const struct wp_worker *w, const struct wp_task *t);

static const struct wp_task *
wp_first_suspect(const struct wp_worker *w, wp_suspect_fn is_suspect)
{
	const struct wp_task *t;

	DL_FOREACH(w->tasks, t) {
		if (is_suspect(w, t))
			return t;
	}
	return NULL;
}

static bool
wp_fell_silent_together(
    const struct wp_worker *w, const struct wp_worker *other)
{
	int64_t apart_us = other->unreachable_since_us - w->cut_at_us;

	return other != w && other->unreachable_since_us != 0 &&
	    apart_us > -WP_TOGETHER_US && apart_us < WP_TOGETHER_US;
}

/* Whether a worker had just started a task, which then may be the cause. */
static bool
wp_has_own_cause(const struct wp_worker *w)
{
	if (w->cut_at_us == 0 || w->blame == WP_BLAME_OTHERS)
		return false;
	return w->blame == WP_BLAME_FRESH ||
	    wp_first_suspect(w, wp_is_fresh) != NULL;
}

static bool
wp_runs_gang(const struct wp_worker *w, const struct wp_step *step)
{
	const struct wp_task *t;

	DL_FOREACH(w->tasks, t) {
		if (t->step == step && (step->spec->flags & JB_GANG))
			return true;
	}
	return false;
}

/* Whether a crash may be one of many with a cause in common. */
static bool
wp_is_part_of_outage(const struct wp_pool *p, const struct wp_worker *w,
    const struct wp_step *suspect)
{
	const struct wp_worker *other;
	uint32_t n = 0;

	for (other = p->workers; other != NULL; other = other->hh.next) {
		if (!wp_fell_silent_together(w, other) ||
		    wp_runs_gang(other, suspect))
			continue;
		n++;
		if (n >= WP_OUTAGE_WORKERS || !wp_has_own_cause(other))
			return true;
	}
	return false;
}

static bool
wp_runs_job(const struct wp_worker *w, const struct wp_job *job)
{
	const struct wp_task *t;

	DL_FOREACH(w->tasks, t) {
		if (t->step->occ->job == job)
			return true;
	}
	return false;
}

/* Whether another worker's crash can't be the doing of a job, or of its own tasks. */
static bool
wp_crashed_beside(const struct wp_worker *w, const struct wp_worker *other,
    const struct wp_job *job)
{
	int64_t apart_us = other->fell_silent_us - w->fell_silent_us;

	return other != w && other->fell_silent_us != 0 &&
	    apart_us > -WP_TOGETHER_US && apart_us < WP_TOGETHER_US &&
	    !wp_has_own_cause(other) && !wp_runs_job(other, job);
}

static bool
wp_is_excused(
    const struct wp_pool *p, const struct wp_worker *w, const struct wp_task *t)
{
	const struct wp_job *job = t->step->occ->job;
	const struct wp_worker *other;
	uint32_t n = 0;

	if (w->fell_silent_us == 0 || w->cut_at_us == 0 || wp_is_fresh(w, t))
		return false;
	for (other = p->workers; other != NULL; other = other->hh.next)
		n += wp_crashed_beside(w, other, job);
	return n >= WP_EXCUSING_WORKERS;
}

static uint32_t
wp_weigh_crash(const struct wp_pool *p, const struct wp_worker *w,
    const struct wp_task *suspect)
{
	const struct wp_job *job = suspect->step->occ->job;
	const struct wp_task *t;

	if (w->cut_at_us == 0 || wp_is_part_of_outage(p, w, suspect->step))
		return WP_CRASH_OUTAGE;
	DL_FOREACH(w->tasks, t) {
		if (wp_is_fresh(w, t) && t->step->occ->job != job)
			return WP_CRASH_SHARED;
	}
	return WP_CRASH_SOLE;
}

void
wp_suspect_tasks(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	wp_suspect_fn is_suspect = wp_is_fresh;
	uint32_t weight = WP_CRASH_OUTAGE;
	const struct wp_task *first;
	struct wp_task *t;

	/* It leaves as planned, or is dealt with already. */
	if (w->draining || w->evacuating || w->blame != WP_BLAME_UNKNOWN)
		return;
	first = wp_first_suspect(w, wp_is_fresh);
	if (first == NULL)
		is_suspect = wp_is_young;
	else
		weight = wp_weigh_crash(p, w, first);
	w->blame = first != NULL ? WP_BLAME_FRESH : WP_BLAME_OTHERS;
	DL_FOREACH(w->tasks, t) {
		if (wp_is_excused(p, w, t))
			t->excused_run = t->run;
		else if (is_suspect(w, t))
			wp_crash_suspect(p, t, w,
			    wp_has_begun(t) ? weight : WP_CRASH_UNSURE, now_us);
	}
}

static bool
wp_is_just_started(const struct wp_task *t, int64_t now_us)
{
	return t->worker != NULL && now_us - t->started_us < WP_TRIAL_US;
}

/* Whether a sibling is tried, or has to be tried first. */
static bool
wp_blocks_sibling(const struct wp_pool *p, const struct wp_task *other,
    const struct wp_task *t, int64_t now_us)
{
	if (other == t || other->crash_count == 0)
		return false;
	if (other->state == WP_TASK_WAITING)
		return t->crash_count == 0 ||
		    !wp_crashes_allow_start(p, other, now_us);
	return other->worker != NULL;
}

bool
wp_may_restart(const struct wp_pool *p, const struct wp_task *t, int64_t now_us)
{
	const struct wp_step *s = t->step;
	uint32_t i;

	if (s->suspects == 0)
		return true;
	if (!wp_crashes_allow_start(p, t, now_us))
		return false;
	if (s->trial_passed || (s->spec->flags & JB_GANG))
		return true;
	for (i = 0; i < s->spec->count; i++) {
		if (wp_blocks_sibling(p, &s->task[i], t, now_us))
			return false;
	}
	return true;
}

uint32_t
wp_startable_count(const struct wp_step *s)
{
	if (s->suspects == 0 || s->trial_passed || s->waiting == 0 ||
	    (s->spec->flags & JB_GANG))
		return s->waiting;
	return 1;
}

bool
wp_is_isolated(const struct wp_task *t, int64_t now_us)
{
	return t->crash_count > 0 &&
	    now_us <
	    t->crash[t->crash_count - 1].made_us + WP_TRIAL_PATIENCE_US;
}

bool
wp_may_share(const struct wp_pool *p, const struct wp_task *t,
    const struct wp_worker *w, int64_t now_us)
{
	bool isolated = wp_is_isolated(t, now_us);
	const struct wp_task *other;

	if (p->suspects == NULL)
		return true;
	DL_FOREACH(w->tasks, other) {
		if (other->step->occ->job != t->step->occ->job &&
		    wp_is_just_started(other, now_us) &&
		    (isolated || other->crash_count > 0))
			return false;
	}
	return true;
}
