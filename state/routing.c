#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/routing.h"

#define RT_EJECT_AFTER 3
#define RT_EJECT_US (500 * CLK_US_PER_MS)
#define RT_MAX_EJECT_SHIFT 6
#define RT_RETRY_TOKEN 1000U
#define RT_MAX_RETRY_TOKENS (20U * RT_RETRY_TOKEN)
#define RT_SMOOTHING 8
#define RT_MAX_ATTEMPTS 4
#define RT_MIN_RETRY_MS 20
#define RT_MAX_RETRY_MS 2000

struct rt_service *
rt_create(TALLOC_CTX *ctx, const char *name, const struct po_policy *policy,
    uint64_t seed)
{
	struct rt_service *s;

	s = talloc_zero(ctx, struct rt_service);
	if (s == NULL)
		return NULL;
	s->name = talloc_strdup(s, name);
	s->policy = policy;
	s->rng.state = seed;
	s->daemons = 1;
	s->choose = rt_choose_least_outstanding;
	return s;
}

void
rt_set_policy(struct rt_service *s, const struct po_policy *policy)
{
	s->policy = policy;
}

void
rt_begin_update(struct rt_service *s)
{
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++)
		s->endpoint[i].configured = false;
}

void
rt_update_endpoint(struct rt_service *s, const char *id, const char *address,
    uint32_t slots, bool leaving)
{
	struct rt_endpoint *e = NULL;
	uint32_t i;

	/* Indices must not change: attempts in flight refer to them. */
	for (i = 0; i < s->endpoint_count && e == NULL; i++) {
		if (strcmp(s->endpoint[i].id, id) == 0 &&
		    strcmp(s->endpoint[i].address, address) == 0)
			e = &s->endpoint[i];
	}
	if (e == NULL) {
		s->endpoint = talloc_realloc(
		    s, s->endpoint, struct rt_endpoint, s->endpoint_count + 1);
		if (s->endpoint == NULL)
			abort();
		e = &s->endpoint[s->endpoint_count++];
		memset(e, 0, sizeof(*e));
		e->id = talloc_strdup(s, id);
		e->address = talloc_strdup(s, address);
	}
	e->slots = slots;
	e->leaving = leaving;
	e->configured = true;
}

static void
rt_compute_shares(struct rt_service *s)
{
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		struct rt_endpoint *e = &s->endpoint[i];
		uint32_t extra = e->slots % s->daemons;

		/* Rotates by endpoint which daemons get a slot more. */
		e->share = e->slots / s->daemons;
		if ((s->rank + i) % s->daemons < extra)
			e->share++;
	}
}

static bool
rt_is_available(const struct rt_endpoint *e, int64_t now_us)
{
	if (!e->configured || e->leaving || now_us < e->ejected_until_us)
		return false;
	if (e->probing)
		return e->outstanding == 0;
	return e->outstanding < e->share;
}

uint32_t
rt_choose_least_outstanding(
    struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t best = RT_NONE;
	uint32_t ties = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		const struct rt_endpoint *e = &s->endpoint[i];

		if (i == req->avoid_endpoint || !rt_is_available(e, now_us))
			continue;
		if (best != RT_NONE) {
			uint32_t least = s->endpoint[best].outstanding;

			if (e->outstanding > least)
				continue;
			if (e->outstanding == least &&
			    rng_below(&s->rng, ++ties + 1) != 0)
				continue;
			if (e->outstanding < least)
				ties = 0;
		}
		best = i;
	}
	return best;
}

uint32_t
rt_choose_two_random(
    struct rt_service *s, const struct rt_request *req, int64_t now_us)
{
	uint32_t a;
	uint32_t b;

	(void)req;
	if (s->endpoint_count == 0)
		return RT_NONE;
	a = (uint32_t)rng_below(&s->rng, s->endpoint_count);
	b = (uint32_t)rng_below(&s->rng, s->endpoint_count);
	if (!rt_is_available(&s->endpoint[a], now_us) ||
	    (rt_is_available(&s->endpoint[b], now_us) &&
		s->endpoint[b].outstanding < s->endpoint[a].outstanding))
		a = b;
	return rt_is_available(&s->endpoint[a], now_us) ? a : RT_NONE;
}

static struct rt_action *
rt_add_action(
    struct rt_service *s, enum rt_action_kind kind, struct rt_request *req)
{
	struct rt_action *a;

	a = talloc_zero(s, struct rt_action);
	if (a == NULL)
		abort();
	a->kind = kind;
	a->request = req;
	if (s->last_action != NULL)
		s->last_action->next = a;
	else
		s->actions = a;
	s->last_action = a;
	return a;
}

bool
rt_next_action(struct rt_service *s, struct rt_action *out)
{
	struct rt_action *a = s->actions;

	if (a == NULL)
		return false;
	s->actions = a->next;
	if (s->actions == NULL)
		s->last_action = NULL;
	*out = *a;
	talloc_free(a);
	return true;
}

static uint32_t
rt_total_share(const struct rt_service *s)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		if (s->endpoint[i].configured && !s->endpoint[i].leaving)
			total += s->endpoint[i].share;
	}
	return total;
}

static int64_t
rt_expected_wait_us(const struct rt_service *s, enum st_class c)
{
	uint32_t slots = rt_total_share(s);
	uint64_t ahead = 0;
	unsigned int i;

	for (i = 0; i <= (unsigned int)c; i++)
		ahead += s->queued[i];
	if (slots == 0)
		return 0;
	return (int64_t)(ahead + 1) * s->service_us / slots;
}

static void
rt_refuse(struct rt_service *s, struct rt_request *req, enum rt_reason reason)
{
	struct rt_action *a;
	int64_t ms;

	a = rt_add_action(
	    s, req->may_have_run ? RT_REPORT_UNKNOWN : RT_REFUSE, req);
	ms = rt_expected_wait_us(s, req->request_class) / CLK_US_PER_MS;
	if (ms < RT_MIN_RETRY_MS)
		ms = RT_MIN_RETRY_MS;
	if (ms > RT_MAX_RETRY_MS)
		ms = RT_MAX_RETRY_MS;
	a->reason = reason;
	a->retry_after_ms = (uint32_t)ms;
}

static void
rt_send(
    struct rt_service *s, struct rt_request *req, uint32_t e, int64_t now_us)
{
	req->endpoint = e;
	req->sent_us = now_us;
	req->attempts++;
	s->endpoint[e].outstanding++;
	s->outstanding++;
	s->sends++;
	rt_add_action(s, RT_SEND, req);
}

/* Whether it would miss its deadline after waiting @wait_us for a slot. */
static bool
rt_misses_deadline(const struct rt_service *s, const struct rt_request *req,
    int64_t wait_us, int64_t now_us)
{
	return now_us + wait_us + s->service_us >= req->deadline_us;
}

static void
rt_queue_push(struct rt_service *s, struct rt_request *req)
{
	DL_APPEND(s->queue[req->request_class], req);
	s->queued[req->request_class]++;
}

static void
rt_queue_remove(struct rt_service *s, struct rt_request *req)
{
	DL_DELETE(s->queue[req->request_class], req);
	s->queued[req->request_class]--;
}

/* Refuses the newest waiting request of the least urgent class below @c. */
static bool
rt_evict(struct rt_service *s, enum st_class c)
{
	struct rt_request *victim;
	int i;

	for (i = ST_CLASS_COUNT - 1; i > (int)c; i--) {
		if (s->queue[i] == NULL)
			continue;
		victim = s->queue[i]->prev;
		rt_queue_remove(s, victim);
		rt_refuse(s, victim, RT_EVICTED);
		return true;
	}
	return false;
}

static bool
rt_queue_has_room(const struct rt_service *s, enum st_class c)
{
	uint32_t limit = s->policy->queue_per_slot[c] * rt_total_share(s);

	return s->queued[c] < limit;
}

static void
rt_dispatch(struct rt_service *s, struct rt_request *req, int64_t now_us)
{
	enum st_class c = req->request_class;
	uint32_t e = RT_NONE;
	int64_t wait_us;

	if (rt_misses_deadline(s, req, 0, now_us)) {
		rt_refuse(s, req, RT_TOO_LATE);
		return;
	}
	/* Requests that already wait go first. */
	if (s->queued[ST_URGENT] == 0 && (c == ST_URGENT || s->queued[c] == 0))
		e = s->choose(s, req, now_us);
	if (e != RT_NONE) {
		rt_send(s, req, e, now_us);
		return;
	}
	if (req->may_forward && s->peer_free_slots > 0) {
		s->peer_free_slots--;
		req->may_forward = false;
		rt_add_action(s, RT_FORWARD, req);
		return;
	}
	if (rt_total_share(s) == 0) {
		rt_refuse(s, req, RT_NO_ENDPOINT);
		return;
	}
	wait_us = rt_expected_wait_us(s, c);
	if (rt_misses_deadline(s, req, wait_us, now_us)) {
		rt_refuse(s, req, RT_TOO_LATE);
		return;
	}
	if (!rt_queue_has_room(s, c) && !rt_evict(s, c)) {
		rt_refuse(s, req, RT_QUEUE_FULL);
		return;
	}
	rt_queue_push(s, req);
}

void
rt_request_arrived(struct rt_service *s, struct rt_request *req, int64_t now_us)
{
	req->arrived_us = now_us;
	req->endpoint = RT_NONE;
	req->avoid_endpoint = RT_NONE;
	req->attempts = 0;
	req->may_have_run = false;
	s->retry_tokens += s->policy->retry_percent * RT_RETRY_TOKEN / 100;
	if (s->retry_tokens > RT_MAX_RETRY_TOKENS)
		s->retry_tokens = RT_MAX_RETRY_TOKENS;
	rt_dispatch(s, req, now_us);
}

static void
rt_record_success(struct rt_service *s, struct rt_endpoint *e, int64_t us)
{
	e->failures = 0;
	e->ejections = 0;
	e->probing = false;
	e->service_us += (us - e->service_us) / RT_SMOOTHING;
	s->service_us += (us - s->service_us) / (RT_SMOOTHING * 4);
}

static void
rt_record_failure(struct rt_endpoint *e, int64_t now_us)
{
	uint32_t shift;

	e->failures++;
	if (e->failures < RT_EJECT_AFTER && !e->probing)
		return;
	shift = e->ejections < RT_MAX_EJECT_SHIFT ? e->ejections
						  : RT_MAX_EJECT_SHIFT;
	e->ejected_until_us = now_us + (RT_EJECT_US << shift);
	e->ejections++;
	e->failures = 0;
	e->probing = true;
	ct_add(CT_REQ_EJECTIONS, 1);
}

static bool
rt_spend_retry_token(struct rt_service *s, const struct rt_request *req)
{
	if (req->attempts >= RT_MAX_ATTEMPTS ||
	    s->retry_tokens < RT_RETRY_TOKEN)
		return false;
	s->retry_tokens -= RT_RETRY_TOKEN;
	s->retries++;
	ct_add(CT_REQ_RETRIES, 1);
	return true;
}

static void
rt_dispatch_queue(struct rt_service *s, int64_t now_us)
{
	struct rt_request *req;
	unsigned int c;
	uint32_t e;

	for (c = 0; c < ST_CLASS_COUNT; c++) {
		while ((req = s->queue[c]) != NULL) {
			if (rt_misses_deadline(s, req, 0, now_us)) {
				rt_queue_remove(s, req);
				rt_refuse(s, req, RT_TOO_LATE);
				continue;
			}
			e = s->choose(s, req, now_us);
			if (e == RT_NONE && req->avoid_endpoint != RT_NONE) {
				req->avoid_endpoint = RT_NONE;
				e = s->choose(s, req, now_us);
			}
			if (e == RT_NONE)
				return;
			rt_queue_remove(s, req);
			rt_send(s, req, e, now_us);
		}
	}
}

static void
rt_retry(struct rt_service *s, struct rt_request *req,
    enum rt_attempt_result how, int64_t now_us)
{
	if (how == RT_LOST)
		req->may_have_run = true;
	if ((req->may_have_run && !req->idempotent) ||
	    !rt_spend_retry_token(s, req)) {
		rt_refuse(s, req, RT_NO_RETRY);
		return;
	}
	rt_dispatch(s, req, now_us);
}

void
rt_attempt_ended(struct rt_service *s, struct rt_request *req,
    enum rt_attempt_result how, int64_t now_us)
{
	struct rt_endpoint *e = &s->endpoint[req->endpoint];

	e->outstanding--;
	s->outstanding--;
	req->avoid_endpoint = s->endpoint_count > 1 ? req->endpoint : RT_NONE;
	req->endpoint = RT_NONE;
	if (how == RT_ANSWERED) {
		rt_record_success(s, e, now_us - req->sent_us);
		ct_hist_record(
		    &s->latency[req->request_class], now_us - req->arrived_us);
	} else {
		rt_record_failure(e, now_us);
		rt_retry(s, req, how, now_us);
	}
	rt_dispatch_queue(s, now_us);
}

void
rt_forward_failed(struct rt_service *s, struct rt_request *req, int64_t now_us)
{
	rt_dispatch(s, req, now_us);
}

static void
rt_expire_queue(struct rt_service *s, int64_t now_us)
{
	struct rt_request *req;
	struct rt_request *next;
	unsigned int c;

	for (c = 0; c < ST_CLASS_COUNT; c++) {
		DL_FOREACH_SAFE(s->queue[c], req, next) {
			if (!rt_misses_deadline(s, req, 0, now_us))
				continue;
			rt_queue_remove(s, req);
			rt_refuse(s, req, RT_TOO_LATE);
		}
	}
}

void
rt_tick(struct rt_service *s, int64_t now_us)
{
	rt_expire_queue(s, now_us);
	rt_dispatch_queue(s, now_us);
}

void
rt_end_update(struct rt_service *s, int64_t now_us)
{
	rt_compute_shares(s);
	rt_dispatch_queue(s, now_us);
}

void
rt_set_share(
    struct rt_service *s, uint32_t rank, uint32_t daemons, int64_t now_us)
{
	if (s->rank == rank && s->daemons == daemons)
		return;
	s->rank = rank;
	s->daemons = daemons > 0 ? daemons : 1;
	rt_compute_shares(s);
	rt_dispatch_queue(s, now_us);
}

void
rt_set_peer_free_slots(struct rt_service *s, uint32_t slots)
{
	s->peer_free_slots = slots;
}

int32_t
rt_free_slots(const struct rt_service *s, int64_t now_us)
{
	int32_t n = 0;
	uint32_t i;

	for (i = 0; i < s->endpoint_count; i++) {
		const struct rt_endpoint *e = &s->endpoint[i];

		if (rt_is_available(e, now_us) && !e->probing)
			n += (int32_t)(e->share - e->outstanding);
	}
	return n;
}

const char *
rt_reason_text(enum rt_reason r)
{
	static const char *const text[] = {
	    [RT_QUEUE_FULL] = "the queue of this class is full",
	    [RT_TOO_LATE] = "it could not finish before its deadline",
	    [RT_NO_ENDPOINT] = "no endpoint takes requests",
	    [RT_NO_RETRY] = "endpoints refused it and no retry is left",
	    [RT_EVICTED] = "more urgent requests needed its place",
	};

	return text[r];
}
