#ifndef STATE_ADVICE_QUEUE_H
#define STATE_ADVICE_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: In which order advice requests are served, and how long they may take.
 *
 * Pure functions. A daemon asks the advice service for the pools that it owns
 * and for the owners that forward requests to it. Urgent requests go first, but
 * a request that has waited for long goes before all that have not: a steady
 * stream of urgent ones would delay it for ever, and its owner would take the
 * daemon for silent.
 */

/**
 * struct aq_entry - what the order depends on
 * @priority: of the queue of the job; 0 is the most urgent
 * @cost_us: time that the service needs for the request
 * @since_us: when the request was queued
 * @urgent: goes before all that are not
 */
struct aq_entry {
	uint32_t priority;
	int64_t cost_us;
	int64_t since_us;
	bool urgent;
};

/**
 * aq_goes_before() - whether a request is served before another
 * @a: request
 * @b: another one
 * @overdue_us: requests queued before this time go first, oldest first
 */
bool aq_goes_before(
    const struct aq_entry *a, const struct aq_entry *b, int64_t overdue_us);

/**
 * aq_answer_deadline_us() - when a daemon must have answered a forwarded request
 * @now_us: time
 * @in_flight_cost_us: what this owner's requests at that daemon cost, this one
 *	included
 * @largest_cost_us: the largest cost of a request of any owner; 0 where only
 *	short ones are served
 *
 * Return: the time after which it is taken for silent.
 */
int64_t aq_answer_deadline_us(
    int64_t now_us, int64_t in_flight_cost_us, int64_t largest_cost_us);

/**
 * struct aq_load - a daemon that can call the service, as one owner sees it
 * @usable: it can be reached
 * @for_short: it is kept for short requests
 * @lends: of those, it serves long ones while these wait and it is idle
 * @failing_until_us: its last answer was a failure, and until then others are
 *	asked before it; 0 after a success. Later it is only the last of equals
 * @in_flight: requests of this owner there
 * @in_flight_cost_us: their cost
 */
struct aq_load {
	bool usable;
	bool for_short;
	bool lends;
	int64_t failing_until_us;
	uint32_t in_flight;
	int64_t in_flight_cost_us;
};

/* No daemon can take the request now. */
#define AQ_NONE UINT32_MAX

/**
 * aq_choose_target() - the daemon that a request is sent to
 * @load: daemons
 * @count: how many
 * @is_short: whether it is a short request
 * @waited_us: how long the oldest request of its kind has waited
 * @now_us: time
 *
 * Return: index in @load, or AQ_NONE.
 */
uint32_t aq_choose_target(const struct aq_load *load, uint32_t count,
    bool is_short, int64_t waited_us, int64_t now_us);

/**
 * aq_on_answer() - a daemon's call of the service has succeeded or failed
 *
 * Not for requests whose link failed: its next one may be sound.
 */
void aq_on_answer(struct aq_load *l, bool ok, int64_t now_us);

/** aq_is_failing() - whether others are asked before this daemon */
bool aq_is_failing(const struct aq_load *l, int64_t now_us);

#endif
