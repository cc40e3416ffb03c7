#include <stdlib.h>
#include <utlist.h>

#include "state/pool_internal.h"

static void
wp_gang_done(struct wp_pool *p, struct wp_step *s)
{
	uint32_t i;

	for (i = 0; i < s->spec->count; i++)
		wp_task_done(p, &s->task[i]);
}

/* The end of a task's newest run, on the worker that it was placed on. */
static void
wp_on_current_run_end(struct wp_pool *p, struct wp_worker *w, struct wp_task *t,
    const struct wp_run_end *end, int64_t now_us)
{
	wp_task_set_checkpoint(t, end->checkpoint);
	if (t->checkpoint != NULL)
		wp_mark_dirty(t->step->occ->job);
	switch (end->outcome) {
	case WP_END_DONE:
		w->failures = 0;
		t->step->completed_us += now_us - t->started_us;
		t->step->completed_count++;
		if (t->step->spec->flags & JB_LONG_RUNNING) {
			wp_task_requeue(t, now_us);
			return;
		}
		wp_task_release(t);
		if (t->step->spec->flags & JB_GANG)
			wp_gang_done(p, t->step);
		else
			wp_task_done(p, t);
		return;
	case WP_END_FAILED:
		wp_record_worker_failure(w, &end->ref, now_us);
		if (t->state == WP_TASK_DONE) {
			wp_task_release(t);
			return;
		}
		wp_task_failed(p, t, now_us);
		return;
	case WP_END_STOPPED:
	case WP_END_LEASE_EXPIRED:
	case WP_END_PEER_ENDED:
	case WP_END_GANG_TIMEOUT:
		wp_task_requeue(t, now_us);
		return;
	}
}

/*
 * The end of a run of a task that is on no worker: an earlier owner started it,
 * or its lease was taken to have expired. Unless the run completed, the task
 * keeps its state, since a later run may be on a worker that has not reported
 * yet.
 */
static void
wp_on_other_run_end(struct wp_pool *p, struct wp_task *t,
    const struct wp_run_end *end, int64_t now_us)
{
	if (end->run > t->run)
		t->run = end->run;
	wp_task_set_checkpoint(t, end->checkpoint);
	wp_mark_dirty(t->step->occ->job);
	if (end->outcome == WP_END_FAILED)
		wp_count_failure(p, t, end->run, now_us);
	if (end->outcome != WP_END_DONE ||
	    (t->step->spec->flags & JB_LONG_RUNNING))
		return;
	if (t->step->spec->flags & JB_GANG)
		wp_gang_done(p, t->step);
	else
		wp_task_done(p, t);
}

/* Another run has completed, so the newest one is stopped. */
static void
wp_on_copy_done(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	struct wp_worker *w = t->worker;

	wp_task_done(p, t);
	if (w == NULL)
		return;
	wp_task_send_stop(p, t, now_us);
	/* Its resources are released once the worker no longer reports it. */
	t->confirmed_clock_ms =
	    wp_worker_clock_ms(w, now_us + WP_START_VALID_US);
	if (t->deadline_clock_ms > t->confirmed_clock_ms)
		t->confirmed_clock_ms = t->deadline_clock_ms;
}

/* Of the members of a gang, only one may list it. */
static void
wp_on_other_run_done(struct wp_pool *p, struct wp_task *t, int64_t now_us)
{
	struct wp_step *s = t->step;
	uint32_t i;

	if (s->spec->flags & JB_LONG_RUNNING)
		return;
	if (!(s->spec->flags & JB_GANG)) {
		wp_on_copy_done(p, t, now_us);
		return;
	}
	for (i = 0; i < s->spec->count; i++)
		wp_on_copy_done(p, &s->task[i], now_us);
}

/* It completed before its lease was taken to have expired; none ran since. */
static bool
wp_completes_waiting(const struct wp_task *t, const struct wp_run_end *end)
{
	return t->state == WP_TASK_WAITING && end->outcome == WP_END_DONE;
}

void
wp_process_run_ends(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < reply->end_count; i++) {
		const struct wp_run_end *end = &reply->end[i];
		struct wp_task *t;

		if (end->number <= w->processed_end)
			continue;
		wp_record_run_end(p, w, end->number);
		p->stats.ends[end->outcome]++;
		t = wp_find_task(p, &end->ref);
		if (t == NULL)
			continue;
		wp_job_begun(t->step->occ->job);
		if (t->worker == w && t->run == end->run)
			wp_on_current_run_end(p, w, t, end, now_us);
		else if (t->state == WP_TASK_UNRECONCILED ||
		    wp_completes_waiting(t, end))
			wp_on_other_run_end(p, t, end, now_us);
		else if (end->outcome == WP_END_DONE)
			wp_on_other_run_done(p, t, now_us);
		else if (end->outcome == WP_END_FAILED)
			/* An earlier run, while a later one is elsewhere. */
			wp_count_failure(p, t, end->run, now_us);
	}
}

static void
wp_update_running(struct wp_worker *w, struct wp_task *t,
    const struct wp_running_task *report, int64_t now_us)
{
	if (t->state == WP_TASK_STARTING) {
		t->state = WP_TASK_RUNNING;
		t->confirmed_clock_ms = w->lists_clock_ms;
		wp_restored(t, now_us);
	}
	wp_job_begun(t->step->occ->job);
	t->in_doubt = false;
	if (t->state == WP_TASK_RUNNING && !t->order_in_flight)
		t->resend_at_us = 0;
	wp_stop_listed(w, t, now_us);
	wp_crash_lived(t);
	wp_task_set_checkpoint(t, report->checkpoint);
	if (report->percent != t->percent)
		t->progressed_us = now_us;
	t->percent = report->percent;
	t->load = report->load;
}

static void
wp_add_orphan(struct wp_worker *w, const struct wp_task *t)
{
	struct wp_resources need = wp_task_resources(t->step->spec);

	wp_resources_add(&w->orphaned, &need, 1);
	w->orphan =
	    talloc_realloc(w, w->orphan, struct jb_ref, w->orphan_count + 1);
	if (w->orphan == NULL)
		abort();
	wp_task_ref(t, &w->orphan[w->orphan_count++]);
}

/* A worker reports a run that is not the newest run of a task placed there. */
static void
wp_handle_orphan(struct wp_pool *p, struct wp_worker *w,
    const struct wp_task *t, const struct wp_running_task *report)
{
	if (t != NULL)
		wp_add_orphan(w, t);
	else
		w->has_unknown_run = true;
	if (t != NULL && wp_is_spare_copy(t, report->run))
		return;
	wp_queue_order(p, WP_ORDER_STOP, w, &report->ref, report->run);
}

/* Whether a run that a worker reports may be taken over. */
static bool
wp_may_be_adopted(const struct wp_task *t, uint32_t run)
{
	return run >= t->run &&
	    (t->state == WP_TASK_UNRECONCILED || t->state == WP_TASK_WAITING);
}

/* It was started late; its task does not start elsewhere before it has ended. */
static bool
wp_has_to_end_first(const struct wp_task *t, uint32_t run)
{
	return run < t->run && t->state == WP_TASK_WAITING &&
	    !wp_may_run_copies(t);
}

static void
wp_take_over_run(struct wp_pool *p, struct wp_worker *w, struct wp_task *t,
    uint32_t run, int64_t now_us)
{
	if (wp_may_be_adopted(t, run)) {
		wp_task_adopt(t, w, run, now_us);
		if (t->step->occ->job->final_state != JB_PENDING)
			wp_task_stop(p, t, now_us);
	} else if (wp_has_to_end_first(t, run)) {
		wp_job_begun(t->step->occ->job);
		wp_task_adopt(t, w, t->run, now_us);
		wp_task_stop(p, t, now_us);
	}
}

void
wp_process_running(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	uint32_t i;

	wp_forget_orphans(w);
	for (i = 0; i < reply->running_count; i++) {
		const struct wp_running_task *report = &reply->running[i];
		struct wp_task *t = wp_find_task(p, &report->ref);

		if (t != NULL)
			wp_take_over_run(p, w, t, report->run, now_us);
		if (t != NULL && t->worker == w && t->run == report->run)
			wp_update_running(w, t, report, now_us);
		else
			wp_handle_orphan(p, w, t, report);
	}
}

/* A stop of the newest run is one of all earlier ones there. */
static bool
wp_is_or_precedes(const struct wp_task *t, uint32_t run)
{
	return run == t->run || (t->state == WP_TASK_STOPPING && run < t->run);
}

static bool
wp_is_reported(const struct wp_renewal_reply *reply, const struct wp_task *t)
{
	struct jb_ref ref;
	uint32_t i;

	wp_task_ref(t, &ref);
	for (i = 0; i < reply->running_count; i++) {
		if (wp_is_or_precedes(t, reply->running[i].run) &&
		    jb_ref_equal(&reply->running[i].ref, &ref))
			return true;
	}
	return false;
}

static bool
wp_is_after(int64_t clock_ms, int64_t confirmed_ms)
{
	return confirmed_ms > 0 && clock_ms > confirmed_ms;
}

/* Whether a task is gone if the worker's reply of that time lacks it. */
static bool
wp_is_missing(const struct wp_task *t, int64_t clock_ms)
{
	switch (t->state) {
	case WP_TASK_STARTING:
		return t->in_doubt && clock_ms > t->deadline_clock_ms;
	case WP_TASK_RUNNING:
		return wp_is_after(clock_ms, t->confirmed_clock_ms);
	case WP_TASK_STOPPING:
		return wp_is_after(clock_ms, t->stopped_clock_ms);
	case WP_TASK_DONE:
		return wp_is_after(clock_ms, t->confirmed_clock_ms) ||
		    wp_is_after(clock_ms, t->stopped_clock_ms);
	case WP_TASK_WAITING:
	case WP_TASK_UNRECONCILED:
	case WP_TASK_CANCELLED:
		break;
	}
	return false;
}

void
wp_requeue_missing(struct wp_pool *p, struct wp_worker *w,
    const struct wp_renewal_reply *reply, int64_t now_us)
{
	struct wp_task *t;
	struct wp_task *tmp;

	if (w->has_unlisted_ends)
		return;
	DL_FOREACH_SAFE(w->tasks, t, tmp) {
		if (!wp_is_missing(t, reply->clock_ms) ||
		    wp_is_reported(reply, t))
			continue;
		p->stats.displaced++;
		wp_task_requeue(t, now_us + WP_RESTART_DELAY_US);
	}
}
