#include "state/pool_internal.h"

/*
 * Finds long-running tasks that are or may be without a run, and what their next
 * run waits for. For logs and tests: it decides nothing.
 */

/* For less time it isn't worth a line. */
#define WP_WITHOUT_RUN_US (3 * CLK_US_PER_S)

static const char *const wp_without_run_names[] = {
    [WP_WITHOUT_RUN_HELD] = "held",
    [WP_WITHOUT_RUN_OLDER_RUN] = "older_run",
    [WP_WITHOUT_RUN_SILENT] = "silent",
    [WP_WITHOUT_RUN_WAITS] = "waits",
    [WP_WITHOUT_RUN_ADVICE] = "advice",
};

const char *
wp_without_run_name(enum wp_without_run_why why)
{
	return wp_without_run_names[why];
}

static bool
wp_holds_task(
    const struct wp_worker *w, const struct jb_ref *ref, int64_t now_us)
{
	uint32_t i;

	if (!wp_is_holding(w, now_us))
		return false;
	for (i = 0; w->closed && i < w->closed_task_count; i++) {
		if (jb_ref_equal(&w->closed_task[i], ref))
			return true;
	}
	return !w->closed;
}

/* The worker that holds a task of an earlier owner for longest, or NULL. */
static const struct wp_worker *
wp_longest_holder(
    const struct wp_pool *p, const struct wp_task *t, int64_t now_us)
{
	const struct wp_worker *found = NULL;
	const struct wp_worker *w;
	struct jb_ref ref;

	wp_task_ref(t, &ref);
	for (w = p->workers; w != NULL; w = w->hh.next) {
		if (wp_holds_task(w, &ref, now_us) &&
		    (found == NULL ||
			wp_lease_expiry_us(w) > wp_lease_expiry_us(found)))
			found = w;
	}
	return found;
}

/* Since when a task is or may be without a run; INT64_MAX if it has one. */
static int64_t
wp_without_run_since(const struct wp_task *t, int64_t owned_us)
{
	switch (t->state) {
	case WP_TASK_UNRECONCILED:
		return owned_us;
	case WP_TASK_WAITING:
		/* 0: it hasn't run since it was loaded. */
		return t->not_before_us > 0 ? t->not_before_us : INT64_MAX;
	case WP_TASK_STARTING:
	case WP_TASK_RUNNING:
	case WP_TASK_STOPPING:
		return t->worker != NULL && t->worker->unreachable_since_us > 0
		    ? t->worker->unreachable_since_us
		    : INT64_MAX;
	case WP_TASK_DONE:
	case WP_TASK_CANCELLED:
		break;
	}
	return INT64_MAX;
}

static bool
wp_lacks_tickets(
    const struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_scan scan;
	struct wp_worker *w;

	if (!wp_needs_advice(s))
		return false;
	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (wp_ticket_valid(s, w, now_us) != NULL)
			return false;
	}
	return true;
}

static void
wp_without_run_fill(const struct wp_pool *p, const struct wp_task *t,
    struct wp_without_run *row, int64_t now_us)
{
	const struct wp_worker *w = t->worker;

	wp_task_ref(t, &row->ref);
	row->state = t->state;
	row->run = t->run;
	row->worker = "";
	row->why = WP_WITHOUT_RUN_SILENT;
	if (t->state == WP_TASK_WAITING)
		row->why = wp_lacks_tickets(p, t->step, now_us)
		    ? WP_WITHOUT_RUN_ADVICE
		    : WP_WITHOUT_RUN_WAITS;
	if (t->state == WP_TASK_UNRECONCILED) {
		w = wp_longest_holder(p, t, now_us);
		row->why =
		    w != NULL ? WP_WITHOUT_RUN_HELD : WP_WITHOUT_RUN_OLDER_RUN;
	}
	if (w == NULL)
		return;
	row->worker = w->id;
	row->listed = w->listed;
	row->left_us = wp_lease_expiry_us(w) - now_us;
}

/* One row for the step's tasks, filled in for the first of them. */
static bool
wp_without_run_step(const struct wp_step *s, int64_t owned_us,
    struct wp_without_run *row, int64_t now_us)
{
	uint32_t i;

	*row = (struct wp_without_run){0};
	for (i = 0; i < s->spec->count; i++) {
		const struct wp_task *t = &s->task[i];
		int64_t since_us = wp_without_run_since(t, owned_us);

		if (since_us > now_us - WP_WITHOUT_RUN_US)
			continue;
		if (row->tasks++ == 0)
			wp_without_run_fill(s->occ->job->pool, t, row, now_us);
		if (now_us - since_us > row->for_us)
			row->for_us = now_us - since_us;
	}
	return row->tasks > 0;
}

/* Rows that are being filled in. */
struct wp_without_run_search {
	int64_t owned_us;
	int64_t now_us;
	struct wp_without_run *list;
	uint32_t max;
	uint32_t count;
};

static void
wp_without_run_occurrence(
    struct wp_without_run_search *q, const struct wp_occurrence *occ)
{
	uint32_t i;

	for (i = 0; i < occ->job->spec->step_count && q->count < q->max; i++) {
		if (occ->job->spec->step[i].flags & JB_LONG_RUNNING)
			q->count += wp_without_run_step(&occ->step[i],
			    q->owned_us, &q->list[q->count], q->now_us);
	}
}

uint32_t
wp_find_without_run(const struct wp_pool *p, int64_t owned_us, int64_t now_us,
    struct wp_without_run *list, uint32_t max)
{
	struct wp_without_run_search q = {owned_us, now_us, list, max, 0};
	const struct wp_job *job;
	uint32_t k;

	for (job = p->jobs; job != NULL; job = job->hh.next) {
		if (job->final_state != JB_PENDING)
			continue;
		for (k = 0; k < jb_occurrences(job->spec); k++) {
			if (job->occ[k] != NULL)
				wp_without_run_occurrence(&q, job->occ[k]);
		}
	}
	return q.count;
}
