#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/json_fields.h"
#include "protocol/worker_json.h"

#define HO_POLL_WAIT_US (10 * CLK_US_PER_S)
#define HO_POLL_RETRY_US (500 * CLK_US_PER_MS)
#define HO_MAX_SYNC_TIMEOUT_US (2 * CLK_US_PER_S)

/**
 * struct worker_call - a request to a worker that is in flight
 * @host: host of the shard
 * @generation: generation of the shard's state that sent it
 * @worker: index of the worker in the shard
 */
struct worker_call {
	struct shard_host *host;
	uint64_t generation;
	uint32_t worker;
};

static void
ho_on_sync_response(const struct hc_response *resp, void *arg)
{
	struct worker_call *call = arg;
	struct shard_host *h = call->host;
	int64_t now_us = clk_now_us();
	struct sh_sync_reply reply;
	char error[JF_ERROR_BYTES];
	bool ok;

	ct_add(CT_WORKER_MSGS, 1);
	ct_add(CT_WORKER_BYTES, resp->sent_bytes + resp->received_bytes);
	if (call->generation != h->generation)
		goto out;
	pthread_mutex_lock(&h->lock);
	ok = resp->error == HC_OK &&
	    (resp->status == 200 || resp->status == 409) &&
	    wj_parse_sync_reply(
		call, resp->body, resp->body_bytes, &reply, error);
	if (!ok) {
		sh_sync_failed(h->shard, call->worker, now_us);
	} else if (!sh_sync_reply(h->shard, call->worker, &reply, now_us)) {
		ow_request_verify(&h->ownership);
	}
	pthread_mutex_unlock(&h->lock);
out:
	talloc_free(call);
}

void
ho_send_sync(struct shard_host *h, uint32_t w, int64_t now_us)
{
	struct hc_request req = {0};
	struct sh_sync sync;
	struct worker_call *call;
	char url[160];
	char *body;
	int64_t timeout_us = h->d->settings->worker_renew_interval_us;

	if (timeout_us > HO_MAX_SYNC_TIMEOUT_US)
		timeout_us = HO_MAX_SYNC_TIMEOUT_US;
	sh_sync_build(h->shard, w, now_us, &sync);
	ct_add(CT_TASKS_STARTED, sync.start_count);
	body = wj_build_sync(h->id, &sync);
	call = talloc_zero(h, struct worker_call);
	if (call == NULL || body == NULL)
		abort();
	call->host = h;
	call->generation = h->generation;
	call->worker = w;
	snprintf(
	    url, sizeof(url), "http://%s/v1/sync", h->shard->worker[w].address);
	req.method = "POST";
	req.url = url;
	req.body = body;
	req.body_bytes = strlen(body);
	req.deadline_us = now_us + timeout_us;
	hc_send(h->d->control_http, &req, ho_on_sync_response, call);
	free(body);
}

static void
ho_on_worker_events(const struct hc_response *resp, void *arg)
{
	struct worker_call *call = arg;
	struct shard_host *h = call->host;
	struct worker_poll *poll;
	struct sh_sync_reply reply;
	char error[JF_ERROR_BYTES];
	int64_t now_us = clk_now_us();

	ct_add(CT_WORKER_MSGS, 1);
	ct_add(CT_WORKER_BYTES, resp->sent_bytes + resp->received_bytes);
	if (call->generation != h->generation)
		goto out;
	poll = &h->worker_poll[call->worker];
	poll->poll_in_flight = false;
	if (resp->error != HC_OK || resp->status != 200 ||
	    !wj_parse_sync_reply(
		call, resp->body, resp->body_bytes, &reply, error)) {
		poll->poll_retry_at_us = now_us + HO_POLL_RETRY_US;
		goto out;
	}
	poll->event_seq = reply.newest_outcome;
	pthread_mutex_lock(&h->lock);
	sh_worker_outcomes(
	    h->shard, call->worker, reply.ended, reply.ended_count, now_us);
	pthread_mutex_unlock(&h->lock);
out:
	talloc_free(call);
}

/* The worker responds when it has new outcomes, or when the wait is over. */
void
ho_poll_worker_events(struct shard_host *h, uint32_t w, int64_t now_us)
{
	struct worker_poll *poll = &h->worker_poll[w];
	struct hc_request req = {0};
	struct worker_call *call;
	char url[200];

	if (poll->poll_in_flight || now_us < poll->poll_retry_at_us)
		return;
	call = talloc_zero(h, struct worker_call);
	if (call == NULL)
		return;
	call->host = h;
	call->generation = h->generation;
	call->worker = w;
	snprintf(url, sizeof(url),
	    "http://%s/v1/events?after=%" PRIu64 "&wait_ms=%" PRId64,
	    h->shard->worker[w].address, poll->event_seq,
	    HO_POLL_WAIT_US / CLK_US_PER_MS);
	req.method = "GET";
	req.url = url;
	req.deadline_us = now_us + HO_POLL_WAIT_US + CLK_US_PER_S;
	req.repeatable = true;
	poll->poll_in_flight = true;
	hc_send(h->d->control_http, &req, ho_on_worker_events, call);
}
