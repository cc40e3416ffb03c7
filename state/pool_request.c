#include <string.h>

#include "state/gang_plan.h"
#include "state/pool_approval.h"
#include "state/pool_request.h"

#define WP_NOT_WORTH_REQUESTING UINT32_MAX
#define WP_MAX_SLOTS_ON_WORKER 64
/* Slots requested beyond the expected need: a quarter of it, and some more. */
#define WP_SPARE_SLOTS_DIVISOR 4
#define WP_SPARE_SLOTS 4
#define WP_MAX_SLOTS_WANTED 1000
/*
 * A gang asks for this many times the slots that it needs, as they have to be
 * free at the same time; naming a worker costs little beside the request.
 */
#define WP_GANG_SLOTS_FACTOR 3
/* The same for tasks that have lost their run: a second request takes too long. */
#define WP_LOST_SLOTS_FACTOR 2
/* A ticket is asked for if room is held from so soon after the answer. */
#define WP_HELD_TICKET_US (500 * CLK_US_PER_MS)
/* Part of its base cost by which a renewal may cost more to have spares. */
#define WP_RENEWAL_SPARE_DIVISOR 4

/* Not all workers are approved, and some slots are taken meanwhile. */
uint32_t
wp_slots_wanted(struct wp_pool *p, const struct wp_step *s)
{
	uint32_t tasks = wp_startable_count(s) + s->lost;
	uint64_t slots = wp_slots_to_request(p, s, tasks);

	slots += slots / WP_SPARE_SLOTS_DIVISOR + WP_SPARE_SLOTS;
	if (s->spec->flags & JB_GANG)
		slots *= WP_GANG_SLOTS_FACTOR;
	if (s->lost > 0)
		slots *= WP_LOST_SLOTS_FACTOR;
	return slots < WP_MAX_SLOTS_WANTED ? (uint32_t)slots
					   : WP_MAX_SLOTS_WANTED;
}

uint32_t
wp_slots_on(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_resources *need, int64_t now_us)
{
	struct wp_resources available = wp_available_to(s, w, now_us);
	uint32_t fit = gp_fit_count(&available, need, WP_MAX_SLOTS_ON_WORKER);
	uint32_t limit = wp_slots_left(s, w);

	return fit < limit ? fit : limit;
}

uint32_t
wp_slots_if_empty(const struct wp_step *s, const struct wp_worker *w)
{
	struct wp_resources need = wp_task_resources(s->spec);
	uint32_t limit = wp_slots_left(s, w);

	if (limit > s->spec->count)
		limit = s->spec->count;
	return gp_fit_count(&w->capacity, &need, limit);
}

/* Steps begin at different workers, so that they do not all name the same. */
static uint32_t
wp_step_hash(const struct wp_step *s)
{
	const char *c;
	uint32_t h = s->occ->number * 31 + s->number;

	for (c = s->occ->job->spec->id; *c != '\0'; c++)
		h = h * 31 + (uint8_t)*c;
	return h;
}

/* Room that lost tasks are given there by the time of an answer, or soon after. */
static uint32_t
wp_slots_held_soon(
    const struct wp_step *s, const struct wp_worker *w, int64_t now_us)
{
	struct wp_pool *p = s->occ->job->pool;

	return wp_held_slots_by(
	    s, w, now_us + wp_advice_latency_us(p, s, 1) + WP_HELD_TICKET_US);
}

/* Slots on a worker if a request should name it, or WP_NOT_WORTH_REQUESTING. */
static uint32_t
wp_slots_worth_requesting(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_resources *need, int64_t now_us)
{
	const struct wp_ticket *ticket;
	uint32_t slots;

	if (!wp_is_usable(w, now_us) || !wp_is_suitable(s, w))
		return WP_NOT_WORTH_REQUESTING;
	ticket = wp_ticket_find(s, w);
	if (ticket != NULL && ticket->requested)
		return WP_NOT_WORTH_REQUESTING;
	if (ticket != NULL && ticket->answered &&
	    (!ticket->approved ||
		now_us + WP_TICKET_MARGIN_US <= ticket->expires_us))
		return WP_NOT_WORTH_REQUESTING;
	slots = wp_slots_on(s, w, need, now_us);
	if (slots == 0)
		slots = wp_slots_held_soon(s, w, now_us);
	/* An approved worker is named again only if a task fits on it. */
	if (ticket != NULL && ticket->answered && slots == 0)
		return WP_NOT_WORTH_REQUESTING;
	if (wp_slots_left(s, w) == 0 ||
	    (s->lost == 0 && !wp_has_acceptable_task(s, w, now_us)))
		return WP_NOT_WORTH_REQUESTING;
	return slots;
}

/**
 * struct wp_request_draft - an advice request that is being filled in
 * @request: the request
 * @need: resources of one task
 * @max_workers: workers that it may name
 * @wanted_slots: slots that it should ask for
 * @expected_slots: slots on the workers named so far, at least one for each
 */
struct wp_request_draft {
	struct wp_advice_request *request;
	struct wp_resources need;
	uint32_t max_workers;
	uint32_t wanted_slots;
	uint32_t expected_slots;
};

/*
 * The answer takes longer for each worker named, so no more are named than the
 * step is expected to need. In an urgent request each counts as one slot, as all
 * the slots of a worker are refused together.
 */
static void
wp_name_workers(const struct wp_pool *p, const struct wp_step *s,
    struct wp_request_draft *draft, bool with_slots, int64_t now_us)
{
	uint32_t count = HASH_COUNT(p->workers);
	uint32_t skip = count > 0 ? wp_step_hash(s) % count : 0;
	struct wp_worker *w = p->workers;
	uint32_t i;

	for (i = 0; i < skip; i++)
		w = w->hh.next;
	for (i = 0; i < count; i++, w = w->hh.next) {
		uint32_t fit;

		if (w == NULL)
			w = p->workers;
		if (draft->request->worker_count >= draft->max_workers ||
		    draft->expected_slots >= draft->wanted_slots)
			return;
		fit = wp_slots_worth_requesting(s, w, &draft->need, now_us);
		if (fit == WP_NOT_WORTH_REQUESTING || (fit > 0) != with_slots)
			continue;
		draft->request->worker[draft->request->worker_count++] = w->id;
		draft->expected_slots +=
		    fit > 0 && !draft->request->urgent ? fit : 1;
	}
}

static bool
wp_has_lost_task(const struct wp_step *s)
{
	bool has = s->lost > 0;
	uint32_t i;

	for (i = 0; !has && wp_lasts(s) && i < s->spec->count; i++)
		has = wp_is_interrupted(&s->task[i]);
	return has;
}

/* Counts a filled-in request as in flight. */
static void
wp_begin_request(struct wp_pool *p, struct wp_step *s, uint32_t slots,
    int64_t now_us, struct wp_advice_request *request)
{
	const struct jb_spec *spec = s->occ->job->spec;
	uint32_t i;

	memcpy(request->job, spec->id, sizeof(request->job));
	request->occurrence = s->occ->number;
	request->step = s->number;
	request->base_cost_us = spec->policy.advice_decide_us;
	request->worker_cost_us = spec->policy.advice_period_us;
	request->valid_ms = spec->policy.advice_valid_ms;
	request->priority = spec->policy.priority;
	request->made_us = now_us;
	request->slots = slots;
	if (s->requests_in_flight == 0)
		s->answer_due_us =
		    now_us + wp_advice_latency_us(p, s, request->worker_count);
	s->requests_in_flight++;
	s->asked_us = now_us;
	s->requested_slots += slots;
	for (i = 0; i < request->worker_count; i++) {
		struct wp_worker *w = wp_find_worker(p, request->worker[i]);

		request->incarnation_ms[i] = w->incarnation_ms;
		wp_ticket_get(p, s, w)->requested = true;
	}
	p->stats.advice_requests++;
}

bool
wp_fill_request(struct wp_pool *p, struct wp_step *s, int64_t now_us,
    struct wp_advice_request *request)
{
	struct wp_request_draft draft = {
	    .request = request,
	    .need = wp_task_resources(s->spec),
	    .max_workers = wp_max_request_workers(&s->occ->job->spec->policy),
	    .wanted_slots = wp_slots_wanted(p, s) - s->requested_slots,
	};

	request->worker_count = 0;
	request->urgent = wp_has_lost_task(s);
	wp_name_workers(p, s, &draft, true, now_us);
	wp_name_workers(p, s, &draft, false, now_us);
	if (request->worker_count == 0)
		return false;
	wp_begin_request(p, s, draft.expected_slots, now_us, request);
	return true;
}

/* Names the workers reserved for a gang whose tickets expire before it starts. */
static uint32_t
wp_name_reserved(const struct wp_pool *p, const struct wp_step *s,
    struct wp_advice_request *request)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < s->ticket_count; i++) {
		const struct wp_ticket *ticket = &s->ticket[i];
		struct wp_worker *w = p->worker_by_index[ticket->worker_index];

		if (ticket->reserved == 0 || ticket->requested ||
		    wp_ticket_valid(s, w, s->planned_us) != NULL ||
		    request->worker_count == WP_MAX_ADVICE_WORKERS)
			continue;
		request->worker[request->worker_count++] = w->id;
		slots += ticket->reserved;
	}
	return slots;
}

/* Further workers that a renewal may name, as each of them costs little. */
static uint32_t
wp_max_spare_workers(const struct wp_step *s)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;
	uint32_t max = s->spec->count;

	if (policy->advice_period_us > 0)
		max = policy->advice_decide_us / WP_RENEWAL_SPARE_DIVISOR /
		    policy->advice_period_us;
	return max < s->spec->count ? max : s->spec->count;
}

/*
 * Names workers that have approved a gang and are not reserved for it, first
 * those with room for a member. What a reserved worker has free may be taken
 * while the request is in flight; a request about one replacement takes as long
 * again, and the other tickets expire meanwhile.
 */
static void
wp_name_spares(const struct wp_pool *p, const struct wp_step *s, bool with_room,
    uint32_t max, struct wp_advice_request *request, int64_t now_us)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_scan scan;
	struct wp_worker *w;

	wp_scan_begin(&scan, p, s);
	while (
	    (w = wp_scan_next(&scan)) != NULL && request->worker_count < max) {
		const struct wp_ticket *ticket = wp_ticket_find(s, w);

		if (ticket == NULL || ticket->reserved > 0 ||
		    ticket->requested || !wp_is_usable(w, now_us) ||
		    !wp_is_suitable(s, w) ||
		    wp_ticket_valid(s, w, s->planned_us) != NULL ||
		    (wp_slots_on(s, w, &need, now_us) > 0) != with_room)
			continue;
		request->worker[request->worker_count++] = w->id;
	}
}

bool
wp_fill_renewal(struct wp_pool *p, struct wp_step *s, int64_t now_us,
    struct wp_advice_request *request)
{
	uint32_t slots;
	uint32_t max;

	request->worker_count = 0;
	/* Lost tasks of gangs are not restored. */
	request->urgent = false;
	slots = wp_name_reserved(p, s, request);
	if (request->worker_count == 0)
		return false;
	max = request->worker_count + wp_max_spare_workers(s);
	if (max > WP_MAX_ADVICE_WORKERS)
		max = WP_MAX_ADVICE_WORKERS;
	wp_name_spares(p, s, true, max, request, now_us);
	wp_name_spares(p, s, false, max, request, now_us);
	wp_begin_request(p, s, slots, now_us, request);
	return true;
}
