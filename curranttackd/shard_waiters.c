#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/job_json.h"

void
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

void
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
