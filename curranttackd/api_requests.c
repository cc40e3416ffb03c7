#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "common/clock.h"
#include "curranttackd/request_internal.h"

#define RQ_DEFAULT_DEADLINE_MS 10000
#define RQ_MAX_DEADLINE_MS (10 * 60 * 1000)
#define RQ_MAX_KEY_BYTES 128

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
	char shard[MB_NAME_BYTES];
	int64_t keep_us = d->settings->claim_retention_us;

	rq_find_home_shard(r, shard);
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
