#include <stdlib.h>
#include <string.h>

#include "state/pool_approval.h"

/* Approval rate of a queue before the first answer: 35%. */
#define WP_INITIAL_ASKED 100
#define WP_INITIAL_APPROVED 35
/* Above this, the counts of an approval rate are halved. */
#define WP_MAX_ASKED 2000
/* Weight of an answer in the time that requests usually wait. */
#define WP_QUEUED_DIVISOR 8
/* Requests wait so long at times although the service is not busy. */
#define WP_IDLE_QUEUE_US (50 * CLK_US_PER_MS)
/* Workers that a request may name however small its base cost is. */
#define WP_MIN_REQUEST_WORKERS 12

static struct wp_approval_rate *
wp_approval_rate_of(struct wp_pool *p, const struct wp_step *s)
{
	const char *queue = s->occ->job->spec->queue;
	struct wp_approval_rate *rate;

	HASH_FIND_STR(p->approval_rates, queue, rate);
	if (rate != NULL)
		return rate;
	rate = talloc_zero(p, struct wp_approval_rate);
	if (rate == NULL)
		abort();
	rate->queue = talloc_strdup(rate, queue);
	rate->asked = WP_INITIAL_ASKED;
	rate->approved = WP_INITIAL_APPROVED;
	HASH_ADD_KEYPTR(
	    hh, p->approval_rates, rate->queue, strlen(rate->queue), rate);
	return rate;
}

void
wp_update_approval_rate(struct wp_pool *p, const struct wp_step *s,
    const struct wp_advice_request *request, uint32_t approved, int64_t now_us)
{
	struct wp_approval_rate *rate = wp_approval_rate_of(p, s);
	int64_t queued_us = now_us - request->made_us - request->base_cost_us -
	    (int64_t)request->worker_cost_us * request->worker_count;

	if (queued_us < 0)
		queued_us = 0;
	rate->queued_us += (queued_us - rate->queued_us) / WP_QUEUED_DIVISOR;
	rate->asked += request->worker_count;
	rate->approved += approved;
	if (rate->asked > WP_MAX_ASKED) {
		rate->asked /= 2;
		rate->approved /= 2;
	}
}

uint32_t
wp_max_request_workers(const struct jb_policy *policy)
{
	uint32_t n = WP_MAX_ADVICE_WORKERS;

	if (policy->advice_period_us > 0)
		n = policy->advice_decide_us / policy->advice_period_us;
	if (n > WP_MAX_ADVICE_WORKERS)
		return WP_MAX_ADVICE_WORKERS;
	return n < WP_MIN_REQUEST_WORKERS ? WP_MIN_REQUEST_WORKERS : n;
}

int64_t
wp_advice_latency_us(
    struct wp_pool *p, const struct wp_step *s, uint32_t workers)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;

	return wp_approval_rate_of(p, s)->queued_us + policy->advice_decide_us +
	    (int64_t)policy->advice_period_us * workers;
}

uint64_t
wp_slots_to_request(struct wp_pool *p, const struct wp_step *s, uint32_t tasks)
{
	const struct wp_approval_rate *rate = wp_approval_rate_of(p, s);

	return (uint64_t)tasks * rate->asked /
	    (rate->approved > 0 ? rate->approved : 1);
}

bool
wp_is_advice_busy(struct wp_pool *p, const struct wp_step *s)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;

	return wp_approval_rate_of(p, s)->queued_us >
	    policy->advice_decide_us + WP_IDLE_QUEUE_US;
}
