#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/pool_internal.h"

/*
 * Start orders that were not answered. They may be carried out seconds later,
 * also by a later incarnation under the worker's name, to which their deadlines
 * are far ahead, whatever has become of their tasks meanwhile. That incarnation
 * is told to stop them before it has run any; until it has confirmed that, and a
 * later reply has listed its runs, they count as being there.
 */

static void
wp_strays_count(struct wp_worker *w)
{
	struct wp_resources earlier = w->strayed;
	uint32_t i;

	memset(&w->strayed, 0, sizeof(w->strayed));
	for (i = 0; i < w->stray_count; i++) {
		if (!w->stray[i].ruled_out)
			wp_resources_add(&w->strayed, &w->stray[i].need, 1);
	}
	if (!wp_resources_fit(&w->strayed, &earlier))
		w->freed = true;
}

void
wp_stray_add(struct wp_pool *p, struct wp_worker *w, const struct wp_order *o)
{
	const struct wp_task *t = wp_find_task(p, &o->ref);
	struct wp_stray stray = {
	    .ref = o->ref,
	    .run = o->run,
	    .until_us = o->sent.at_us + WP_MAX_ORDER_DELAY_US,
	    .ruled_out = o->sent.at_us >= w->incarnation_read_us ||
		(!w->unfenced && wp_is_fenced_by_owner(w, o->fence)),
	};

	if (t != NULL)
		stray.need = wp_task_resources(t->step->spec);
	w->stray =
	    talloc_realloc(w, w->stray, struct wp_stray, w->stray_count + 1);
	if (w->stray == NULL)
		abort();
	w->stray[w->stray_count++] = stray;
	wp_strays_count(w);
}

/* Its task does not start elsewhere before the stop is confirmed. */
static void
wp_stray_hold_task(struct wp_pool *p, struct wp_worker *w,
    const struct wp_stray *stray, int64_t now_us)
{
	struct wp_task *t = wp_find_task(p, &stray->ref);

	if (t == NULL || t->state != WP_TASK_WAITING || wp_may_run_copies(t))
		return;
	wp_task_adopt(t, w, t->run, now_us);
	wp_task_stop(p, t, now_us);
}

void
wp_strays_hold(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < w->stray_count; i++) {
		if (now_us < w->stray[i].until_us)
			wp_stray_hold_task(p, w, &w->stray[i], now_us);
	}
}

bool
wp_may_start_late(const struct wp_worker *w, const struct wp_task *t)
{
	struct jb_ref ref;
	uint32_t i;

	if (t->state == WP_TASK_STARTING || t->order_in_flight)
		return true;
	wp_task_ref(t, &ref);
	for (i = 0; i < w->stray_count; i++) {
		if (jb_ref_equal(&w->stray[i].ref, &ref))
			return true;
	}
	return false;
}

void
wp_strays_restarted(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < w->stray_count; i++) {
		struct wp_stray *stray = &w->stray[i];

		stray->ruled_out = false;
		stray->stopped_clock_ms = 0;
		stray->stop_at_us = now_us;
	}
	wp_strays_hold(p, w, now_us);
	wp_strays_count(w);
}

/* Calls that were sent before do nothing any more; what began is listed. */
void
wp_strays_rule_out(struct wp_worker *w)
{
	uint32_t i;

	for (i = 0; i < w->stray_count; i++)
		w->stray[i].ruled_out = true;
	wp_strays_count(w);
}

void
wp_strays_forget(struct wp_worker *w)
{
	w->stray_count = 0;
	wp_strays_count(w);
}

static void
wp_strays_expire(struct wp_worker *w, int64_t now_us)
{
	uint32_t kept = 0;
	uint32_t i;

	/* What is carried out just in time has a lease after that. */
	if (w->restart_seen && now_us < w->late_lease_until_us)
		return;
	for (i = 0; i < w->stray_count; i++) {
		if (now_us < w->stray[i].until_us)
			w->stray[kept++] = w->stray[i];
	}
	if (kept == w->stray_count)
		return;
	w->stray_count = kept;
	wp_strays_count(w);
}

void
wp_strays_tick(struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	uint32_t i;

	wp_strays_expire(w, now_us);
	for (i = 0; i < w->stray_count; i++) {
		struct wp_stray *stray = &w->stray[i];

		if (stray->ruled_out)
			continue;
		if (w->reachable)
			wp_stray_hold_task(p, w, stray, now_us);
		if (stray->stopped_clock_ms > 0 || now_us < stray->stop_at_us)
			continue;
		wp_queue_order(p, WP_ORDER_STOP, w, &stray->ref, stray->run);
		stray->stop_at_us = now_us + WP_RESEND_DELAY_US;
	}
}

void
wp_strays_stopped(
    struct wp_worker *w, const struct wp_order *o, int64_t clock_ms)
{
	uint32_t i;

	for (i = 0; i < w->stray_count; i++) {
		struct wp_stray *stray = &w->stray[i];

		if (stray->run <= o->run && jb_ref_equal(&stray->ref, &o->ref))
			stray->stopped_clock_ms = clock_ms;
	}
}

void
wp_strays_read(struct wp_worker *w, int64_t clock_ms)
{
	uint32_t i;

	if (w->stray_count == 0)
		return;
	for (i = 0; i < w->stray_count; i++) {
		struct wp_stray *stray = &w->stray[i];

		stray->ruled_out |= stray->stopped_clock_ms > 0 &&
		    clock_ms > stray->stopped_clock_ms;
	}
	wp_strays_count(w);
}

uint32_t
wp_strays_on(const struct wp_step *s, const struct wp_worker *w)
{
	uint32_t n = 0;
	uint32_t i;

	for (i = 0; i < w->stray_count; i++)
		n += !w->stray[i].ruled_out &&
		    wp_is_of_step(s, &w->stray[i].ref);
	return n;
}
