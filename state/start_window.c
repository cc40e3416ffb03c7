#include "common/clock.h"
#include "state/start_window.h"

#define SW_INITIAL_ORDERS 32
#define SW_MIN_ORDERS 16
#define SW_MAX_ORDERS 1024
/* Far below the timeout of an order, as a window can double in that time. */
#define SW_TARGET_LATENCY_US (60 * CLK_US_PER_MS)
/* Part of the window that is left when orders time out. */
#define SW_TIMEOUT_PERCENT 70

void
sw_init(struct sw_window *win)
{
	win->limit = SW_INITIAL_ORDERS;
	win->in_flight = 0;
	win->shrink_after_us = 0;
}

bool
sw_is_open(const struct sw_window *win)
{
	return win->in_flight < win->limit;
}

struct sw_sent
sw_send(struct sw_window *win, int64_t now_us)
{
	struct sw_sent sent = {
	    .at_us = now_us,
	    .in_flight = ++win->in_flight,
	};

	return sent;
}

static void
sw_shrink(struct sw_window *win, uint32_t limit)
{
	if (limit < SW_MIN_ORDERS)
		limit = SW_MIN_ORDERS;
	if (limit < win->limit)
		win->limit = limit;
}

/* A window that is not used up says nothing about a larger one. */
static void
sw_grow(struct sw_window *win)
{
	if (win->in_flight * 2 >= win->limit && win->limit < SW_MAX_ORDERS)
		win->limit++;
}

void
sw_on_answer(struct sw_window *win, const struct sw_sent *sent, int64_t now_us)
{
	int64_t latency_us = now_us - sent->at_us;

	/* Orders ahead of it were answered in this time, so at this rate. */
	if (latency_us > SW_TARGET_LATENCY_US)
		sw_shrink(win,
		    (uint32_t)(sent->in_flight * SW_TARGET_LATENCY_US /
			latency_us));
	else
		sw_grow(win);
	win->in_flight--;
}

void
sw_on_timeout(struct sw_window *win, const struct sw_sent *sent, int64_t now_us)
{
	win->in_flight--;
	if (sent->at_us < win->shrink_after_us)
		return;
	win->shrink_after_us = now_us;
	sw_shrink(win, win->limit * SW_TIMEOUT_PERCENT / 100);
}
