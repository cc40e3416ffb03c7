#include <stdlib.h>
#include <utlist.h>

#include "common/clock.h"
#include "state/routing_internal.h"

#define RT_RETRY_TOKEN 1000U
#define RT_MAX_RETRY_TOKENS (20U * RT_RETRY_TOKEN)
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
