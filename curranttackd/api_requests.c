#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/burn.h"
#include "curranttackd/front.h"

#define RQ_DEADLINE_MS 10000
#define RQ_MAX_DEADLINE_MS (10 * 60 * 1000)
#define RQ_MAX_FORWARD_BYTES ((size_t)1900 << 10)
#define RQ_URL_BYTES 160
#define RQ_ID_BYTES 64
#define RQ_MAX_KEY_BYTES 128
#define RQ_TYPE_BYTES 128

/**
 * struct request - one request to a service while it is served
 * @rt: its part of the routing state
 * @front: loop that serves it
 * @service: service
 * @http: the caller's request, or NULL when a peer forwarded it
 * @done: answer to the peer, with @done_arg, on the control loop
 * @key: scoped idempotency key that endpoints see, or NULL
 * @claimed: we hold the claim on @key and must end it
 * @id: names it in logs and towards endpoints
 */
struct request {
	struct rt_request rt;
	struct frontend *front;
	struct dm_service *service;
	struct hs_request *http;
	call_done_fn done;
	void *done_arg;
	char *key;
	bool claimed;
	char id[RQ_ID_BYTES];
	uint8_t *body;
	size_t body_bytes;
	int64_t received_us;
};

/** struct answer - what a request ended with */
struct answer {
	enum st_outcome outcome;
	int status;
	const char *reason;
	uint32_t retry_after_ms;
	const char *content_type;
	const uint8_t *body;
	size_t body_bytes;
};

/** struct rq_task - an action on its way to the request's loop */
struct rq_task {
	struct rt_action action;
	struct request *r;
	char address[MB_NAME_BYTES];
};

static atomic_uint_fast64_t rq_next_id;

static struct request *
rq_create(struct frontend *f, struct dm_service *s)
{
	struct request *r;

	r = talloc_zero(NULL, struct request);
	if (r == NULL)
		abort();
	r->front = f;
	r->service = s;
	r->rt.arg = r;
	r->received_us = clk_now_us();
	snprintf(r->id, sizeof(r->id), "%" PRIx64 "-%" PRIx64,
	    f->d->incarnation, (uint64_t)atomic_fetch_add(&rq_next_id, 1));
	atomic_fetch_add(&f->d->requests_in_flight, 1);
	return r;
}

static void
rq_ignore_reply(const Currant__Reply *reply, void *arg)
{
	(void)reply;
	(void)arg;
}

/* Tells the key's home shard how the claimed request ended. */
static void
rq_end_claim(struct request *r, const struct answer *a)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__ClaimEnd end = CURRANT__CLAIM_END__INIT;
	struct call_target target = {0};
	const struct cf_shard *home;
	char shard[MB_NAME_BYTES] = "";

	pthread_mutex_lock(&r->front->d->config_lock);
	home = cf_home_shard(r->front->d->config->shards, r->key, NULL, NULL);
	if (home != NULL)
		snprintf(shard, sizeof(shard), "%s", home->id);
	pthread_mutex_unlock(&r->front->d->config_lock);
	end.key = r->key;
	end.result = a->outcome == ST_DONE ? ST_RESULT_DONE
	    : a->outcome == ST_NOT_RUN	   ? ST_RESULT_NONE
					   : ST_RESULT_UNKNOWN;
	end.status = (uint32_t)a->status;
	end.answer.data = (uint8_t *)a->body;
	end.answer.len = a->body_bytes;
	call.claim_end = &end;
	target.shard = shard;
	ca_start_from_frontend(r->front, &call, &target,
	    clk_now_us() + 10 * CLK_US_PER_S, rq_ignore_reply, NULL);
}

static void
rq_count(struct request *r, const struct answer *a)
{
	struct dm_service *s = r->service;

	ct_add(a->outcome == ST_DONE	   ? CT_REQ_DONE
		: a->outcome == ST_NOT_RUN ? CT_REQ_NOT_RUN
					   : CT_REQ_UNKNOWN,
	    1);
	/* A forwarded request counts where its caller is. */
	if (r->http == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	bu_record(s->burn, r->rt.request_class, a->outcome == ST_DONE,
	    clk_now_us() - r->received_us);
	pthread_mutex_unlock(&s->lock);
}

static void
rq_answer_caller(struct request *r, const struct answer *a)
{
	struct hs_header headers[2] = {
	    {"X-Outcome", st_outcome_name(a->outcome)},
	    {"X-Request-Id", r->id}};

	if (a->outcome == ST_DONE)
		hs_respond(r->http, a->status, a->content_type, a->body,
		    a->body_bytes, headers, 2);
	else
		fr_respond_outcome(r->http, a->status, a->outcome, a->reason,
		    a->retry_after_ms);
}

static void
rq_answer_peer(struct request *r, const struct answer *a)
{
	Currant__Reply reply;

	ca_init_reply(&reply, a->outcome, (uint32_t)a->status, a->reason,
	    a->retry_after_ms);
	if (a->outcome == ST_DONE && a->body_bytes > RQ_MAX_FORWARD_BYTES) {
		ca_init_reply(&reply, ST_UNKNOWN, 504,
		    "it ran, but its answer is too large to be forwarded", 0);
	} else if (a->outcome == ST_DONE) {
		reply.has_body = 1;
		reply.body.data = (uint8_t *)a->body;
		reply.body.len = a->body_bytes;
		reply.content_type = (char *)a->content_type;
	}
	ca_post_reply(r->front->d->control_loop, &reply, r->done, r->done_arg);
}

static void
rq_finish(struct request *r, const struct answer *a)
{
	rq_count(r, a);
	if (a->outcome == ST_UNKNOWN)
		lg_event(LG_WARN, "requests", "outcome_unknown", "service",
		    r->service->name, "request", r->id, "reason", a->reason,
		    NULL);
	if (r->claimed)
		rq_end_claim(r, a);
	if (r->http != NULL)
		rq_answer_caller(r, a);
	else
		rq_answer_peer(r, a);
	atomic_fetch_sub(&r->front->d->requests_in_flight, 1);
	talloc_free(r);
}

static enum rt_attempt_result
rq_judge(struct request *r, const struct hc_response *resp)
{
	char text[RQ_ID_BYTES];

	if (resp->error == HC_NOT_CONNECTED)
		return RT_UNSENT;
	if (resp->error != HC_OK)
		return RT_LOST;
	if (resp->status == 503 &&
	    hc_header_value(resp, "X-Not-Run", text, sizeof(text)) != NULL)
		return RT_REFUSED;
	/* An answer to another request must not reach this caller. */
	if (hc_header_value(resp, "X-Request-Id", text, sizeof(text)) == NULL ||
	    strcmp(text, r->id) != 0)
		return RT_LOST;
	return RT_ANSWERED;
}

static void
rq_on_attempt(const struct hc_response *resp, void *arg)
{
	struct request *r = arg;
	struct dm_service *s = r->service;
	struct daemon *d = r->front->d;
	enum rt_attempt_result how = rq_judge(r, resp);
	struct answer a = {0};
	char type[RQ_TYPE_BYTES];

	pthread_mutex_lock(&s->lock);
	rt_attempt_ended(s->routing, &r->rt, how, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	if (how == RT_ANSWERED) {
		a.outcome = ST_DONE;
		a.status = resp->status;
		a.body = (const uint8_t *)resp->body;
		a.body_bytes = resp->body_bytes;
		a.content_type =
		    hc_header_value(resp, "Content-Type", type, sizeof(type));
		if (a.content_type == NULL)
			a.content_type = "application/octet-stream";
		rq_finish(r, &a);
	}
	rq_run_actions(d, s);
}

static void
rq_send(struct request *r, const char *address)
{
	struct hc_header headers[3];
	struct hc_request req = {0};
	char url[RQ_URL_BYTES];

	ct_add(CT_REQ_ATTEMPTS, 1);
	snprintf(url, sizeof(url), "http://%s/run", address);
	headers[0].name = "X-Request-Id";
	headers[0].value = r->id;
	headers[1].name = "X-Class";
	headers[1].value = st_class_name(r->rt.request_class);
	headers[2].name = "Idempotency-Key";
	headers[2].value = r->key;
	req.method = "POST";
	req.url = url;
	req.headers = headers;
	req.header_count = r->key != NULL ? 3 : 2;
	req.body = r->body;
	req.body_bytes = r->body_bytes;
	req.deadline_us = r->rt.deadline_us;
	hc_send(r->front->http, &req, rq_on_attempt, r);
}

static void
rq_try_here(struct request *r)
{
	struct dm_service *s = r->service;
	struct daemon *d = r->front->d;

	pthread_mutex_lock(&s->lock);
	rt_forward_failed(s->routing, &r->rt, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	rq_run_actions(d, s);
}

static void
rq_on_forwarded(const Currant__Reply *reply, void *arg)
{
	struct request *r = arg;
	struct answer a = {0};

	a.outcome = (enum st_outcome)reply->outcome;
	a.status = (int)reply->status;
	a.reason = reply->reason;
	if (a.outcome == ST_DONE) {
		a.body = reply->body.data;
		a.body_bytes = reply->body.len;
		a.content_type = reply->content_type != NULL
		    ? reply->content_type
		    : "application/octet-stream";
		rq_finish(r, &a);
		return;
	}
	if (a.outcome == ST_UNKNOWN) {
		r->rt.may_have_run = true;
		if (!r->rt.idempotent) {
			rq_finish(r, &a);
			return;
		}
	}
	rq_try_here(r);
}

static void
rq_forward(struct request *r)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__ForwardRequest fwd = CURRANT__FORWARD_REQUEST__INIT;
	struct daemon *d = r->front->d;
	struct call_target target = {0};
	char vm[MB_NAME_BYTES] = "";
	struct mb_member *m;

	pthread_mutex_lock(&d->members_lock);
	m = mb_most_free_slots(d->view, r->service->name, clk_now_us());
	if (m != NULL)
		memcpy(vm, m->report.vm, sizeof(vm));
	pthread_mutex_unlock(&d->members_lock);
	if (vm[0] == '\0') {
		rq_try_here(r);
		return;
	}
	ct_add(CT_REQ_FORWARDED, 1);
	fwd.service = r->service->name;
	fwd.request_id = r->id;
	fwd.request_class = r->rt.request_class;
	fwd.idempotent = r->rt.idempotent;
	fwd.key = r->key;
	fwd.body.data = r->body;
	fwd.body.len = r->body_bytes;
	call.forward = &fwd;
	target.vm = vm;
	ca_start_from_frontend(
	    r->front, &call, &target, r->rt.deadline_us, rq_on_forwarded, r);
}

static void
rq_perform(void *arg)
{
	struct rq_task *t = arg;
	struct request *r = t->r;
	struct answer a = {0};

	switch (t->action.kind) {
	case RT_SEND:
		rq_send(r, t->address);
		break;
	case RT_FORWARD:
		rq_forward(r);
		break;
	case RT_REFUSE:
		a.outcome = ST_NOT_RUN;
		a.status = 503;
		a.reason = rt_reason_text(t->action.reason);
		a.retry_after_ms = t->action.retry_after_ms;
		rq_finish(r, &a);
		break;
	case RT_REPORT_UNKNOWN:
		a.outcome = ST_UNKNOWN;
		a.status = 504;
		a.reason = "an attempt was lost and may have run";
		rq_finish(r, &a);
		break;
	}
	talloc_free(t);
}

void
rq_run_actions(struct daemon *d, struct dm_service *s)
{
	struct rt_action action;
	struct rq_task *t;
	bool more = true;

	(void)d;
	while (more) {
		t = NULL;
		pthread_mutex_lock(&s->lock);
		more = rt_next_action(s->routing, &action);
		if (more) {
			t = talloc_zero(NULL, struct rq_task);
			if (t == NULL)
				abort();
			t->action = action;
			t->r = action.request->arg;
			if (action.kind == RT_SEND)
				snprintf(t->address, sizeof(t->address), "%s",
				    s->routing
					->endpoint[action.request->endpoint]
					.address);
		}
		pthread_mutex_unlock(&s->lock);
		if (t != NULL)
			loop_post(t->r->front->loop, rq_perform, t);
	}
}

static void
rq_start(struct request *r)
{
	struct dm_service *s = r->service;
	struct daemon *d = r->front->d;

	pthread_mutex_lock(&s->lock);
	rt_request_arrived(s->routing, &r->rt, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	rq_run_actions(d, s);
}

static void
rq_on_claim(const Currant__Reply *reply, void *arg)
{
	struct request *r = arg;
	struct answer a = {0};

	a.outcome = (enum st_outcome)reply->outcome;
	if (a.outcome == ST_PENDING) {
		r->claimed = true;
		rq_start(r);
		return;
	}
	a.status = (int)reply->status;
	a.reason = reply->reason;
	a.retry_after_ms = reply->retry_after_ms;
	a.body = reply->body.data;
	a.body_bytes = reply->body.len;
	a.content_type = "application/octet-stream";
	rq_finish(r, &a);
}

static void
rq_take_claim(struct request *r)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__ClaimTake take = CURRANT__CLAIM_TAKE__INIT;
	struct daemon *d = r->front->d;
	struct call_target target = {0};
	const struct cf_shard *home;
	char shard[MB_NAME_BYTES] = "";
	int64_t keep_us = d->settings->claim_retention_us;

	pthread_mutex_lock(&d->config_lock);
	home = cf_home_shard(d->config->shards, r->key, NULL, NULL);
	if (home != NULL)
		snprintf(shard, sizeof(shard), "%s", home->id);
	pthread_mutex_unlock(&d->config_lock);
	take.key = r->key;
	take.body_hash = XXH3_64bits(r->body, r->body_bytes);
	take.keep_ms = (uint32_t)(keep_us / CLK_US_PER_MS);
	call.claim_take = &take;
	target.shard = shard;
	ca_start_from_frontend(
	    r->front, &call, &target, r->rt.deadline_us, rq_on_claim, r);
}

static const char *
rq_read_headers(struct request *r, struct hs_request *req)
{
	const char *text = hs_header(req, "X-Deadline-Ms");
	const char *key = hs_header(req, "Idempotency-Key");
	int64_t ms = RQ_DEADLINE_MS;
	char *end;

	if (text != NULL) {
		ms = strtoll(text, &end, 10);
		if (*end != '\0' || ms < 1 || ms > RQ_MAX_DEADLINE_MS)
			return "X-Deadline-Ms: must be from 1 to 600000";
	}
	r->rt.deadline_us = r->received_us + ms * CLK_US_PER_MS;
	if (!st_class_parse(hs_header(req, "X-Class"), &r->rt.request_class))
		return "X-Class: must be urgent, normal or heavy";
	text = hs_header(req, "X-Idempotent");
	if (text != NULL && strcmp(text, "true") != 0 &&
	    strcmp(text, "false") != 0)
		return "X-Idempotent: must be true or false";
	r->rt.idempotent = text != NULL && strcmp(text, "true") == 0;
	if (key != NULL && (key[0] == '\0' || strlen(key) > RQ_MAX_KEY_BYTES))
		return "Idempotency-Key: must have 1 to 128 characters";
	if (key != NULL && !r->rt.idempotent)
		r->key = talloc_asprintf(r, "%s/%s", r->service->name, key);
	return NULL;
}

static void
rq_drop(struct request *r, int status, const char *reason)
{
	fr_respond_error(r->http, status, reason);
	atomic_fetch_sub(&r->front->d->requests_in_flight, 1);
	talloc_free(r);
}

void
api_service_request(
    struct frontend *f, struct hs_request *req, const char *suffix)
{
	const char *slash = strchr(suffix, '/');
	char name[MB_NAME_BYTES];
	struct dm_service *s;
	struct request *r;
	const char *wrong;

	if (slash == NULL || strcmp(slash, "/requests") != 0 ||
	    slash - suffix >= (ptrdiff_t)sizeof(name)) {
		fr_respond_error(req, 404, "no such path");
		return;
	}
	snprintf(name, sizeof(name), "%.*s", (int)(slash - suffix), suffix);
	s = dm_find_service(f->d, name);
	if (s == NULL) {
		fr_respond_error(req, 404, "no such service");
		return;
	}
	r = rq_create(f, s);
	r->http = req;
	r->rt.may_forward = true;
	r->body = talloc_memdup(r, req->body, req->body_bytes);
	r->body_bytes = req->body_bytes;
	wrong = rq_read_headers(r, req);
	if (wrong != NULL)
		rq_drop(r, 400, wrong);
	else if (r->key != NULL)
		rq_take_claim(r);
	else
		rq_start(r);
}

static void
rq_start_forwarded(void *arg)
{
	rq_start(arg);
}

void
rq_serve_forwarded(struct daemon *d, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	const Currant__ForwardRequest *fwd = call->forward;
	static atomic_uint next_front;
	struct dm_service *s = dm_find_service(d, fwd->service);
	struct request *r;
	Currant__Reply reply;

	if (s == NULL || fwd->request_class >= ST_CLASS_COUNT) {
		ca_init_reply(&reply, ST_NOT_RUN, 404, "no such service", 0);
		done(&reply, arg);
		return;
	}
	r = rq_create(
	    &d->frontend[atomic_fetch_add(&next_front, 1) % d->frontend_count],
	    s);
	r->done = done;
	r->done_arg = arg;
	r->rt.deadline_us = deadline_us;
	r->rt.request_class = (enum st_class)fwd->request_class;
	r->rt.idempotent = fwd->idempotent;
	snprintf(r->id, sizeof(r->id), "%s", fwd->request_id);
	r->body = talloc_memdup(r, fwd->body.data, fwd->body.len);
	r->body_bytes = fwd->body.len;
	if (fwd->key != NULL)
		r->key = talloc_strdup(r, fwd->key);
	loop_post(r->front->loop, rq_start_forwarded, r);
}
