#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "state/gang_plan.h"
#include "state/pool_internal.h"

/*
 * Chooses the advice requests to send.
 *
 * Tickets expire soon. A request for a step that gets no resources before that
 * is wasted and delays the requests of other steps. So steps request advice in
 * scheduling order, and only until their tasks would take all resources that
 * are free or expected to become free.
 */

/* Between two checks of whether a step needs an advice request. */
#define WP_REQUEST_INTERVAL_US (50 * CLK_US_PER_MS)
#define WP_NOT_WORTH_REQUESTING UINT32_MAX
#define WP_MAX_SLOTS_ON_WORKER 64
/* A step with many tasks sends several requests at the same time. */
#define WP_MAX_REQUESTS_IN_FLIGHT 4
/* Workers that a request may name however small its base cost is. */
#define WP_MIN_REQUEST_WORKERS 12
/* Slots requested beyond the expected need: a quarter of it, and some more. */
#define WP_SPARE_SLOTS_DIVISOR 4
#define WP_SPARE_SLOTS 4
#define WP_MAX_SLOTS_WANTED 1000
/*
 * A gang asks for this many times the slots that it needs, as they have to be
 * free at the same time; naming a worker costs little beside the request.
 */
#define WP_GANG_SLOTS_FACTOR 3
/* Approval rate of a queue before the first answer: 35%. */
#define WP_INITIAL_ASKED 100
#define WP_INITIAL_APPROVED 35
/* Above this, the counts of an approval rate are halved. */
#define WP_MAX_ASKED 2000
/* Fraction of a pool that is expected to become free during a request. */
#define WP_TURNOVER_DIVISOR 8
/* Weight of an answer in the time that requests usually wait. */
#define WP_QUEUED_DIVISOR 8
/* Requests wait so long at times although the service is not busy. */
#define WP_IDLE_QUEUE_US (50 * CLK_US_PER_MS)
/* Approved slots for each member of a gang, to have a choice. */
#define WP_GANG_CHOICE 2
/* Part of its base cost by which a renewal may cost more to have spares. */
#define WP_RENEWAL_SPARE_DIVISOR 4
/* Tickets of a planned gang are renewed so much before they are needed. */
#define WP_RENEWAL_MARGIN_US (150 * CLK_US_PER_MS)
/* Steps with requests in flight that are told apart by when these are answered. */
#define WP_MAX_CLAIMS 64

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

int64_t
wp_advice_latency_us(
    struct wp_pool *p, const struct wp_step *s, uint32_t workers)
{
	const struct jb_policy *policy = &s->occ->job->spec->policy;

	return wp_approval_rate_of(p, s)->queued_us + policy->advice_decide_us +
	    (int64_t)policy->advice_period_us * workers;
}

/* Not all workers are approved, and some slots are taken meanwhile. */
static uint32_t
wp_slots_wanted(struct wp_pool *p, const struct wp_step *s)
{
	const struct wp_approval_rate *rate = wp_approval_rate_of(p, s);
	uint64_t slots = (uint64_t)wp_startable_count(s) * rate->asked /
	    (rate->approved > 0 ? rate->approved : 1);

	slots += slots / WP_SPARE_SLOTS_DIVISOR + WP_SPARE_SLOTS;
	if (s->spec->flags & JB_GANG)
		slots *= WP_GANG_SLOTS_FACTOR;
	return slots < WP_MAX_SLOTS_WANTED ? (uint32_t)slots
					   : WP_MAX_SLOTS_WANTED;
}

static bool
wp_may_request_advice(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	return wp_needs_advice(s) &&
	    s->requests_in_flight < WP_MAX_REQUESTS_IN_FLIGHT &&
	    now_us >= s->next_request_us && s->waiting > 0 &&
	    s->requested_slots < wp_slots_wanted(p, s);
}

/* Tasks of a step that fit on a worker, within the step's limit per worker. */
static uint32_t
wp_slots_on(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_resources *need, int64_t now_us)
{
	struct wp_resources available = wp_available_to(s, w, now_us);
	uint32_t fit = gp_fit_count(&available, need, WP_MAX_SLOTS_ON_WORKER);
	uint32_t limit = wp_slots_left(s, w);

	return fit < limit ? fit : limit;
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

/* The cost of naming workers is limited to about the base cost. */
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

/* Slots on a worker if a request should name it, or WP_NOT_WORTH_REQUESTING. */
static uint32_t
wp_slots_worth_requesting(const struct wp_step *s, const struct wp_worker *w,
    const struct wp_resources *need, int64_t now_us)
{
	const struct wp_ticket *ticket;

	if (!wp_is_usable(w, now_us) || !wp_is_suitable(s, w))
		return WP_NOT_WORTH_REQUESTING;
	ticket = wp_ticket_find(s, w);
	if (ticket != NULL && ticket->requested)
		return WP_NOT_WORTH_REQUESTING;
	if (ticket != NULL && ticket->answered &&
	    (!ticket->approved ||
		now_us + WP_TICKET_MARGIN_US <= ticket->expires_us))
		return WP_NOT_WORTH_REQUESTING;
	/* An approved worker is named again only if a task fits on it. */
	if (ticket != NULL && ticket->answered &&
	    wp_slots_on(s, w, need, now_us) == 0)
		return WP_NOT_WORTH_REQUESTING;
	if (wp_slots_left(s, w) == 0 || !wp_has_acceptable_task(s, w, now_us))
		return WP_NOT_WORTH_REQUESTING;
	return wp_slots_on(s, w, need, now_us);
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
 * step is expected to need.
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
		draft->expected_slots += fit > 0 ? fit : 1;
	}
}

/* Counts a filled-in request as in flight. */
static void
wp_send_request(struct wp_pool *p, struct wp_step *s, uint32_t slots,
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
	for (i = 0; i < request->worker_count; i++)
		wp_ticket_get(p, s, wp_find_worker(p, request->worker[i]))
		    ->requested = true;
	p->stats.advice_requests++;
}

static bool
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
	wp_name_workers(p, s, &draft, true, now_us);
	wp_name_workers(p, s, &draft, false, now_us);
	if (request->worker_count == 0)
		return false;
	wp_send_request(p, s, draft.expected_slots, now_us, request);
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

static bool
wp_fill_renewal(struct wp_pool *p, struct wp_step *s, int64_t now_us,
    struct wp_advice_request *request)
{
	uint32_t slots;
	uint32_t max;

	request->worker_count = 0;
	slots = wp_name_reserved(p, s, request);
	if (request->worker_count == 0)
		return false;
	max = request->worker_count + wp_max_spare_workers(s);
	if (max > WP_MAX_ADVICE_WORKERS)
		max = WP_MAX_ADVICE_WORKERS;
	wp_name_spares(p, s, true, max, request, now_us);
	wp_name_spares(p, s, false, max, request, now_us);
	wp_send_request(p, s, slots, now_us, request);
	return true;
}

/* Free resources, and those expected to become free. */
static struct wp_resources
wp_expected_resources(const struct wp_pool *p, int64_t now_us)
{
	struct wp_resources expected = {0};
	struct wp_worker *w;
	struct wp_worker *tmp;

	HASH_ITER(hh, p->workers, w, tmp) {
		struct wp_resources left;
		struct wp_resources idle;

		if (!wp_is_usable(w, now_us))
			continue;
		left = wp_free_resources(w);
		wp_resources_clip(&left);
		idle = wp_idle_reserved(w);
		wp_resources_add(&expected, &left, 1);
		wp_resources_add(&expected, &idle, -1);
		expected.cpu_mcpu += w->capacity.cpu_mcpu / WP_TURNOVER_DIVISOR;
		expected.mem_mb += w->capacity.mem_mb / WP_TURNOVER_DIVISOR;
		expected.gpu += w->capacity.gpu / WP_TURNOVER_DIVISOR;
	}
	return expected;
}

/* Whether the steps before have taken all of a resource that a step needs. */
static bool
wp_is_exhausted(
    const struct wp_resources *expected, const struct wp_resources *need)
{
	return (need->cpu_mcpu > 0 && expected->cpu_mcpu <= 0) ||
	    (need->mem_mb > 0 && expected->mem_mb <= 0) ||
	    (need->gpu > 0 && expected->gpu <= 0);
}

/**
 * struct wp_outlook - resources left for the steps that come next
 * @free: what is free or expected to become free, less what the steps before
 *	can take with tickets that they have
 * @claim: what steps before will take once advice on them is answered,
 *	@claim_count of them
 */
struct wp_outlook {
	struct wp_resources free;
	struct wp_claim {
		int64_t from_us;
		struct wp_resources need;
	} claim[WP_MAX_CLAIMS];
	uint32_t claim_count;
};

static struct wp_resources
wp_waiting_resources(const struct wp_step *s)
{
	struct wp_resources need = wp_task_resources(s->spec);
	int64_t tasks = wp_startable_count(s);

	need.cpu_mcpu *= tasks;
	need.mem_mb *= tasks;
	need.gpu *= tasks;
	return need;
}

static void
wp_deduct_step(struct wp_resources *expected, const struct wp_step *s)
{
	struct wp_resources need = wp_waiting_resources(s);

	wp_resources_add(expected, &need, -1);
}

/* Counts what a step is about to take among what is not left for the next. */
static void
wp_outlook_deduct(struct wp_outlook *outlook, const struct wp_step *s)
{
	struct wp_claim *claim;

	if (s->has_enough_tickets || outlook->claim_count == WP_MAX_CLAIMS) {
		wp_deduct_step(&outlook->free, s);
		return;
	}
	claim = &outlook->claim[outlook->claim_count++];
	claim->from_us = s->answer_due_us;
	claim->need = wp_waiting_resources(s);
}

/* When tasks that start with tickets requested now are expected to have ended. */
static int64_t
wp_expected_run_end_us(
    struct wp_pool *p, const struct wp_step *s, int64_t now_us)
{
	uint32_t workers = wp_max_request_workers(&s->occ->job->spec->policy);

	if ((s->spec->flags & JB_LONG_RUNNING) || s->spec->estimate_ms == 0)
		return INT64_MAX;
	return now_us + wp_advice_latency_us(p, s, workers) +
	    s->spec->estimate_ms * CLK_US_PER_MS;
}

/*
 * Resources left for a step. Those that steps before it will take only after its
 * tasks have ended are its to use.
 */
static struct wp_resources
wp_outlook_for(struct wp_pool *p, const struct wp_outlook *outlook,
    const struct wp_step *s, int64_t now_us)
{
	struct wp_resources left = outlook->free;
	int64_t end_us = wp_expected_run_end_us(p, s, now_us);
	uint32_t i;

	for (i = 0; i < outlook->claim_count; i++) {
		if (outlook->claim[i].from_us < end_us)
			wp_resources_add(&left, &outlook->claim[i].need, -1);
	}
	return left;
}

/* Whether a step should request advice now, given the resources left for it. */
static bool
wp_wants_request(struct wp_pool *p, struct wp_step *s,
    const struct wp_outlook *outlook, int64_t now_us)
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
	left = wp_outlook_for(p, outlook, s, now_us);
	return (s->spec->flags & JB_LONG_RUNNING) ||
	    !wp_is_exhausted(&left, &need);
}

/* Members of a gang that empty workers which have approved it could take. */
static uint32_t
wp_approved_slots(const struct wp_pool *p, const struct wp_step *s)
{
	struct wp_resources need = wp_task_resources(s->spec);
	struct wp_scan scan;
	struct wp_worker *w;
	uint32_t n = 0;

	wp_scan_begin(&scan, p, s);
	while ((w = wp_scan_next(&scan)) != NULL) {
		uint32_t limit = wp_slots_left(s, w);

		if (limit > s->spec->count)
			limit = s->spec->count;
		if (w->listed && !w->draining)
			n += gp_fit_count(&w->capacity, &need, limit);
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
	const struct wp_approval_rate *rate = wp_approval_rate_of(p, s);
	const struct jb_policy *policy = &s->occ->job->spec->policy;
	int64_t latency_us =
	    wp_advice_latency_us(p, s, wp_max_request_workers(policy));

	if (rate->queued_us > policy->advice_decide_us + WP_IDLE_QUEUE_US)
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
	struct wp_outlook outlook = {.free = wp_expected_resources(p, now_us)};
	struct wp_resources for_gangs = wp_usable_capacity(p, now_us);
	struct wp_step *s;

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
		if (wp_wants_request(p, s, &outlook, now_us) &&
		    wp_fill_request(p, s, now_us, request))
			return true;
		if (s->requests_in_flight > 0 || s->has_enough_tickets)
			wp_outlook_deduct(&outlook, s);
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
