#include "state/pool_internal.h"

/*
 * Stops are repeated until their effect is seen: the worker has accepted one, and
 * a later list lacks the run. What it accepted may have been for an earlier
 * incarnation, or have been undone.
 */

/* A run that was told to stop has ended after this time. */
#define WP_MAX_STOP_MS 500

/* The link of a relay may be full when the owner's isn't, or the reverse. */
bool
wp_bypasses_relays(const struct wp_order *o)
{
	return o->kind == WP_ORDER_STOP && o->sends % 2 == 0;
}

void
wp_count_stop_result(struct wp_worker *w, enum wp_order_result result)
{
	if (result == WP_NO_ANSWER || result == WP_NOT_SENT)
		w->unanswered_stops++;
	else
		w->unanswered_stops = 0;
}

void
wp_stop_listed(const struct wp_worker *w, struct wp_task *t, int64_t now_us)
{
	if (t->stopped_clock_ms == 0 ||
	    w->lists_clock_ms - t->stopped_clock_ms <= WP_MAX_STOP_MS)
		return;
	t->stopped_clock_ms = 0;
	t->resend_at_us = now_us;
}
