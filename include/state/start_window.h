#ifndef STATE_START_WINDOW_H
#define STATE_START_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: How many start orders may be without an answer at a time.
 *
 * A burst of starts may be more than the owner's processor or link can carry.
 * Queued in sockets, the orders would be answered after their timeout, be sent
 * again and delay the renewals of leases. With a window, tasks wait in
 * scheduling order instead. It grows while orders are answered fast and shrinks
 * when they are not.
 */

/**
 * struct sw_window - start orders in flight, and how many there may be
 * @limit: orders that may be in flight
 * @in_flight: orders without a result
 * @shrink_after_us: slow answers to orders sent before do not shrink it again
 * @fast_since_us: when the newest order was sent that was answered fast
 */
struct sw_window {
	uint32_t limit;
	uint32_t in_flight;
	int64_t shrink_after_us;
	int64_t fast_since_us;
};

/**
 * struct sw_sent - what an order keeps until its result
 * @at_us: when it was sent
 * @in_flight: orders in flight then, with this one
 */
struct sw_sent {
	int64_t at_us;
	uint32_t in_flight;
};

/** sw_init() - set a window to its initial size */
void sw_init(struct sw_window *win);

/** sw_is_open() - whether another order may be sent */
bool sw_is_open(const struct sw_window *win);

/** sw_send() - count an order as in flight */
struct sw_sent sw_send(struct sw_window *win, int64_t now_us);

/** sw_on_answer() - an order was answered, whatever the answer */
void sw_on_answer(
    struct sw_window *win, const struct sw_sent *sent, int64_t now_us);

/** sw_on_timeout() - an order was not answered: its worker may be down */
void sw_on_timeout(
    struct sw_window *win, const struct sw_sent *sent, int64_t now_us);

#endif
