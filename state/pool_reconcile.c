#include <stdlib.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * Which workers may run something for an earlier owner, and which tasks.
 *
 * Each owner keeps a registry of the workers that may run something in the
 * store. A worker that is to receive no tasks for now is closed: from the
 * moment at which the registry that says so may be stored, it receives none, so
 * the tasks that the registry names for it are all that may be on it. It
 * receives tasks again after a registry that opens it is known to be stored.
 * While a closed worker does not respond to the next owner, only these tasks
 * wait for its lease to expire; an open one holds all tasks.
 */

/* A worker that is unreachable for so long is closed. */
#define WP_CLOSE_UNREACHABLE_US (500 * CLK_US_PER_MS)
/* Tasks that the registry names for one worker, and for all. */
#define WP_MAX_CLOSED_TASKS 64
#define WP_MAX_REGISTRY_TASKS 4096
/* When the registry had no room for a worker's tasks. */
#define WP_CLOSE_RETRY_US (CLK_US_PER_S)
/* Between registries that are stored only to close workers. */
#define WP_CLOSE_INTERVAL_US (500 * CLK_US_PER_MS)

bool
wp_is_holding(const struct wp_worker *w, int64_t now_us)
{
	if (w->has_unlisted_ends)
		return now_us < wp_lease_expiry_us(w);
	return !w->token_accepted && now_us < wp_inherited_lease_until_us(w);
}

/* Whether a worker can't be given tasks for now. */
static bool
wp_is_out_of_use(const struct wp_worker *w, int64_t now_us)
{
	if (!w->listed || w->draining || w->evacuating || w->unfenced ||
	    w->restart_seen)
		return true;
	if (w->closed && !w->token_accepted)
		return true;
	return w->unreachable_since_us != 0 &&
	    now_us - w->unreachable_since_us >= WP_CLOSE_UNREACHABLE_US;
}

/*
 * Whether the tasks on a worker are all that a later owner has to know of. Else
 * it may run more: a run whose end is read but not stored is not among them any
 * more, and a run of an unknown job never was.
 */
static bool
wp_knows_all_runs(const struct wp_worker *w, int64_t now_us)
{
	return !wp_is_holding(w, now_us) && w->unacked_count == 0 &&
	    !w->has_unknown_run && w->orphan_count == 0;
}

static bool
wp_may_close(const struct wp_worker *w, int64_t now_us)
{
	if (!wp_is_out_of_use(w, now_us))
		return false;
	if (w->closed)
		return true;
	return now_us >= w->close_at_us && wp_knows_all_runs(w, now_us) &&
	    wp_count_tasks(w) <= WP_MAX_CLOSED_TASKS;
}

/* Its lease has expired, so its tasks no longer have to wait. */
static bool
wp_has_stale_list(const struct wp_worker *w, int64_t now_us)
{
	return w->closed && w->closed_task_count > 0 && w->tasks == NULL &&
	    wp_knows_all_runs(w, now_us);
}

void
wp_close_tick(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	bool may_close = wp_may_close(w, now_us);
	bool opens = w->closed && !w->opening && !may_close;
	bool closes = (!w->closed && may_close) || wp_has_stale_list(w, now_us);

	if (!w->registered)
		return;
	if (opens || (closes && now_us >= p->close_at_us))
		p->registry_dirty = true;
}

static void
wp_list_closed_tasks(struct wp_worker *w)
{
	const struct wp_task *t;

	w->closed_task = talloc_realloc(
	    w, w->closed_task, struct jb_ref, wp_count_tasks(w) + 1);
	if (w->closed_task == NULL)
		abort();
	w->closed_task_count = 0;
	DL_FOREACH(w->tasks, t)
		wp_task_ref(t, &w->closed_task[w->closed_task_count++]);
}

/* @room: further tasks that the registry may name */
static void
wp_registry_add(struct wp_worker *w, uint32_t *room, int64_t now_us)
{
	w->opening = !wp_may_close(w, now_us);
	if (w->opening)
		return;
	if (wp_knows_all_runs(w, now_us))
		wp_list_closed_tasks(w);
	if (w->closed_task_count > *room) {
		w->close_at_us = now_us + WP_CLOSE_RETRY_US;
		w->opening = true;
		return;
	}
	w->closed = true;
	*room -= w->closed_task_count;
}

void
wp_registry_begin(struct wp_pool *p, int64_t now_us)
{
	uint32_t room = WP_MAX_REGISTRY_TASKS;
	struct wp_worker *w;
	struct wp_worker *tmp;

	p->registry_dirty = false;
	wp_defer_begin(p, now_us);
	p->close_at_us = now_us + WP_CLOSE_INTERVAL_US;
	HASH_ITER(hh, p->workers, w, tmp) {
		w->registering = wp_needs_registration(w, now_us);
		wp_restart_registering(w, now_us);
		/* The store may have it long before this owner knows. */
		if (!w->registering)
			w->registered = false;
		else
			wp_registry_add(w, &room, now_us);
		wp_unleased_begin(w, now_us);
	}
}

void
wp_registry_end(struct wp_pool *p, uint64_t revision)
{
	struct wp_worker *w;
	struct wp_worker *tmp;

	wp_defer_end(p);
	HASH_ITER(hh, p->workers, w, tmp) {
		w->registered = w->registering;
		if (w->registered)
			wp_restart_registered(w, revision);
		if (w->registered && w->opening)
			w->closed = false;
		wp_unleased_end(w);
	}
}

void
wp_close_registered_worker(struct wp_pool *p, const char *id,
    const struct jb_ref *task, uint32_t task_count)
{
	struct wp_worker *w = wp_find_worker(p, id);
	uint32_t i;

	if (w == NULL)
		return;
	w->closed = true;
	w->closed_task =
	    talloc_realloc(w, w->closed_task, struct jb_ref, task_count + 1);
	if (w->closed_task == NULL)
		abort();
	for (i = 0; i < task_count; i++)
		w->closed_task[i] = task[i];
	w->closed_task_count = task_count;
}

static void
wp_hold_closed_tasks(struct wp_pool *p, struct wp_worker *w)
{
	uint32_t i;

	for (i = 0; i < w->closed_task_count; i++) {
		struct wp_task *t = wp_find_task(p, &w->closed_task[i]);

		if (t != NULL)
			t->held_in_pass = p->reconcile_pass;
	}
}

/* Its worker lists an older run, which is being stopped. */
static bool
wp_hold_orphans(struct wp_pool *p, const struct wp_worker *w)
{
	bool holding = false;
	uint32_t i;

	for (i = 0; i < w->orphan_count; i++) {
		struct wp_task *t = wp_find_task(p, &w->orphan[i]);

		if (t == NULL || t->state != WP_TASK_UNRECONCILED ||
		    wp_may_run_copies(t))
			continue;
		t->held_in_pass = p->reconcile_pass;
		holding = true;
	}
	return holding;
}

static void
wp_requeue_step(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		struct wp_task *t = &s->task[i];

		if (t->state == WP_TASK_UNRECONCILED &&
		    t->held_in_pass != p->reconcile_pass)
			wp_task_requeue(t,
			    now_us > t->not_before_us ? now_us
						      : t->not_before_us);
	}
}

static void
wp_requeue_unreconciled(struct wp_job *job, int64_t now_us)
{
	uint32_t k;
	uint32_t i;

	for (k = 0; k < jb_occurrences(job->spec); k++) {
		struct wp_occurrence *occ = job->occ[k];

		for (i = 0; occ != NULL && i < job->spec->step_count; i++)
			wp_requeue_step(job->pool, &occ->step[i], now_us);
	}
}

void
wp_reconcile_tick(struct wp_pool *p, int64_t now_us)
{
	struct wp_worker *w;
	struct wp_worker *tmp;
	struct wp_job *job;
	struct wp_job *next;
	bool holding = false;

	if (p->reconciled || p->ownership_unconfirmed)
		return;
	wp_copy_unreconciled(p, now_us);
	p->reconcile_pass++;
	HASH_ITER(hh, p->workers, w, tmp) {
		holding |= wp_hold_orphans(p, w);
		if (!wp_is_holding(w, now_us))
			continue;
		if (!w->closed)
			return;
		holding = true;
		wp_hold_closed_tasks(p, w);
	}
	p->reconciled = !holding;
	HASH_ITER(hh, p->jobs, job, next)
		wp_requeue_unreconciled(job, now_us);
}
