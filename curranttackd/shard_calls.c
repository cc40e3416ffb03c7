#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/shard_host_internal.h"
#include "protocol/job_json.h"
#include "protocol/record_codec.h"

/* For a claimant to report the outcome, after the deadline of its request. */
#define HO_CLAIM_REPORT_GRACE_US (5 * CLK_US_PER_S)

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
