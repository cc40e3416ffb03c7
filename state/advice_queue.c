#include "state/advice_queue.h"

#include "common/clock.h"

/* Answers may take that much longer than the service's calls. */
#define AQ_ANSWER_SLACK_US (1500 * CLK_US_PER_MS)
/* Calls of other owners that the daemon may have begun before. */
#define AQ_CALLS_BEFORE 2

bool
aq_goes_before(
    const struct aq_entry *a, const struct aq_entry *b, int64_t overdue_us)
{
	bool a_overdue = a->since_us < overdue_us;
	bool b_overdue = b->since_us < overdue_us;

	if (a_overdue != b_overdue)
		return a_overdue;
	if (a_overdue && a->since_us != b->since_us)
		return a->since_us < b->since_us;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->cost_us < b->cost_us;
}

int64_t
aq_answer_deadline_us(
    int64_t now_us, int64_t in_flight_cost_us, int64_t largest_cost_us)
{
	return now_us + 2 * in_flight_cost_us +
	    AQ_CALLS_BEFORE * largest_cost_us + AQ_ANSWER_SLACK_US;
}
