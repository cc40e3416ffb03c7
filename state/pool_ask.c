#include <utlist.h>

#include "state/pool_approval.h"
#include "state/pool_forecast.h"
#include "state/pool_request.h"

/*
 * Chooses the steps that request advice.
 *
 * Tickets expire soon. A request for a step that gets no resources before that
 * is wasted and delays the requests of other steps. So steps request advice in
 * scheduling order, and only until their tasks would take all resources that
 * are free or expected to become free.
 */

/* Between two checks of whether a step needs an advice request. */
#define WP_REQUEST_INTERVAL_US (50 * CLK_US_PER_MS)
/* A step with many tasks sends several requests at the same time. */
#define WP_MAX_REQUESTS_IN_FLIGHT 4
/* Approved slots for each member of a gang, to have a choice. */
#define WP_GANG_CHOICE 2
/* Tickets of a planned gang are renewed so much before they are needed. */
#define WP_RENEWAL_MARGIN_US (150 * CLK_US_PER_MS)

static bool
wp_may_request_advice(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	return wp_needs_advice(s) &&
	    s->requests_in_flight < WP_MAX_REQUESTS_IN_FLIGHT &&
	    now_us >= s->next_request_us && s->waiting > 0 &&
	    s->requested_slots < wp_slots_wanted(p, s);
}

/* Tasks of the step that could start now with valid tickets. */
static uint32_t
wp_slots_with_tickets(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_scan scan;
	struct wp_worker *w;
	uint32_t n = 0;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (wp_may_start_on(s, w, now_us) &&
		    wp_has_acceptable_task(s, w, now_us))
			n += wp_slots_on(s, w, &need, now_us);
	}
	return n;
}

/* Whether a step should request advice now, given the resources left for it. */
static bool
wp_wants_request(struct wp_pool *p, struct wp_step *s,
    const struct wp_forecast *forecast, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_resources left;

	if (!wp_may_request_advice(p, s, now_us))
		return false;
	s->next_request_us = now_us + WP_REQUEST_INTERVAL_US;
	s->has_enough_tickets =
	    wp_slots_with_tickets(p, s, now_us) >= wp_startable_count(s);
	if (s->has_enough_tickets)
		return false;
	left = wp_forecast_for(p, forecast, s, now_us);
	return (s->spec->flags & JB_LONG_RUNNING) ||
	    !wp_is_exhausted(&left, &need);
}

/* Members of a gang that empty workers which have approved it could take. */
static uint32_t
wp_approved_slots(const struct wp_pool *p, const struct wp_step *s)
{
	struct wp_scan scan;
	struct wp_worker *w;
	uint32_t n = 0;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (w->listed && !w->draining)
			n += wp_slots_if_empty(s, w);
	}
	return n;
}

/*
 * Whether to ask about further workers, although enough have approved a gang:
 * while they might let it start sooner, and the advice service has time.
 */
static bool
wp_wants_more_choice(
    struct wp_pool *p, const struct wp_step *s, uint32_t slots, int64_t now_us)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;
	int64_t latency_us =
	    wp_advice_latency_us(p, s, wp_max_request_workers(policy));

	if (wp_is_advice_busy(p, s))
		return false;
	return slots < WP_GANG_CHOICE * s->spec->count ||
	    s->planned_us > now_us + 2 * latency_us;
}

static bool
wp_wants_more_workers(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	uint32_t slots = wp_approved_slots(p, s);

	/* Those that have approved it may stay full. */
	return slots < s->spec->count || s->planned_us == INT64_MAX ||
	    wp_wants_more_choice(p, s, slots, now_us);
}

/*
 * Advice for a gang that can't start yet: enough workers are asked for once, to
 * have a choice. Later only tickets for reserved workers are renewed, when the
 * gang is about to start.
 */
static bool
wp_next_gang_request(struct wp_pool *p, struct wp_step *s,
    const struct wp_resources *expected, int64_t now_us,
    struct wp_advice_request *request)
{
	struct wp_resources need = wp_task_resources(s->spec);

	if (!wp_may_request_advice(p, s, now_us) || s->requests_in_flight > 0)
		return false;
	s->next_request_us = now_us + WP_REQUEST_INTERVAL_US;
	if (wp_wants_more_workers(p, s, now_us) &&
	    !wp_is_exhausted(expected, &need) &&
	    wp_fill_request(p, s, now_us, request))
		return true;
	return s->reserved &&
	    s->planned_us - now_us <=
	    wp_advice_latency_us(p, s, s->spec->count) + WP_RENEWAL_MARGIN_US &&
	    wp_fill_renewal(p, s, now_us, request);
}

bool
wp_next_advice_request(
    struct wp_pool *p, int64_t now_us, struct wp_advice_request *request)
{
	struct wp_forecast forecast = {
	    .free = wp_expected_resources(p, now_us)};
	struct wp_resources for_gangs = wp_usable_capacity(p, now_us);
	struct wp_step *s;

	if (wp_next_lost_request(p, now_us, request))
		return true;
	DL_FOREACH(p->ready, s) {
		if (!wp_needs_advice(s))
			continue;
		if (s->spec->flags & JB_GANG) {
			if (wp_next_gang_request(
				p, s, &for_gangs, now_us, request))
				return true;
			wp_deduct_step(&for_gangs, s);
			continue;
		}
		if (wp_wants_request(p, s, &forecast, now_us) &&
		    wp_fill_request(p, s, now_us, request))
			return true;
		if (s->requests_in_flight > 0 || s->has_enough_tickets)
			wp_forecast_deduct(&forecast, s);
	}
	/* One request each: the rest is requested when the step is ready. */
	DL_FOREACH2(p->upcoming, s, upcoming_next)
	{
		if (wp_may_request_advice(p, s, now_us) &&
		    s->ticket_count == 0 &&
		    wp_fill_request(p, s, now_us, request))
			return true;
	}
	return false;
}
