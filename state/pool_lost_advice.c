#include <stdlib.h>

#include "state/pool_approval.h"
#include "state/pool_request.h"

/*
 * Advice for long-running tasks that have lost their run, ahead of time.
 *
 * Until the lost run must have ended, the task may not start: its worker is
 * silent, or an earlier owner may have started it. An answer of the advice
 * service can take as long as what is left after that, so it is asked for
 * meanwhile, to arrive shortly before the task may start.
 */

/* Workers that a new owner can reach have told what they run by then. */
#define WP_LOST_SETTLED_US (CLK_US_PER_S)
/* Between two checks of whether a step needs such a request. */
#define WP_LOST_REQUEST_INTERVAL_US (50 * CLK_US_PER_MS)
/* Steps that are asked for at a time. */
#define WP_MAX_LOST_STEPS 64

void
wp_forget_lost_steps(struct wp_pool *p)
{
	uint32_t i;

	for (i = 0; i < p->lost_step_count; i++)
		p->lost_step[i]->lost = 0;
	p->lost_step_count = 0;
}

void
wp_add_lost_step(struct wp_step *s, int64_t from_us)
{
	struct wp_pool *p = s->occ->job->pool;

	if (s->lost > 0) {
		s->lost++;
		if (from_us < s->lost_from_us)
			s->lost_from_us = from_us;
		return;
	}
	if (!wp_needs_advice(s) || s->occ->job->final_state != JB_PENDING ||
	    p->lost_step_count == WP_MAX_LOST_STEPS)
		return;
	if (p->lost_step == NULL)
		p->lost_step =
		    talloc_array(p, struct wp_step *, WP_MAX_LOST_STEPS);
	if (p->lost_step == NULL)
		abort();
	p->lost_step[p->lost_step_count++] = s;
	s->lost = 1;
	s->lost_from_us = from_us;
}

/* Tasks of a step that workers with tickets for that time could take, if empty. */
static uint32_t
wp_slots_with_tickets_at(
    struct wp_pool *p, const struct wp_step *s, int64_t at_us, int64_t now_us)
{
	struct wp_scan scan;
	struct wp_worker *w;
	uint32_t n = 0;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		if (wp_is_usable(w, now_us) && wp_is_suitable(s, w) &&
		    wp_ticket_valid(s, w, at_us) != NULL)
			n += wp_slots_if_empty(s, w);
	}
	return n;
}

static int64_t
wp_answer_expected_us(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	uint32_t max = wp_max_request_workers(&s->occ->job->spec->policy);
	uint32_t workers = wp_slots_wanted(p, s);

	return now_us +
	    wp_advice_latency_us(p, s, workers < max ? workers : max);
}

/* Tickets are to have half of their validity left when the tasks may start. */
static bool
wp_is_request_due(struct wp_pool *p, struct wp_step *s, int64_t now_us)
{
	int64_t valid_us =
	    s->occ->job->spec->policy.advice_valid_ms * CLK_US_PER_MS;

	if (s->requests_in_flight > 0 || now_us < s->next_request_us ||
	    wp_answer_expected_us(p, s, now_us) <
		s->lost_from_us - valid_us / 2)
		return false;
	s->next_request_us = now_us + WP_LOST_REQUEST_INTERVAL_US;
	return wp_slots_with_tickets_at(p, s, s->lost_from_us, now_us) <
	    s->lost;
}

bool
wp_next_lost_request(
    struct wp_pool *p, int64_t now_us, struct wp_advice_request *request)
{
	uint32_t i;

	if (p->ownership_unconfirmed ||
	    (!p->reconciled && now_us < p->first_tick_us + WP_LOST_SETTLED_US))
		return false;
	for (i = 0; i < p->lost_step_count; i++) {
		struct wp_step *s = p->lost_step[i];

		if (wp_is_request_due(p, s, now_us) &&
		    wp_fill_request(p, s, now_us, request))
			return true;
	}
	return false;
}
