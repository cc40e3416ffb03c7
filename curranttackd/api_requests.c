#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/burn.h"
#include "curranttackd/api.h"

#define RQ_DEFAULT_DEADLINE_MS 10000
#define RQ_MAX_DEADLINE_MS (10 * 60 * 1000)
/* Less than FR_MAX_PAYLOAD_BYTES, as a frame has further fields. */
#define RQ_MAX_FORWARD_BYTES ((size_t)1900 << 10)
#define RQ_URL_BYTES 160
#define RQ_ID_BYTES 64
#define RQ_MAX_KEY_BYTES 128
#define RQ_TYPE_BYTES 128

/**
 * struct request - one request to a service while it is served
 * @routing: its part of the routing state
 * @frontend: frontend that serves it
 * @service: service
 * @http: the caller's request, or NULL if a peer forwarded it
 * @done: receives the reply to the peer that forwarded it
 * @done_arg: argument of @done
 * @key: idempotency key with its service, as endpoints receive it, or NULL
 * @claimed: this daemon holds the claim on @key and must report its end
 * @id: request id in logs and for endpoints
 * @body: body, @body_bytes long
 * @received_us: when it arrived
 */
struct request {
	struct rt_request routing;
	struct frontend *frontend;
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

/**
 * struct request_result - how a request ended
 * @outcome: outcome
 * @status: HTTP status
 * @reason: text for the caller, unless it is done
 * @retry_after_ms: when to try again; 0 for no advice
 * @content_type: type of @body
 * @body: body of the endpoint's response, @body_bytes long
 */
struct request_result {
	enum st_outcome outcome;
	int status;
	const char *reason;
	uint32_t retry_after_ms;
	const char *content_type;
	const uint8_t *body;
	size_t body_bytes;
};

/** struct rq_posted_action - an action posted to the loop of its request */
struct rq_posted_action {
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
	r->frontend = f;
	r->service = s;
	r->routing.arg = r;
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

/* Reports to the home shard of the key how the claimed request ended. */
static void
rq_end_claim(struct request *r, const struct request_result *result)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__ClaimEnd end = CURRANT__CLAIM_END__INIT;
	struct call_target target = {0};
	const struct cf_shard *home;
	char shard[MB_NAME_BYTES] = "";

	pthread_mutex_lock(&r->frontend->d->config_lock);
	home =
	    cf_home_shard(r->frontend->d->config->shards, r->key, NULL, NULL);
	if (home != NULL)
		snprintf(shard, sizeof(shard), "%s", home->id);
	pthread_mutex_unlock(&r->frontend->d->config_lock);
	end.key = r->key;
	end.result = result->outcome == ST_DONE ? ST_RESULT_DONE
	    : result->outcome == ST_NOT_RUN	? ST_RESULT_NONE
						: ST_RESULT_UNKNOWN;
	end.status = (uint32_t)result->status;
	end.answer.data = (uint8_t *)result->body;
	end.answer.len = result->body_bytes;
	call.claim_end = &end;
	target.shard = shard;
	ca_start_from_frontend(r->frontend, &call, &target,
	    clk_now_us() + 10 * CLK_US_PER_S, rq_ignore_reply, NULL);
}

static void
rq_count_result(struct request *r, const struct request_result *result)
{
	struct dm_service *s = r->service;

	ct_add(result->outcome == ST_DONE	? CT_REQ_DONE
		: result->outcome == ST_NOT_RUN ? CT_REQ_NOT_RUN
						: CT_REQ_UNKNOWN,
	    1);
	/* A forwarded request is counted by the daemon that forwarded it. */
	if (r->http == NULL)
		return;
	pthread_mutex_lock(&s->lock);
	bu_record(s->burn, r->routing.request_class, result->outcome == ST_DONE,
	    clk_now_us() - r->received_us);
	pthread_mutex_unlock(&s->lock);
}

static void
rq_respond_to_caller(struct request *r, const struct request_result *result)
{
	struct hs_header headers[2] = {
	    {"X-Outcome", st_outcome_name(result->outcome)},
	    {"X-Request-Id", r->id}};

	if (result->outcome == ST_DONE)
		hs_respond(r->http, result->status, result->content_type,
		    result->body, result->body_bytes, headers, 2);
	else
		fr_respond_outcome(r->http, result->status, result->outcome,
		    result->reason, result->retry_after_ms);
}

static void
rq_reply_to_peer(struct request *r, const struct request_result *result)
{
	Currant__Reply reply;

	ca_init_reply(&reply, result->outcome, (uint32_t)result->status,
	    result->reason, result->retry_after_ms);
	if (result->outcome == ST_DONE &&
	    result->body_bytes > RQ_MAX_FORWARD_BYTES) {
		ca_init_reply(&reply, ST_UNKNOWN, 504,
		    "it ran, but its answer is too large to be forwarded", 0);
	} else if (result->outcome == ST_DONE) {
		reply.has_body = 1;
		reply.body.data = (uint8_t *)result->body;
		reply.body.len = result->body_bytes;
		reply.content_type = (char *)result->content_type;
	}
	ca_post_reply(
	    r->frontend->d->control_loop, &reply, r->done, r->done_arg);
}

static void
rq_finish(struct request *r, const struct request_result *result)
{
	rq_count_result(r, result);
	if (result->outcome == ST_UNKNOWN)
		lg_event(LG_WARN, "requests", "outcome_unknown", "service",
		    r->service->name, "request", r->id, "reason",
		    result->reason, NULL);
	if (r->claimed)
		rq_end_claim(r, result);
	if (r->http != NULL)
		rq_respond_to_caller(r, result);
	else
		rq_reply_to_peer(r, result);
	atomic_fetch_sub(&r->frontend->d->requests_in_flight, 1);
	talloc_free(r);
}

static enum rt_attempt_result
rq_classify_attempt(struct request *r, const struct hc_response *resp)
{
	char text[RQ_ID_BYTES];

	if (resp->error == HC_NOT_CONNECTED)
		return RT_UNSENT;
	if (resp->error != HC_OK)
		return RT_LOST;
	if (resp->status == 503 &&
	    hc_header_value(resp, "X-Not-Run", text, sizeof(text)) != NULL)
		return RT_REFUSED;
	/* A response to another request must not reach this caller. */
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
	struct daemon *d = r->frontend->d;
	enum rt_attempt_result how = rq_classify_attempt(r, resp);
	struct request_result result = {0};
	char type[RQ_TYPE_BYTES];

	pthread_mutex_lock(&s->lock);
	rt_attempt_ended(s->routing, &r->routing, how, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	if (how == RT_ANSWERED) {
		result.outcome = ST_DONE;
		result.status = resp->status;
		result.body = (const uint8_t *)resp->body;
		result.body_bytes = resp->body_bytes;
		result.content_type =
		    hc_header_value(resp, "Content-Type", type, sizeof(type));
		if (result.content_type == NULL)
			result.content_type = "application/octet-stream";
		rq_finish(r, &result);
	}
	rq_run_actions(d, s);
}

static void
rq_send_attempt(struct request *r, const char *address)
{
	struct hc_header headers[3];
	struct hc_request req = {0};
	char url[RQ_URL_BYTES];

	ct_add(CT_REQ_ATTEMPTS, 1);
	snprintf(url, sizeof(url), "http://%s/run", address);
	headers[0].name = "X-Request-Id";
	headers[0].value = r->id;
	headers[1].name = "X-Class";
	headers[1].value = st_class_name(r->routing.request_class);
	headers[2].name = "Idempotency-Key";
	headers[2].value = r->key;
	req.method = "POST";
	req.url = url;
	req.headers = headers;
	req.header_count = r->key != NULL ? 3 : 2;
	req.body = r->body;
	req.body_bytes = r->body_bytes;
	req.deadline_us = r->routing.deadline_us;
	hc_send(r->frontend->http, &req, rq_on_attempt, r);
}

static void
rq_retry_locally(struct request *r)
{
	struct dm_service *s = r->service;
	struct daemon *d = r->frontend->d;

	pthread_mutex_lock(&s->lock);
	rt_forward_failed(s->routing, &r->routing, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	rq_run_actions(d, s);
}

static void
rq_on_forward_reply(const Currant__Reply *reply, void *arg)
{
	struct request *r = arg;
	struct request_result result = {0};

	result.outcome = (enum st_outcome)reply->outcome;
	result.status = (int)reply->status;
	result.reason = reply->reason;
	if (result.outcome == ST_DONE) {
		result.body = reply->body.data;
		result.body_bytes = reply->body.len;
		result.content_type = reply->content_type != NULL
		    ? reply->content_type
		    : "application/octet-stream";
		rq_finish(r, &result);
		return;
	}
	if (result.outcome == ST_UNKNOWN) {
		r->routing.may_have_run = true;
		if (!r->routing.idempotent) {
			rq_finish(r, &result);
			return;
		}
	}
	rq_retry_locally(r);
}

static void
rq_forward(struct request *r)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__ForwardRequest fwd = CURRANT__FORWARD_REQUEST__INIT;
	struct daemon *d = r->frontend->d;
	struct call_target target = {0};
	char vm[MB_NAME_BYTES] = "";
	struct mb_member *m;

	pthread_mutex_lock(&d->members_lock);
	m = mb_most_free_slots(d->view, r->service->name, clk_now_us());
	if (m != NULL)
		memcpy(vm, m->report.vm, sizeof(vm));
	pthread_mutex_unlock(&d->members_lock);
	if (vm[0] == '\0') {
		rq_retry_locally(r);
		return;
	}
	ct_add(CT_REQ_FORWARDED, 1);
	fwd.service = r->service->name;
	fwd.request_id = r->id;
	fwd.request_class = r->routing.request_class;
	fwd.idempotent = r->routing.idempotent;
	fwd.key = r->key;
	fwd.body.data = r->body;
	fwd.body.len = r->body_bytes;
	call.forward = &fwd;
	target.vm = vm;
	ca_start_from_frontend(r->frontend, &call, &target,
	    r->routing.deadline_us, rq_on_forward_reply, r);
}

static void
rq_run_action(void *arg)
{
	struct rq_posted_action *posted = arg;
	struct request *r = posted->r;
	struct request_result result = {0};

	switch (posted->action.kind) {
	case RT_SEND:
		rq_send_attempt(r, posted->address);
		break;
	case RT_FORWARD:
		rq_forward(r);
		break;
	case RT_REFUSE:
		result.outcome = ST_NOT_RUN;
		result.status = 503;
		result.reason = rt_reason_text(posted->action.reason);
		result.retry_after_ms = posted->action.retry_after_ms;
		rq_finish(r, &result);
		break;
	case RT_REPORT_UNKNOWN:
		result.outcome = ST_UNKNOWN;
		result.status = 504;
		result.reason = "an attempt was lost and may have run";
		rq_finish(r, &result);
		break;
	}
	talloc_free(posted);
}

void
rq_run_actions(struct daemon *d, struct dm_service *s)
{
	struct rt_action action;
	struct rq_posted_action *posted;
	bool more = true;

	(void)d;
	while (more) {
		posted = NULL;
		pthread_mutex_lock(&s->lock);
		more = rt_next_action(s->routing, &action);
		if (more) {
			posted = talloc_zero(NULL, struct rq_posted_action);
			if (posted == NULL)
				abort();
			posted->action = action;
			posted->r = action.request->arg;
			if (action.kind == RT_SEND)
				snprintf(posted->address,
				    sizeof(posted->address), "%s",
				    s->routing
					->endpoint[action.request->endpoint]
					.address);
		}
		pthread_mutex_unlock(&s->lock);
		if (posted != NULL)
			loop_post(
			    posted->r->frontend->loop, rq_run_action, posted);
	}
}

static void
rq_start(struct request *r)
{
	struct dm_service *s = r->service;
	struct daemon *d = r->frontend->d;

	pthread_mutex_lock(&s->lock);
	rt_request_arrived(s->routing, &r->routing, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	rq_run_actions(d, s);
}

static void
rq_on_claim_reply(const Currant__Reply *reply, void *arg)
{
	struct request *r = arg;
	struct request_result result = {0};

	result.outcome = (enum st_outcome)reply->outcome;
	if (result.outcome == ST_PENDING) {
		r->claimed = true;
		rq_start(r);
		return;
	}
	result.status = (int)reply->status;
	result.reason = reply->reason;
	result.retry_after_ms = reply->retry_after_ms;
	result.body = reply->body.data;
	result.body_bytes = reply->body.len;
	result.content_type = "application/octet-stream";
	rq_finish(r, &result);
}

static void
rq_claim_key(struct request *r)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__ClaimTake take = CURRANT__CLAIM_TAKE__INIT;
	struct daemon *d = r->frontend->d;
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
	ca_start_from_frontend(r->frontend, &call, &target,
	    r->routing.deadline_us, rq_on_claim_reply, r);
}

static const char *
rq_read_headers(struct request *r, struct hs_request *req)
{
	const char *text = hs_header(req, "X-Deadline-Ms");
	const char *key = hs_header(req, "Idempotency-Key");
	int64_t ms = RQ_DEFAULT_DEADLINE_MS;
	char *end;

	if (text != NULL) {
		ms = strtoll(text, &end, 10);
		if (*end != '\0' || ms < 1 || ms > RQ_MAX_DEADLINE_MS)
			return "X-Deadline-Ms: must be from 1 to 600000";
	}
	r->routing.deadline_us = r->received_us + ms * CLK_US_PER_MS;
	if (!st_class_parse(
		hs_header(req, "X-Class"), &r->routing.request_class))
		return "X-Class: must be urgent, normal or heavy";
	text = hs_header(req, "X-Idempotent");
	if (text != NULL && strcmp(text, "true") != 0 &&
	    strcmp(text, "false") != 0)
		return "X-Idempotent: must be true or false";
	r->routing.idempotent = text != NULL && strcmp(text, "true") == 0;
	if (key != NULL && (key[0] == '\0' || strlen(key) > RQ_MAX_KEY_BYTES))
		return "Idempotency-Key: must have 1 to 128 characters";
	if (key != NULL && !r->routing.idempotent)
		r->key = talloc_asprintf(r, "%s/%s", r->service->name, key);
	return NULL;
}

static void
rq_reject(struct request *r, int status, const char *reason)
{
	fr_respond_error(r->http, status, reason);
	atomic_fetch_sub(&r->frontend->d->requests_in_flight, 1);
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
	const char *error;

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
	r->routing.may_forward = true;
	r->body = talloc_memdup(r, req->body, req->body_bytes);
	r->body_bytes = req->body_bytes;
	error = rq_read_headers(r, req);
	if (error != NULL)
		rq_reject(r, 400, error);
	else if (r->key != NULL)
		rq_claim_key(r);
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
	r->routing.deadline_us = deadline_us;
	r->routing.request_class = (enum st_class)fwd->request_class;
	r->routing.idempotent = fwd->idempotent;
	snprintf(r->id, sizeof(r->id), "%s", fwd->request_id);
	r->body = talloc_memdup(r, fwd->body.data, fwd->body.len);
	r->body_bytes = fwd->body.len;
	if (fwd->key != NULL)
		r->key = talloc_strdup(r, fwd->key);
	loop_post(r->frontend->loop, rq_start_forwarded, r);
}
