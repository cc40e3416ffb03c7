#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/job_json.h"
#include "protocol/record_codec.h"

/* For a claimant to report the outcome, after the deadline of its request. */
#define HO_CLAIM_REPORT_GRACE_US (5 * CLK_US_PER_S)

static void
ho_add_waiter(struct shard_host *h, enum waiter_kind kind, const char *name,
    uint64_t durable_at, int64_t deadline_us, call_done_fn done, void *arg)
{
	struct waiter *w;

	w = talloc_zero(h, struct waiter);
	if (w == NULL)
		abort();
	w->kind = kind;
	w->name = talloc_strdup(w, name);
	w->durable_at = durable_at;
	w->deadline_us = deadline_us;
	w->done = done;
	w->arg = arg;
	DL_APPEND(h->waiters, w);
}

static void
ho_finish_waiter(
    struct shard_host *h, struct waiter *w, const Currant__Reply *reply)
{
	DL_DELETE(h->waiters, w);
	w->done(reply, w->arg);
	talloc_free(w);
}

static void
ho_init_json_reply(Currant__Reply *reply, enum st_outcome outcome,
    uint32_t status, json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	ca_init_reply(reply, outcome, status, NULL, 0);
	reply->has_body = 1;
	reply->body.data = (uint8_t *)text;
	reply->body.len = strlen(text);
	json_decref(value);
}

static void
ho_init_job_reply(struct shard_host *h, const char *id, bool with_tasks,
    Currant__Reply *reply)
{
	struct sh_job *job = sh_find_job(h->shard, id);
	char why[SH_TEXT_BYTES];
	json_t *o;

	if (job == NULL) {
		ca_init_reply(reply, ST_NOT_RUN, 404, "no such job", 0);
		return;
	}
	o = jj_job_to_json(h->shard, job, with_tasks);
	sh_explain_wait(h->shard, job, why);
	json_object_set_new(o, "why", json_string(why));
	ho_init_json_reply(
	    reply, sh_job_ended(h->shard, job) ? ST_DONE : ST_PENDING, 200, o);
}

static void
ho_init_claim_reply(const struct cl_claim *c, Currant__Reply *reply)
{
	ca_init_reply(reply, c->result == ST_RESULT_DONE ? ST_DONE : ST_UNKNOWN,
	    c->status, c->response_kept ? NULL : "answer not kept", 0);
	reply->has_body = 1;
	reply->body.data = c->response;
	reply->body.len = c->response_bytes;
}

/* Initializes the reply and returns true if the waiter has its event. */
static bool
ho_try_reply(struct shard_host *h, struct waiter *w, Currant__Reply *reply)
{
	struct cl_claim *c;
	struct sh_job *job;

	switch (w->kind) {
	case HO_WAIT_JOB_DURABLE:
		if (w->durable_at > h->shard->committed)
			return false;
		ho_init_job_reply(h, w->name, false, reply);
		return true;
	case HO_WAIT_JOB_ENDED:
		job = sh_find_job(h->shard, w->name);
		if (job != NULL && !sh_job_ended(h->shard, job))
			return false;
		ho_init_job_reply(h, w->name, true, reply);
		return true;
	case HO_WAIT_RECORD_DURABLE:
		if (w->durable_at > h->shard->committed)
			return false;
		ca_init_reply(reply, ST_DONE, 200, NULL, 0);
		return true;
	case HO_WAIT_CLAIM_GRANTED:
		if (w->durable_at > h->shard->committed)
			return false;
		ca_init_reply(reply, ST_PENDING, 0, NULL, 0);
		return true;
	case HO_WAIT_CLAIM_ENDED:
		c = cl_find(h->shard->claims, w->name);
		if (c == NULL) {
			ca_init_reply(reply, ST_NOT_RUN, 503,
			    "the first request with this key was not run; "
			    "send it again",
			    1);
			return true;
		}
		if (c->state == CL_TAKEN &&
		    clk_wall_us() >= c->unknown_wall_us) {
			ca_init_reply(reply, ST_UNKNOWN, 504,
			    "the first request with this key may have run", 0);
			return true;
		}
		if (c->state != CL_ENDED ||
		    c->record_number > h->shard->committed)
			return false;
		ho_init_claim_reply(c, reply);
		return true;
	}
	return false;
}

static void
ho_init_expired_reply(
    struct shard_host *h, struct waiter *w, Currant__Reply *reply)
{
	switch (w->kind) {
	case HO_WAIT_JOB_ENDED:
		ho_init_job_reply(h, w->name, true, reply);
		break;
	case HO_WAIT_CLAIM_GRANTED:
		/* Without this reply the claimant does not send the request. */
		sh_claim_end(h->shard, w->name, ST_RESULT_NONE, 0, NULL, 0);
		ca_init_reply(reply, ST_NOT_RUN, 503,
		    "the claim could not be made durable in time", 1000);
		break;
	default:
		ca_init_reply(reply, ST_UNKNOWN, 504,
		    "not known to be durable; ask again with the same key", 0);
		break;
	}
}

void
ho_answer_waiters(struct shard_host *h, int64_t now_us)
{
	struct waiter *w;
	struct waiter *next;
	Currant__Reply reply;
	bool body_allocated;

	DL_FOREACH_SAFE(h->waiters, w, next) {
		if (!ho_try_reply(h, w, &reply)) {
			if (now_us < w->deadline_us)
				continue;
			ho_init_expired_reply(h, w, &reply);
		}
		/* The body of a job is allocated; a claim owns its body. */
		body_allocated = w->kind == HO_WAIT_JOB_DURABLE ||
		    w->kind == HO_WAIT_JOB_ENDED;
		ho_finish_waiter(h, w, &reply);
		if (body_allocated && reply.has_body)
			free(reply.body.data);
	}
}

void
ho_fail_waiters(struct shard_host *h)
{
	Currant__Reply reply;

	while (h->waiters != NULL) {
		if (h->waiters->kind == HO_WAIT_CLAIM_GRANTED)
			ca_init_reply(&reply, ST_NOT_RUN, 503,
			    "the shard has changed its owner", 500);
		else
			ca_init_reply(&reply, ST_UNKNOWN, 504,
			    "the shard has changed its owner; ask again", 0);
		ho_finish_waiter(h, h->waiters, &reply);
	}
}

static void
ho_submit(struct shard_host *h, const Currant__Call *call, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	struct st_job_spec *spec;
	struct sh_job *job;
	Currant__Reply reply;
	const char *why;
	char text[128];

	spec = rk_spec_from_message(h, call->submit->spec);
	if (spec == NULL) {
		ca_init_reply(
		    &reply, ST_NOT_RUN, 400, "bad job description", 0);
		done(&reply, arg);
		return;
	}
	switch (sh_submit(h->shard, spec, clk_now_us(), &job, &why)) {
	case SH_ACCEPTED:
		ct_add(CT_JOBS_ACCEPTED, 1);
		lg_event(LG_INFO, "shard", "job_submitted", "shard", h->id,
		    "epoch", lg_i64((int64_t)h->ownership.epoch), "job",
		    spec->id, "team", spec->team, "kind",
		    st_kind_name(spec->kind), "count", lg_i64(spec->count),
		    NULL);
		/* fallthrough */
	case SH_DUPLICATE:
		ho_add_waiter(h, HO_WAIT_JOB_DURABLE, spec->id,
		    job->accept_record, deadline_us, done, arg);
		goto out;
	case SH_KEY_REUSED:
		ca_init_reply(&reply, ST_NOT_RUN, 409, why, 0);
		break;
	case SH_IMPOSSIBLE:
		snprintf(text, sizeof(text),
		    "it can never run: not enough %s even on empty workers",
		    why);
		ca_init_reply(&reply, ST_NOT_RUN, 422, text, 0);
		break;
	case SH_STORE_UNAVAILABLE:
		ca_init_reply(&reply, ST_NOT_RUN, 503, why, 2000);
		break;
	}
	ct_add(CT_JOBS_REFUSED, 1);
	lg_event(LG_INFO, "shard", "job_refused", "shard", h->id, "job",
	    spec->id, "reason", reply.reason, NULL);
	done(&reply, arg);
out:
	talloc_free(spec);
}

static void
ho_query(struct shard_host *h, const Currant__JobQuery *q, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	int64_t reply_by_us =
	    clk_now_us() + (int64_t)q->wait_ms * CLK_US_PER_MS;

	/* The reply has to reach the caller before its own deadline. */
	if (reply_by_us > deadline_us - 50 * CLK_US_PER_MS)
		reply_by_us = deadline_us - 50 * CLK_US_PER_MS;
	ho_add_waiter(h, HO_WAIT_JOB_ENDED, q->id, 0, reply_by_us, done, arg);
}

static void
ho_cancel(struct shard_host *h, const char *id, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	struct sh_job *job = sh_find_job(h->shard, id);
	Currant__Reply reply;

	if (job == NULL) {
		ca_init_reply(&reply, ST_NOT_RUN, 404, "no such job", 0);
		done(&reply, arg);
		return;
	}
	sh_cancel(h->shard, job);
	lg_event(
	    LG_INFO, "shard", "job_cancelled", "shard", h->id, "job", id, NULL);
	ho_add_waiter(h, HO_WAIT_JOB_DURABLE, id, job->end_record, deadline_us,
	    done, arg);
}

static void
ho_take_claim(struct shard_host *h, const Currant__ClaimTake *take,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	int64_t now_wall_us = clk_wall_us();
	int64_t remaining_us = deadline_us - clk_now_us();
	struct cl_claim *c;
	Currant__Reply reply;

	switch (sh_claim_take(h->shard, take->key, take->body_hash,
	    now_wall_us + remaining_us + HO_CLAIM_REPORT_GRACE_US,
	    now_wall_us + (int64_t)take->keep_ms * CLK_US_PER_MS, now_wall_us,
	    &c)) {
	case CL_GRANTED:
		ho_add_waiter(h, HO_WAIT_CLAIM_GRANTED, take->key,
		    c->record_number, deadline_us, done, arg);
		return;
	case CL_IN_PROGRESS:
	case CL_RESPONDED:
		ho_add_waiter(h, HO_WAIT_CLAIM_ENDED, take->key, 0, deadline_us,
		    done, arg);
		return;
	case CL_OUTCOME_UNKNOWN:
		ca_init_reply(&reply, ST_UNKNOWN, 504,
		    "the first request with this key may have run", 0);
		break;
	case CL_KEY_REUSED:
		ca_init_reply(&reply, ST_NOT_RUN, 409,
		    "the key was used for another request", 0);
		break;
	case CL_FULL:
		ca_init_reply(&reply, ST_NOT_RUN, 503,
		    "no claim can be made at present", 1000);
		break;
	}
	done(&reply, arg);
}

static void
ho_end_claim(struct shard_host *h, const Currant__ClaimEnd *end,
    call_done_fn done, void *arg)
{
	Currant__Reply reply;

	sh_claim_end(h->shard, end->key,
	    end->result <= ST_RESULT_UNKNOWN ? (enum st_result)end->result
					     : ST_RESULT_UNKNOWN,
	    end->status, end->answer.data, end->answer.len);
	ca_init_reply(&reply, ST_DONE, 200, NULL, 0);
	done(&reply, arg);
}

static json_t *
ho_jobs_json(const struct sh_shard *sh)
{
	json_t *list = json_array();
	const struct sh_job *job;

	for (job = sh->jobs; job != NULL; job = job->hh.next)
		json_array_append_new(list, jj_job_to_json(sh, job, false));
	return list;
}

static void
ho_list(
    struct shard_host *h, const char *list_name, call_done_fn done, void *arg)
{
	Currant__Reply reply;
	json_t *list;

	if (strcmp(list_name, "workers") == 0)
		list = jj_workers_to_json(h->shard);
	else if (strcmp(list_name, "placements") == 0)
		list = jj_placements_to_json(h->shard);
	else
		list = ho_jobs_json(h->shard);
	ho_init_json_reply(&reply, ST_DONE, 200, list);
	done(&reply, arg);
	free(reply.body.data);
}

void
ho_handle_call(struct shard_host *h, const Currant__Call *call,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	Currant__Reply reply;

	pthread_mutex_lock(&h->lock);
	if (!ho_owns(h, NULL)) {
		ca_init_reply(
		    &reply, ST_NOT_RUN, 503, "the shard has no owner", 500);
		done(&reply, arg);
	} else if (call->submit != NULL) {
		ho_submit(h, call, deadline_us, done, arg);
	} else if (call->query != NULL) {
		ho_query(h, call->query, deadline_us, done, arg);
	} else if (call->cancel != NULL) {
		ho_cancel(h, call->cancel->id, deadline_us, done, arg);
	} else if (call->claim_take != NULL) {
		ho_take_claim(h, call->claim_take, deadline_us, done, arg);
	} else if (call->claim_end != NULL) {
		ho_end_claim(h, call->claim_end, done, arg);
	} else if (call->list != NULL) {
		ho_list(h, call->list, done, arg);
	} else {
		ca_init_reply(&reply, ST_NOT_RUN, 400, "unknown call", 0);
		done(&reply, arg);
	}
	pthread_mutex_unlock(&h->lock);
	ho_tick(h, clk_now_us());
}
