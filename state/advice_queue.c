#include "state/advice_queue.h"

#include "common/clock.h"

/* Answers may take that much longer than the service's calls. */
#define AQ_ANSWER_SLACK_US (1500 * CLK_US_PER_MS)
/* Calls of other owners that the daemon may have begun before. */
#define AQ_CALLS_BEFORE 2
/* Requests of an owner in flight at one daemon. */
#define AQ_MAX_IN_FLIGHT 2
/* Long requests that have waited for so long may use idle daemons that lend. */
#define AQ_BORROW_AFTER_US (1500 * CLK_US_PER_MS)

/* A daemon whose last call failed counts as having that much to do before. */
#define AQ_FAILING_COST_US (700 * CLK_US_PER_MS)
/* For so long. */
#define AQ_FAILING_US (5 * CLK_US_PER_S)

bool
aq_goes_before(
    const struct aq_entry *a, const struct aq_entry *b, int64_t overdue_us)
{
	bool a_overdue = a->since_us < overdue_us;
	bool b_overdue = b->since_us < overdue_us;

	if (a->urgent != b->urgent)
		return a->urgent;
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

void
aq_on_answer(struct aq_load *l, bool ok, int64_t now_us)
{
	l->failing_until_us = ok ? 0 : now_us + AQ_FAILING_US;
}

bool
aq_is_failing(const struct aq_load *l, int64_t now_us)
{
	return now_us < l->failing_until_us;
}

static int64_t
aq_expected_cost_us(const struct aq_load *l, int64_t now_us)
{
	return l->in_flight_cost_us +
	    (aq_is_failing(l, now_us) ? AQ_FAILING_COST_US : 0);
}

/*
 * Of two that are equally loaded, one whose last call didn't fail, as an idle cell
 * has many of them; then the one that serves no other requests.
 */
static bool
aq_is_less_loaded(
    const struct aq_load *a, const struct aq_load *b, int64_t now_us)
{
	int64_t a_us = aq_expected_cost_us(a, now_us);
	int64_t b_us = aq_expected_cost_us(b, now_us);
	bool a_failed = a->failing_until_us != 0;
	bool b_failed = b->failing_until_us != 0;

	if (a_us != b_us)
		return a_us < b_us;
	if (a_failed != b_failed)
		return b_failed;
	return !a->lends && b->lends;
}

static bool
aq_is_full(const struct aq_load *l)
{
	return l->in_flight >= AQ_MAX_IN_FLIGHT;
}

/* Whether any daemon can be reached that is for such requests. */
static bool
aq_has_kind(const struct aq_load *load, uint32_t count, bool is_short)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (load[i].usable && load[i].for_short == is_short)
			return true;
	}
	return false;
}

/* The least loaded that is not full, of those for such requests or of all. */
static uint32_t
aq_least_loaded(const struct aq_load *load, uint32_t count, bool is_short,
    bool any, int64_t now_us)
{
	uint32_t best = AQ_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!load[i].usable || aq_is_full(&load[i]))
			continue;
		if (!any && load[i].for_short != is_short)
			continue;
		if (best == AQ_NONE ||
		    aq_is_less_loaded(&load[i], &load[best], now_us))
			best = i;
	}
	return best;
}

static uint32_t
aq_idle_lender(const struct aq_load *load, uint32_t count, int64_t now_us)
{
	uint32_t best = AQ_NONE;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!load[i].usable || !load[i].lends || load[i].in_flight > 0)
			continue;
		if (best == AQ_NONE ||
		    aq_is_less_loaded(&load[i], &load[best], now_us))
			best = i;
	}
	return best;
}

uint32_t
aq_choose_target(const struct aq_load *load, uint32_t count, bool is_short,
    int64_t waited_us, int64_t now_us)
{
	bool any = !aq_has_kind(load, count, is_short);
	uint32_t best = aq_least_loaded(load, count, is_short, any, now_us);

	if (best != AQ_NONE)
		return best;
	if (!is_short && waited_us >= AQ_BORROW_AFTER_US)
		return aq_idle_lender(load, count, now_us);
	return AQ_NONE;
}
