#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

#define WP_QUARANTINE_US (4 * CLK_US_PER_S)
/* Failures in a row, of different jobs, after which a worker is quarantined. */
#define WP_QUARANTINE_FAILURES 2
/* A task without progress for less time than this is not stalled. */
#define WP_MIN_STALL_US (1500 * CLK_US_PER_MS)
/* A task is stalled after the time that this many percent of it take. */
#define WP_STALL_PERCENTS 5
/* A task is not moved more often: it may be the cause itself. */
#define WP_MAX_STRAGGLER_MOVES 2
/* Completed runs of a step that tell how long one usually takes. */
#define WP_SLOW_MIN_SIBLINGS 3
/* Time to stop a task and start it elsewhere. */
#define WP_MOVE_COST_US (300 * CLK_US_PER_MS)

void
wp_record_worker_failure(
    struct wp_worker *w, const struct jb_ref *ref, int64_t now_us)
{
	/* Failures of one job alone may be the job's fault. */
	if (strcmp(w->last_failed_job, ref->job) == 0)
		return;
	memcpy(w->last_failed_job, ref->job, sizeof(w->last_failed_job));
	w->failures++;
	if (w->failures >= WP_QUARANTINE_FAILURES) {
		w->quarantined_until_us = now_us + WP_QUARANTINE_US;
		w->failures = WP_QUARANTINE_FAILURES - 1;
	}
}

/* How long a task may go without progress, judged by its progress so far. */
static int64_t
wp_stall_timeout_us(const struct wp_task *t)
{
	int64_t estimate_us = t->step->spec->estimate_ms * CLK_US_PER_MS;
	int64_t percent_us = estimate_us / 100;

	if (t->percent > 0)
		percent_us = (t->progressed_us - t->started_us) / t->percent;
	if (percent_us * WP_STALL_PERCENTS > WP_MIN_STALL_US)
		return percent_us * WP_STALL_PERCENTS;
	return WP_MIN_STALL_US;
}

/* Whether slow progress of a task can be blamed on its worker. */
static bool
wp_may_be_moved(const struct wp_task *t)
{
	return t->state == WP_TASK_RUNNING && t->pace == WP_FULL_PACE &&
	    t->straggler_moves < WP_MAX_STRAGGLER_MOVES &&
	    !(t->step->spec->flags &
		(JB_LONG_RUNNING | JB_GANG | JB_OPPORTUNISTIC));
}

/* The worker's replies show no progress of a task that is not throttled. */
static bool
wp_is_stalled(const struct wp_worker *w, const struct wp_task *t)
{
	return w->clock_read_us - t->progressed_us > wp_stall_timeout_us(t);
}

/*
 * All tasks of a step are alike. A task is on a slow worker when it has more
 * time left than a new run elsewhere would take in all.
 */
static bool
wp_is_slow(const struct wp_worker *w, const struct wp_task *t)
{
	const struct wp_step *s = t->step;
	int64_t elapsed_us = w->clock_read_us - t->started_us;
	int64_t percent = t->percent > 0 ? t->percent : 1;
	int64_t remaining_us = elapsed_us * 100 / percent - elapsed_us;
	int64_t usual_us;

	if (s->completed_count < WP_SLOW_MIN_SIBLINGS ||
	    s->completed_count * 2 < s->spec->count)
		return false;
	usual_us = s->completed_us / s->completed_count;
	return elapsed_us > usual_us * 3 / 2 &&
	    remaining_us > usual_us + WP_MOVE_COST_US;
}

/* For workers that answer, but whose tasks make no progress or are slow. */
void
wp_move_stragglers(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		struct jb_ref ref;

		if (!wp_may_be_moved(t) ||
		    (!wp_is_stalled(w, t) && !wp_is_slow(w, t)))
			continue;
		wp_task_ref(t, &ref);
		wp_record_worker_failure(w, &ref, now_us);
		wp_task_avoid(t, w, now_us);
		t->straggler_moves++;
		p->stats.displaced++;
		wp_task_stop(p, t, now_us);
	}
}
