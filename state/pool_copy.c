#include <utlist.h>

#include "state/pool_internal.h"

/* A worker that is unreachable for so long may be partitioned. */
#define WP_COPY_UNREACHABLE_US (300 * CLK_US_PER_MS)
/* Workers that a new owner can reach answer it within this time. */
#define WP_COPY_UNRECONCILED_US (400 * CLK_US_PER_MS)

bool
wp_may_run_copies(const struct wp_task *t)
{
	uint32_t flags = t->step->spec->flags;

	return (flags & JB_SPECULATIVE) &&
	    !(flags & (JB_GANG | JB_LONG_RUNNING)) &&
	    t->step->occ->job->final_state == JB_PENDING;
}

bool
wp_is_spare_copy(const struct wp_task *t, uint32_t run)
{
	return wp_may_run_copies(t) && run < t->run &&
	    (t->state == WP_TASK_STARTING || t->state == WP_TASK_RUNNING);
}

/* Its run may go on there, so lists that were made before it began are outdated. */
static void
wp_leave_run(struct wp_worker *w, const struct wp_task *t)
{
	if (w->lists_clock_ms <= t->confirmed_clock_ms)
		w->lists_clock_ms = t->confirmed_clock_ms + 1;
}

/*
 * For network partitions: a copy does not have to wait until the worker's lease
 * expires. The worker receives no new tasks until it has reported its runs.
 */
void
wp_copy_unreachable(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	if (w->reachable || w->unreachable_since_us == 0 ||
	    now_us - w->unreachable_since_us < WP_COPY_UNREACHABLE_US)
		return;
	wp_suspect_tasks(p, w, now_us);
	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		if (t->state != WP_TASK_RUNNING || t->in_doubt ||
		    !wp_may_run_copies(t))
			continue;
		p->stats.displaced++;
		wp_leave_run(w, t);
		wp_task_requeue(t, now_us);
	}
}

static void
wp_copy_unreconciled_step(struct wp_step *s, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++) {
		struct wp_task *t = &s->task[i];

		if (t->state == WP_TASK_UNRECONCILED && wp_may_run_copies(t))
			wp_task_requeue(t, now_us);
	}
}

/* For takeovers while workers are partitioned from the new owner. */
void
wp_copy_unreconciled(struct wp_pool *p, int64_t now_us)
{
	struct wp_job *job;
	struct wp_job *next;
	uint32_t k;
	uint32_t i;

	if (now_us - p->first_tick_us < WP_COPY_UNRECONCILED_US)
		return;
	HASH_ITER(hh, p->jobs, job, next) {
		if (jb_has_ended(job->state))
			continue;
		for (k = 0; k < jb_occurrences(job->spec); k++) {
			for (i = 0; i < job->spec->step_count; i++)
				wp_copy_unreconciled_step(
				    &job->occ[k]->step[i], now_us);
		}
	}
}
