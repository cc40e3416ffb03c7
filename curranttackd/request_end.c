#include <stdio.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/burn.h"
#include "curranttackd/request_internal.h"

/* Less than FR_MAX_PAYLOAD_BYTES, as a frame has further fields. */
#define RQ_MAX_FORWARD_BYTES ((size_t)1900 << 10)

void
rq_find_home_shard(const struct request *r, char *shard)
{
	struct daemon *d = r->frontend->d;
	const struct cf_shard *home;

	shard[0] = '\0';
	pthread_mutex_lock(&d->config_lock);
	home = cf_home_shard(d->config->shards, r->key, NULL, NULL);
	if (home != NULL)
		snprintf(shard, MB_NAME_BYTES, "%s", home->id);
	pthread_mutex_unlock(&d->config_lock);
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
	char shard[MB_NAME_BYTES];

	rq_find_home_shard(r, shard);
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

void
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
