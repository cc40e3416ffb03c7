#include <utlist.h>

#include "state/pool_internal.h"

/* Latency in percent of its target at which opportunistic tasks slow down. */
#define WP_LATENCY_HIGH_PERCENT 85
/* Up to this latency, they speed up again. */
#define WP_LATENCY_LOW_PERCENT 60
/* Least time between two changes of pace. */
#define WP_PACE_INTERVAL_US (350 * CLK_US_PER_MS)
#define WP_PACE_UP 15
#define WP_PACE_FULL 100
#define WP_PACE_MIN 5

static uint32_t
wp_worst_latency_percent(const struct wp_worker *w)
{
	const struct wp_task *t;
	uint32_t worst_percent = 0;

	DL_FOREACH(w->tasks, t) {
		uint32_t target_ms = t->step->spec->target_ms;

		if (target_ms == 0 || t->state != WP_TASK_RUNNING)
			continue;
		if (t->load * 100 / target_ms > worst_percent)
			worst_percent = t->load * 100 / target_ms;
	}
	return worst_percent;
}

static uint32_t
wp_next_pace(uint32_t pace, uint32_t worst_percent)
{
	if (worst_percent >= 100)
		return pace > 2 * WP_PACE_MIN ? pace / 4 : 0;
	if (worst_percent >= WP_LATENCY_HIGH_PERCENT)
		return pace > 2 * WP_PACE_MIN ? pace / 2 : 0;
	if (worst_percent <= WP_LATENCY_LOW_PERCENT && pace < WP_PACE_FULL)
		return pace + WP_PACE_UP > WP_PACE_FULL ? WP_PACE_FULL
							: pace + WP_PACE_UP;
	return pace;
}

void
wp_throttle_opportunistic(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	uint32_t worst_percent;
	struct wp_task *t;
	bool changed = false;

	if (now_us < w->next_pace_us)
		return;
	worst_percent = wp_worst_latency_percent(w);
	DL_FOREACH(w->tasks, t) {
		struct wp_order *o;
		struct jb_ref ref;
		uint32_t pace;

		if (!(t->step->spec->flags & JB_OPPORTUNISTIC) ||
		    t->state != WP_TASK_RUNNING)
			continue;
		pace = wp_next_pace(t->pace, worst_percent);
		if (pace == t->pace && t->pace_confirmed)
			continue;
		t->pace = pace;
		t->pace_confirmed = false;
		wp_task_ref(t, &ref);
		o = wp_queue_order(p, WP_ORDER_PACE, w, &ref, t->run);
		o->percent = pace;
		changed = true;
	}
	if (changed)
		w->next_pace_us = now_us + WP_PACE_INTERVAL_US;
}

void
wp_pace_accepted(struct wp_task *t, const struct wp_order *o)
{
	if (o->percent == t->pace)
		t->pace_confirmed = true;
}
