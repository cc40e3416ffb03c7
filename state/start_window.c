#include "common/clock.h"
#include "state/start_window.h"

#define SW_INITIAL_ORDERS 32
#define SW_MIN_ORDERS 16
#define SW_MAX_ORDERS 1024
/* Far below the timeout of an order, as a window can double in that time. */
#define SW_TARGET_LATENCY_US (80 * CLK_US_PER_MS)
/* Part of the window that is left at least when answers are slow. */
#define SW_SHRINK_DIVISOR 2

void
sw_init(struct sw_window *win)
{
	win->limit = SW_INITIAL_ORDERS;
	win->in_flight = 0;
	win->shrink_after_us = 0;
	win->fast_since_us = 0;
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

/* A window that is not used up says nothing about a larger one. */
static void
sw_grow(struct sw_window *win)
{
	if (win->in_flight * 2 >= win->limit && win->limit < SW_MAX_ORDERS)
		win->limit++;
}

/*
 * Whether an order was delayed by the others in flight. If one that was sent
 * later was answered fast, its own worker or relay is slow; if there were few
 * others, a smaller window would not help.
 */
static bool
sw_is_overloaded(const struct sw_window *win, const struct sw_sent *sent)
{
	return sent->at_us >= win->shrink_after_us &&
	    sent->at_us > win->fast_since_us &&
	    sent->in_flight * 2 >= win->limit;
}

/* Orders sent before the window shrank do not shrink it again. */
static void
sw_shrink(struct sw_window *win, uint32_t limit, int64_t now_us)
{
	if (limit < win->limit / SW_SHRINK_DIVISOR)
		limit = win->limit / SW_SHRINK_DIVISOR;
	if (limit < SW_MIN_ORDERS)
		limit = SW_MIN_ORDERS;
	if (limit < win->limit)
		win->limit = limit;
	win->shrink_after_us = now_us;
}

void
sw_on_answer(struct sw_window *win, const struct sw_sent *sent, int64_t now_us)
{
	int64_t latency_us = now_us - sent->at_us;

	if (latency_us <= SW_TARGET_LATENCY_US) {
		if (sent->at_us > win->fast_since_us)
			win->fast_since_us = sent->at_us;
		sw_grow(win);
	} else if (sw_is_overloaded(win, sent)) {
		/* The orders ahead of it were answered at this rate. */
		sw_shrink(win,
		    (uint32_t)(sent->in_flight * SW_TARGET_LATENCY_US /
			latency_us),
		    now_us);
	}
	win->in_flight--;
}

void
sw_on_timeout(struct sw_window *win, const struct sw_sent *sent, int64_t now_us)
{
	win->in_flight--;
	if (sw_is_overloaded(win, sent))
		sw_shrink(win, 0, now_us);
}
