#include <utlist.h>

#include "state/pool_internal.h"

/* Shares of a task's target, in percent, at which fillers slow down. */
#define WP_LATENCY_HIGH_PERCENT 85
#define WP_LATENCY_LOW_PERCENT 60
#define WP_PACE_INTERVAL_US (350 * CLK_US_PER_MS)
#define WP_PACE_UP 15
#define WP_PACE_FULL 100
#define WP_PACE_MIN 5

static uint32_t
wp_worst_latency_percent(const struct wp_worker *w)
{
	const struct wp_task *t;
	uint32_t worst = 0;

	DL_FOREACH(w->tasks, t) {
		uint32_t target_ms = t->step->spec->target_ms;

		if (target_ms == 0 || t->state != WP_TASK_RUNNING)
			continue;
		if (t->load * 100 / target_ms > worst)
			worst = t->load * 100 / target_ms;
	}
	return worst;
}

static uint32_t
wp_next_pace(uint32_t pace, uint32_t worst)
{
	if (worst >= 100)
		return pace > 2 * WP_PACE_MIN ? pace / 4 : 0;
	if (worst >= WP_LATENCY_HIGH_PERCENT)
		return pace > 2 * WP_PACE_MIN ? pace / 2 : 0;
	if (worst <= WP_LATENCY_LOW_PERCENT && pace < WP_PACE_FULL)
		return pace + WP_PACE_UP > WP_PACE_FULL ? WP_PACE_FULL
							: pace + WP_PACE_UP;
	return pace;
}

void
wp_throttle_opportunistic(
    struct wp_pool *p, struct wp_worker *w, int64_t now_us)
{
	uint32_t worst;
	struct wp_task *t;
	bool changed = false;

	if (now_us < w->next_pace_us)
		return;
	worst = wp_worst_latency_percent(w);
	DL_FOREACH(w->tasks, t) {
		struct wp_order *o;
		struct jb_ref ref;
		uint32_t pace;

		if (!(t->step->spec->flags & JB_OPPORTUNISTIC) ||
		    t->state != WP_TASK_RUNNING)
			continue;
		pace = wp_next_pace(t->pace, worst);
		if (pace == t->pace)
			continue;
		t->pace = pace;
		wp_task_ref(t, &ref);
		o = wp_queue_order(p, WP_ORDER_PACE, w, &ref, t->run);
		o->percent = pace;
		changed = true;
	}
	if (changed)
		w->next_pace_us = now_us + WP_PACE_INTERVAL_US;
}
