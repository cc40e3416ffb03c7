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
 */
struct aq_entry {
	uint32_t priority;
	int64_t cost_us;
	int64_t since_us;
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

#endif
