#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/* A task that has run for less time is not preempted. */
#define WP_MIN_RUN_US (300 * CLK_US_PER_MS)

/*
 * Only tasks with checkpoints are preempted: they lose no more than the time to
 * restore one. This serves bursts of short urgent jobs beside long jobs.
 */
static bool
wp_is_victim(
    const struct wp_task *v, const struct wp_step *urgent, int64_t now_us)
{
	const struct wp_step *s = v->step;
	const struct wp_job *job = s->occ->job;

	return v->state == WP_TASK_RUNNING &&
	    (s->spec->flags & JB_CHECKPOINTS) &&
	    !(s->spec->flags &
		(JB_GANG | JB_LONG_RUNNING | JB_OPPORTUNISTIC)) &&
	    job->spec->policy.priority >
	    urgent->occ->job->spec->policy.priority &&
	    now_us - v->started_us > WP_MIN_RUN_US;
}

/* Resources that are or become free, less those kept for other tasks. */
static struct wp_resources
wp_soon_free_resources(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	struct wp_resources available = wp_unheld(s, w, now_us);
	const struct wp_task *t;

	DL_FOREACH(w->tasks, t) {
		struct wp_resources need = wp_task_resources(t->step->spec);

		if (t->state == WP_TASK_STOPPING)
			wp_resources_add(&available, &need, 1);
	}
	wp_resources_add(&available, &w->reserved, -1);
	return available;
}

/* Tasks that would have to be preempted; UINT32_MAX if that is not enough. */
static uint32_t
wp_victims_needed(const struct wp_worker *w, const struct wp_step *s,
    const struct wp_resources *need, int64_t now_us)
{
	struct wp_resources available = wp_soon_free_resources(s, w, now_us);
	const struct wp_task *v;
	uint32_t n = 0;

	if (wp_resources_fit(&available, need))
		return 0;
	DL_FOREACH(w->tasks, v) {
		struct wp_resources freed = wp_task_resources(v->step->spec);

		if (!wp_is_victim(v, s, now_us))
			continue;
		wp_resources_add(&available, &freed, 1);
		n++;
		if (wp_resources_fit(&available, need))
			return n;
	}
	return UINT32_MAX;
}

static void
wp_preempt_on(struct wp_pool *p, struct wp_worker *w, const struct wp_step *s,
    const struct wp_resources *need, int64_t now_us)
{
	struct wp_resources available = wp_soon_free_resources(s, w, now_us);
	struct wp_task *v;
	struct wp_task *tmp;

	DL_FOREACH_SAFE(w->tasks, v, tmp) {
		struct wp_resources freed = wp_task_resources(v->step->spec);

		if (wp_resources_fit(&available, need))
			return;
		if (!wp_is_victim(v, s, now_us))
			continue;
		wp_resources_add(&available, &freed, 1);
		p->stats.displaced++;
		wp_task_stop(p, v, now_us);
	}
}

bool
wp_preempt_for(struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_worker *best = NULL;
	uint32_t best_victims = UINT32_MAX;
	struct wp_scan scan;
	struct wp_worker *w;

	if (s->lateness != WP_ON_TIME)
		return false;
	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		uint32_t victims;

		if (!wp_may_start_on(s, w, now_us))
			continue;
		victims = wp_victims_needed(w, s, &need, now_us);
		if (victims < best_victims) {
			best = w;
			best_victims = victims;
		}
	}
	if (best == NULL)
		return false;
	wp_preempt_on(p, best, s, &need, now_us);
	wp_resources_add(&best->reserved, &need, 1);
	return true;
}
