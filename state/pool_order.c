#include <string.h>

#include "state/pool_internal.h"

/* How long an unhealthy or unreachable worker receives no tasks. */
#define WP_UNHEALTHY_PAUSE_US (CLK_US_PER_S)
/* A worker's clock is never further ahead of the estimate. */
#define WP_MAX_CLOCK_AHEAD_MS 1000
/* A prompt answer is never further behind the slowest clock. */
#define WP_MAX_CLOCK_BEHIND_MS 1000

static void
wp_start_refused(struct wp_pool *p, struct wp_task *t, struct wp_worker *w,
    enum wp_order_result result, int64_t now_us)
{
	switch (result) {
	case WP_REFUSED_UNHEALTHY:
	case WP_NOT_SENT:
		w->quarantined_until_us = now_us + WP_UNHEALTHY_PAUSE_US;
		break;
	case WP_REFUSED_TICKET: {
		struct wp_ticket *ticket = wp_ticket_find(t->step, w);

		if (ticket != NULL)
			ticket->expires_us = 0;
		break;
	}
	default:
		break;
	}
	/* An earlier send of the same run may have been carried out. */
	if (t->start_sends > 1) {
		t->in_doubt = true;
		return;
	}
	if (result == WP_REFUSED_MALFORMED) {
		wp_task_failed(p, t, now_us);
		return;
	}
	wp_crash_retract(p, t, w);
	wp_task_requeue(t, now_us + WP_RESTART_DELAY_US);
}

static void
wp_on_start_result(struct wp_pool *p, struct wp_task *t, struct wp_worker *w,
    enum wp_order_result result, int64_t clock_ms, int64_t now_us)
{
	switch (result) {
	case WP_ACCEPTED:
		wp_job_begun(t->step->occ->job);
		wp_restored(t, now_us);
		t->state = WP_TASK_RUNNING;
		t->in_doubt = false;
		t->resend_at_us = 0;
		t->confirmed_clock_ms =
		    clock_ms > 0 ? clock_ms : t->deadline_clock_ms;
		t->progressed_us = now_us;
		return;
	case WP_NO_ANSWER:
		t->in_doubt = true;
		t->resend_at_us = now_us;
		w->unanswered_orders++;
		return;
	case WP_REFUSED_STALE_RUN:
		/* It ended or was stopped there; the next reply will tell. */
		t->in_doubt = true;
		t->resend_at_us = 0;
		t->deadline_clock_ms = clock_ms;
		return;
	case WP_REFUSED_STALE_TOKEN:
		p->superseded = true;
		return;
	default:
		t->resend_at_us = 0;
		wp_start_refused(p, t, w, result, now_us);
		return;
	}
}

/* The clock of another incarnation may be anywhere. */
static bool
wp_is_by_another_clock(
    const struct wp_worker *w, int64_t clock_ms, int64_t now_us)
{
	int64_t passed_ms = (now_us - w->clock_read_us) / CLK_US_PER_MS;

	return clock_ms > w->clock_ms + passed_ms + WP_MAX_CLOCK_AHEAD_MS ||
	    clock_ms < w->clock_ms + passed_ms * CLK_MIN_RATE_PER_MILLE / 1000 -
		WP_MAX_CLOCK_BEHIND_MS;
}

static bool
wp_is_from_other_incarnation(const struct wp_worker *w,
    const struct wp_order *o, int64_t clock_ms, int64_t now_us)
{
	return o->incarnation_ms != w->incarnation_ms ||
	    wp_is_by_another_clock(w, clock_ms, now_us);
}

/* Its clock has been read in time, and it is not the order that is old. */
static bool
wp_shows_restart(const struct wp_worker *w, const struct wp_order *o,
    int64_t clock_ms, int64_t now_us)
{
	return clock_ms > 0 && w->incarnation_read_us != 0 &&
	    w->prompt_reply_us >= w->incarnation_read_us &&
	    o->incarnation_ms == w->incarnation_ms &&
	    wp_is_by_another_clock(w, clock_ms, now_us);
}

static void
wp_count_start_result(struct wp_pool *p, const struct wp_order *o,
    enum wp_order_result result, int64_t now_us)
{
	if (result == WP_NO_ANSWER || result == WP_NOT_SENT)
		sw_on_timeout(&p->starts, &o->sent, now_us);
	else
		sw_on_answer(&p->starts, &o->sent, now_us);
}

static void
wp_apply_order_result(struct wp_pool *p, const struct wp_order *o,
    enum wp_order_result result, int64_t clock_ms, int64_t now_us)
{
	struct wp_worker *w = wp_find_worker(p, o->worker);
	struct wp_task *t = wp_find_task(p, &o->ref);

	if (w != NULL && result == WP_REFUSED_STALE_TOKEN &&
	    wp_is_fenced_by_owner(w, o->fence))
		result = WP_REFUSED_INCARNATION;
	p->stats.refused[result]++;
	if (o->kind == WP_ORDER_START)
		wp_count_start_result(p, o, result, now_us);
	if (w != NULL && result != WP_NO_ANSWER && result != WP_NOT_SENT)
		w->unanswered_orders = 0;
	if (w != NULL && o->kind == WP_ORDER_STOP)
		wp_count_stop_result(w, result);
	if (result == WP_REFUSED_STALE_TOKEN)
		p->superseded = true;
	if (w != NULL && wp_shows_restart(w, o, clock_ms, now_us)) {
		wp_restart_seen(p, w, now_us);
		if (result == WP_ACCEPTED && o->kind == WP_ORDER_START)
			result = WP_NO_ANSWER;
	}
	if (w != NULL && o->kind == WP_ORDER_START && result == WP_NO_ANSWER)
		wp_stray_add(p, w, o);
	if (w != NULL && o->kind == WP_ORDER_STOP && result == WP_ACCEPTED &&
	    !wp_is_from_other_incarnation(w, o, clock_ms, now_us))
		wp_strays_stopped(w, o, clock_ms);
	if (w == NULL || t == NULL || t->worker != w || t->run != o->run)
		return;
	if (o->kind == WP_ORDER_START)
		t->order_in_flight = false;
	if (o->kind == WP_ORDER_PACE && result == WP_ACCEPTED)
		wp_pace_accepted(t, o);
	if (o->kind == WP_ORDER_START && t->state == WP_TASK_STARTING)
		wp_on_start_result(p, t, w, result, clock_ms, now_us);
	if (o->kind == WP_ORDER_STOP &&
	    (t->state == WP_TASK_STOPPING || t->state == WP_TASK_DONE) &&
	    result == WP_ACCEPTED && clock_ms > 0 &&
	    !wp_is_from_other_incarnation(w, o, clock_ms, now_us)) {
		t->stopped_clock_ms = clock_ms;
		t->resend_at_us = 0;
	}
}

bool
wp_on_order_result(struct wp_pool *p, const struct wp_order *o,
    enum wp_order_result result, int64_t clock_ms, int64_t now_us)
{
	const struct wp_task *t;

	wp_apply_order_result(p, o, result, clock_ms, now_us);
	t = wp_find_task(p, &o->ref);
	return t != NULL && t->worker != NULL && t->run == o->run &&
	    strcmp(t->worker->id, o->worker) == 0;
}
