#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "curranttackd/request_internal.h"

#define RQ_URL_BYTES 160
#define RQ_TYPE_BYTES 128

/** struct rq_posted_action - an action posted to the loop of its request */
struct rq_posted_action {
	struct rt_action action;
	struct request *r;
	char address[MB_NAME_BYTES];
};

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

void
rq_start(struct request *r)
{
	struct dm_service *s = r->service;
	struct daemon *d = r->frontend->d;

	pthread_mutex_lock(&s->lock);
	rt_request_arrived(s->routing, &r->routing, clk_now_us());
	pthread_mutex_unlock(&s->lock);
	rq_run_actions(d, s);
}
