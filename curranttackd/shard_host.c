#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "curranttackd/members.h"
#include "curranttackd/shard_host.h"
#include "protocol/job_json.h"
#include "protocol/json_fields.h"
#include "protocol/record_codec.h"
#include "protocol/worker_json.h"

#define HO_BATCH_BYTES ((size_t)512 << 10)
#define HO_BATCH_RECORDS 5000
#define HO_PART_BYTES ((size_t)800 << 10)
#define HO_STORE_BAD_AFTER 2
#define HO_EVENT_WAIT_US (10 * CLK_US_PER_S)
#define HO_EVENT_RETRY_US (500 * CLK_US_PER_MS)
#define HO_MAX_PENDING_RECORDS 50000
#define HO_TOKEN_US CLK_US_PER_S
#define HO_CLAIM_SLACK_US (5 * CLK_US_PER_S)
#define HO_MAX_SYNC_US (2 * CLK_US_PER_S)

enum waiter_kind {
	HO_WAIT_ACCEPTED,
	HO_WAIT_ENDED,
	HO_WAIT_CLAIM_GRANTED,
	HO_WAIT_CLAIM_ENDED,
	HO_WAIT_DURABLE,
};

/** struct waiter - a call that is answered later */
struct waiter {
	enum waiter_kind kind;
	char *name;
	uint64_t durable_at;
	int64_t deadline_us;
	call_done_fn done;
	void *arg;
	struct waiter *prev;
	struct waiter *next;
};

/** struct worker_link - what the driver keeps per worker */
struct worker_link {
	struct shard_host *host;
	uint32_t row;
	uint64_t news;
	bool polling;
	int64_t poll_at_us;
};

struct shard_host {
	struct daemon *d;
	char id[MB_NAME_BYTES];
	pthread_mutex_t lock;
	struct ow_machine ow;
	struct sh_shard *sh;
	uint64_t generation;
	struct worker_link *link;
	struct waiter *waiters;
	uint8_t *batch;
	size_t batch_bytes;
	uint64_t batch_number;
	int64_t tokens_us;
	int64_t tokens_at_us;
	uint32_t entries;
	uint8_t **part;
	size_t *part_bytes;
	struct ow_op op;
	uint32_t store_failures;
	int64_t check_at_us;
	bool restart;
	bool releasing;
};

/** struct sync_call - a message to a worker that is under way */
struct sync_call {
	struct shard_host *host;
	uint64_t generation;
	uint32_t row;
};

static void ho_store_step(struct shard_host *h, int64_t now_us);

const char *
ho_shard_id(const struct shard_host *h)
{
	return h->id;
}

bool
ho_owns(const struct shard_host *h, uint64_t *epoch)
{
	if (epoch != NULL)
		*epoch = h->ow.epoch;
	return ow_active(&h->ow) && h->sh != NULL && h->sh->active;
}

bool
ho_idle(const struct shard_host *h)
{
	return !ow_active(&h->ow);
}

static const struct cf_shard *
ho_config(const struct shard_host *h)
{
	const struct cf_shards *shards = h->d->config->shards;
	uint32_t i;

	for (i = 0; i < shards->count; i++) {
		if (strcmp(shards->shard[i].id, h->id) == 0)
			return &shards->shard[i];
	}
	return NULL;
}

struct shard_host *
ho_create(struct daemon *d, const char *shard)
{
	struct shard_host *h;

	h = talloc_zero(d, struct shard_host);
	if (h == NULL)
		return NULL;
	h->d = d;
	snprintf(h->id, sizeof(h->id), "%s", shard);
	pthread_mutex_init(&h->lock, NULL);
	ow_init(&h->ow, d->settings->vm, d->incarnation);
	h->tokens_us = (int64_t)d->settings->commit_burst * HO_TOKEN_US;
	h->tokens_at_us = clk_now_us();
	return h;
}

/* --- answers to calls --- */

static void
ho_wait(struct shard_host *h, enum waiter_kind kind, const char *name,
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
ho_finish(struct shard_host *h, struct waiter *w, const Currant__Reply *reply)
{
	DL_DELETE(h->waiters, w);
	w->done(reply, w->arg);
	talloc_free(w);
}

static void
ho_reply_json(Currant__Reply *reply, enum st_outcome outcome, uint32_t status,
    json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	ca_reply(reply, outcome, status, NULL, 0);
	reply->has_body = 1;
	reply->body.data = (uint8_t *)text;
	reply->body.len = strlen(text);
	json_decref(value);
}

static void
ho_reply_job(struct shard_host *h, const char *id, bool with_tasks,
    Currant__Reply *reply)
{
	struct sh_job *job = sh_find_job(h->sh, id);
	char why[SH_TEXT_BYTES];
	json_t *o;

	if (job == NULL) {
		ca_reply(reply, ST_NOT_RUN, 404, "no such job", 0);
		return;
	}
	o = jj_show_job(h->sh, job, with_tasks);
	sh_why(h->sh, job, why);
	json_object_set_new(o, "why", json_string(why));
	ho_reply_json(
	    reply, sh_job_ended(h->sh, job) ? ST_DONE : ST_PENDING, 200, o);
}

static void
ho_reply_claim(const struct cl_claim *c, Currant__Reply *reply)
{
	ca_reply(reply, c->result == ST_RESULT_DONE ? ST_DONE : ST_UNKNOWN,
	    c->status, c->answer_kept ? NULL : "answer not kept", 0);
	reply->has_body = 1;
	reply->body.data = c->answer;
	reply->body.len = c->answer_bytes;
}

/* Whether the waiter can be answered; fills the reply. */
static bool
ho_settle(struct shard_host *h, struct waiter *w, Currant__Reply *reply)
{
	struct cl_claim *c;
	struct sh_job *job;

	switch (w->kind) {
	case HO_WAIT_ACCEPTED:
		if (w->durable_at > h->sh->committed)
			return false;
		ho_reply_job(h, w->name, false, reply);
		return true;
	case HO_WAIT_ENDED:
		job = sh_find_job(h->sh, w->name);
		if (job != NULL && !sh_job_ended(h->sh, job))
			return false;
		ho_reply_job(h, w->name, true, reply);
		return true;
	case HO_WAIT_DURABLE:
		if (w->durable_at > h->sh->committed)
			return false;
		ca_reply(reply, ST_DONE, 200, NULL, 0);
		return true;
	case HO_WAIT_CLAIM_GRANTED:
		if (w->durable_at > h->sh->committed)
			return false;
		ca_reply(reply, ST_PENDING, 0, NULL, 0);
		return true;
	case HO_WAIT_CLAIM_ENDED:
		c = cl_find(h->sh->claims, w->name);
		if (c == NULL) {
			ca_reply(reply, ST_NOT_RUN, 503,
			    "the first request with this key was not run; "
			    "send it again",
			    1);
			return true;
		}
		if (c->state == CL_TAKEN &&
		    clk_wall_us() >= c->unknown_wall_us) {
			ca_reply(reply, ST_UNKNOWN, 504,
			    "the first request with this key may have run", 0);
			return true;
		}
		if (c->state != CL_ENDED || c->durable_at > h->sh->committed)
			return false;
		ho_reply_claim(c, reply);
		return true;
	}
	return false;
}

static void
ho_expire(struct shard_host *h, struct waiter *w, Currant__Reply *reply)
{
	switch (w->kind) {
	case HO_WAIT_ENDED:
		ho_reply_job(h, w->name, true, reply);
		break;
	case HO_WAIT_CLAIM_GRANTED:
		/* The holder sends nothing without our answer. */
		sh_claim_end(h->sh, w->name, ST_RESULT_NONE, 0, NULL, 0);
		ca_reply(reply, ST_NOT_RUN, 503,
		    "the claim could not be made durable in time", 1000);
		break;
	default:
		ca_reply(reply, ST_UNKNOWN, 504,
		    "not known to be durable; ask again with the same key", 0);
		break;
	}
}

static void
ho_serve_waiters(struct shard_host *h, int64_t now_us)
{
	struct waiter *w;
	struct waiter *next;
	Currant__Reply reply;
	bool owned;

	DL_FOREACH_SAFE(h->waiters, w, next) {
		if (!ho_settle(h, w, &reply)) {
			if (now_us < w->deadline_us)
				continue;
			ho_expire(h, w, &reply);
		}
		/* Claims lend their answer; job texts are made for this. */
		owned = w->kind == HO_WAIT_ACCEPTED || w->kind == HO_WAIT_ENDED;
		ho_finish(h, w, &reply);
		if (owned && reply.has_body)
			free(reply.body.data);
	}
}

static void
ho_drop_waiters(struct shard_host *h)
{
	Currant__Reply reply;

	while (h->waiters != NULL) {
		if (h->waiters->kind == HO_WAIT_CLAIM_GRANTED)
			ca_reply(&reply, ST_NOT_RUN, 503,
			    "the shard has changed its owner", 500);
		else
			ca_reply(&reply, ST_UNKNOWN, 504,
			    "the shard has changed its owner; ask again", 0);
		ho_finish(h, h->waiters, &reply);
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
		ca_reply(&reply, ST_NOT_RUN, 400, "bad job description", 0);
		done(&reply, arg);
		return;
	}
	switch (sh_submit(h->sh, spec, clk_now_us(), &job, &why)) {
	case SH_ACCEPTED:
		ct_add(CT_JOBS_ACCEPTED, 1);
		/* fallthrough */
	case SH_DUPLICATE:
		ho_wait(h, HO_WAIT_ACCEPTED, spec->id, job->durable_at,
		    deadline_us, done, arg);
		goto out;
	case SH_KEY_REUSED:
		ca_reply(&reply, ST_NOT_RUN, 409, why, 0);
		break;
	case SH_IMPOSSIBLE:
		snprintf(text, sizeof(text),
		    "it can never run: not enough %s even on empty workers",
		    why);
		ca_reply(&reply, ST_NOT_RUN, 422, text, 0);
		break;
	case SH_NO_STORE:
		ca_reply(&reply, ST_NOT_RUN, 503, why, 2000);
		break;
	}
	ct_add(CT_JOBS_REFUSED, 1);
	done(&reply, arg);
out:
	talloc_free(spec);
}

static void
ho_query(struct shard_host *h, const Currant__JobQuery *q, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	int64_t until_us = clk_now_us() + (int64_t)q->wait_ms * CLK_US_PER_MS;

	/* Answers before the caller's own deadline passes. */
	if (until_us > deadline_us - 50 * CLK_US_PER_MS)
		until_us = deadline_us - 50 * CLK_US_PER_MS;
	ho_wait(h, HO_WAIT_ENDED, q->id, 0, until_us, done, arg);
}

static void
ho_cancel(struct shard_host *h, const char *id, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	struct sh_job *job = sh_find_job(h->sh, id);
	Currant__Reply reply;

	if (job == NULL) {
		ca_reply(&reply, ST_NOT_RUN, 404, "no such job", 0);
		done(&reply, arg);
		return;
	}
	sh_cancel(h->sh, job);
	ho_wait(h, HO_WAIT_ACCEPTED, id, job->ended_at, deadline_us, done, arg);
}

static void
ho_claim_take(struct shard_host *h, const Currant__ClaimTake *take,
    int64_t deadline_us, call_done_fn done, void *arg)
{
	int64_t now_wall_us = clk_wall_us();
	int64_t left_us = deadline_us - clk_now_us();
	struct cl_claim *c;
	Currant__Reply reply;

	switch (sh_claim_take(h->sh, take->key, take->body_hash,
	    now_wall_us + left_us + HO_CLAIM_SLACK_US,
	    now_wall_us + (int64_t)take->keep_ms * CLK_US_PER_MS, now_wall_us,
	    &c)) {
	case CL_GRANTED:
		ho_wait(h, HO_WAIT_CLAIM_GRANTED, take->key, c->durable_at,
		    deadline_us, done, arg);
		return;
	case CL_IN_PROGRESS:
	case CL_ANSWERED:
		ho_wait(h, HO_WAIT_CLAIM_ENDED, take->key, 0, deadline_us, done,
		    arg);
		return;
	case CL_OUTCOME_UNKNOWN:
		ca_reply(&reply, ST_UNKNOWN, 504,
		    "the first request with this key may have run", 0);
		break;
	case CL_OTHER_BODY:
		ca_reply(&reply, ST_NOT_RUN, 409,
		    "the key was used for another request", 0);
		break;
	case CL_FULL:
		ca_reply(&reply, ST_NOT_RUN, 503,
		    "no claim can be made at present", 1000);
		break;
	}
	done(&reply, arg);
}

static void
ho_claim_end(struct shard_host *h, const Currant__ClaimEnd *end,
    call_done_fn done, void *arg)
{
	Currant__Reply reply;

	sh_claim_end(h->sh, end->key,
	    end->result <= ST_RESULT_UNKNOWN ? (enum st_result)end->result
					     : ST_RESULT_UNKNOWN,
	    end->status, end->answer.data, end->answer.len);
	ca_reply(&reply, ST_DONE, 200, NULL, 0);
	done(&reply, arg);
}

static json_t *
ho_show_jobs(const struct sh_shard *sh)
{
	json_t *list = json_array();
	const struct sh_job *job;

	for (job = sh->jobs; job != NULL; job = job->hh.next)
		json_array_append_new(list, jj_show_job(sh, job, false));
	return list;
}

static void
ho_list(struct shard_host *h, const char *what, call_done_fn done, void *arg)
{
	Currant__Reply reply;
	json_t *list;

	if (strcmp(what, "workers") == 0)
		list = jj_show_workers(h->sh);
	else if (strcmp(what, "placements") == 0)
		list = jj_show_placements(h->sh);
	else
		list = ho_show_jobs(h->sh);
	ho_reply_json(&reply, ST_DONE, 200, list);
	done(&reply, arg);
	free(reply.body.data);
}

void
ho_call(struct shard_host *h, const Currant__Call *call, int64_t deadline_us,
    call_done_fn done, void *arg)
{
	Currant__Reply reply;

	pthread_mutex_lock(&h->lock);
	if (!ho_owns(h, NULL)) {
		ca_reply(
		    &reply, ST_NOT_RUN, 503, "the shard has no owner", 500);
		done(&reply, arg);
	} else if (call->submit != NULL) {
		ho_submit(h, call, deadline_us, done, arg);
	} else if (call->query != NULL) {
		ho_query(h, call->query, deadline_us, done, arg);
	} else if (call->cancel != NULL) {
		ho_cancel(h, call->cancel->id, deadline_us, done, arg);
	} else if (call->claim_take != NULL) {
		ho_claim_take(h, call->claim_take, deadline_us, done, arg);
	} else if (call->claim_end != NULL) {
		ho_claim_end(h, call->claim_end, done, arg);
	} else if (call->list != NULL) {
		ho_list(h, call->list, done, arg);
	} else {
		ca_reply(&reply, ST_NOT_RUN, 400, "unknown call", 0);
		done(&reply, arg);
	}
	pthread_mutex_unlock(&h->lock);
	ho_tick(h, clk_now_us());
}

/* --- the shard's state --- */

static int
ho_load_workers(struct shard_host *h, const struct cf_shard *conf)
{
	struct sh_worker_spec *spec;
	uint32_t i;

	spec =
	    talloc_zero_array(h, struct sh_worker_spec, conf->worker_count + 1);
	if (spec == NULL)
		return -1;
	for (i = 0; i < conf->worker_count; i++) {
		spec[i].id = conf->worker[i].id;
		spec[i].address = conf->worker[i].address;
		spec[i].rack = conf->worker[i].rack;
		spec[i].capacity = conf->worker[i].capacity;
	}
	if (sh_set_workers(h->sh, spec, conf->worker_count) == -1)
		return -1;
	h->link = talloc_zero_array(
	    h->sh, struct worker_link, conf->worker_count + 1);
	for (i = 0; i < conf->worker_count; i++) {
		h->link[i].host = h;
		h->link[i].row = i;
	}
	talloc_free(spec);
	return 0;
}

static void
ho_apply_quotas(struct shard_host *h)
{
	const struct cf_config *c = h->d->config;
	const struct cf_shard *conf = ho_config(h);
	struct st_res part;
	uint32_t i;

	for (i = 0; conf != NULL && i < c->teams->count; i++) {
		part = cf_quota_part(c->shards, conf, &c->teams->team[i].quota);
		sh_set_quota(h->sh, c->teams->team[i].name, &part);
	}
	sh_set_policy(h->sh, dm_policy(h->d));
}

static void
ho_reset(struct shard_host *h)
{
	const struct settings *s = h->d->settings;
	const struct cf_shard *conf = ho_config(h);
	struct sh_settings times = {
	    .lease_us = s->worker_lease_us,
	    .renew_us = s->worker_renew_us,
	    .drift_us = 200 * CLK_US_PER_MS,
	    .inventory_us = 10 * s->worker_lease_us,
	    .max_claim_bytes = s->max_claim_bytes,
	};

	ho_drop_waiters(h);
	TALLOC_FREE(h->sh);
	h->link = NULL;
	h->generation++;
	h->entries = 0;
	TALLOC_FREE(h->batch);
	h->sh =
	    sh_create(NULL, h->id, &times, dm_policy(h->d), h->d->incarnation);
	if (h->sh == NULL || (conf != NULL && ho_load_workers(h, conf) == -1))
		abort();
}

static void
ho_replay(struct shard_host *h, const struct kv_answer *a)
{
	struct rk_batch *b;
	size_t i;

	b = rk_unpack_batch(h, a->value, a->value_bytes);
	if (b == NULL) {
		/* Serving from a log that cannot be read would lose work. */
		lg_event(
		    LG_ERROR, "shard", "unreadable_log", "shard", h->id, NULL);
		abort();
	}
	for (i = 0; i < b->count; i++)
		sh_apply(h->sh, b->record[i]);
	h->entries++;
	talloc_free(b);
}

static void
ho_activate(struct shard_host *h, int64_t now_us)
{
	ho_apply_quotas(h);
	sh_begin(h->sh, h->ow.epoch, now_us);
	ct_add(CT_TAKEOVERS, 1);
	lg_event(LG_INFO, "shard", "owned", "shard", h->id, "epoch",
	    lg_i64((int64_t)h->ow.epoch), "previous",
	    h->ow.previous_owner[0] != '\0' ? h->ow.previous_owner : "none",
	    "jobs", lg_i64(HASH_COUNT(h->sh->jobs)), NULL);
}

static void
ho_fenced(struct shard_host *h)
{
	ct_add(CT_FENCED, 1);
	lg_event(LG_WARN, "shard", "fenced", "shard", h->id, "epoch",
	    lg_i64((int64_t)h->ow.epoch), NULL);
	ho_drop_waiters(h);
	TALLOC_FREE(h->sh);
	h->link = NULL;
	h->generation++;
}

/* --- the store --- */

static void
ho_key(const struct shard_host *h, const struct ow_op *op, char *key)
{
	switch (op->key) {
	case OW_KEY_LEASE:
		snprintf(key, DM_KEY_BYTES, "shard/%s/lease", h->id);
		break;
	case OW_KEY_HEAD:
		snprintf(key, DM_KEY_BYTES, "shard/%s/head", h->id);
		break;
	case OW_KEY_LOG:
		snprintf(
		    key, DM_KEY_BYTES, "shard/%s/log/%" PRIu64, h->id, op->seq);
		break;
	case OW_KEY_SNAPSHOT:
		snprintf(key, DM_KEY_BYTES,
		    "shard/%s/snap/%" PRIu64 "-%" PRIu64 "/%u", h->id, op->seq,
		    op->epoch, op->part);
		break;
	}
}

static uint8_t *
ho_pack_seal(struct shard_host *h, const struct ow_op *op, size_t *bytes)
{
	struct rc_record seal = {.kind = RC_SEAL, .epoch = h->ow.epoch};
	struct rc_record *list[1] = {&seal};
	struct rk_batch b = {
	    .writer = h->ow.writer,
	    .nonce = op->nonce,
	    .epoch = h->ow.epoch,
	    .record = list,
	    .count = 1,
	};

	return rk_pack_batch(h, &b, bytes);
}

static uint8_t *
ho_value(struct shard_host *h, const struct ow_op *op, size_t *bytes)
{
	switch (op->key) {
	case OW_KEY_LEASE:
		return rk_pack_lease(
		    h, h->d->settings->vm, h->ow.writer, bytes);
	case OW_KEY_HEAD:
		return rk_pack_head(h, &op->head, bytes);
	case OW_KEY_LOG:
		if (op->seal)
			return ho_pack_seal(h, op, bytes);
		*bytes = h->batch_bytes;
		return talloc_memdup(h, h->batch, h->batch_bytes);
	case OW_KEY_SNAPSHOT:
		*bytes = h->part_bytes[op->part];
		return talloc_memdup(h, h->part[op->part], *bytes);
	}
	return NULL;
}

static void
ho_read_value(
    struct shard_host *h, const struct kv_answer *a, struct ow_answer *out)
{
	struct rk_batch *b;

	switch (h->op.key) {
	case OW_KEY_LEASE:
		if (!rk_unpack_lease(a->value, a->value_bytes, &out->writer))
			out->writer = 0;
		break;
	case OW_KEY_HEAD:
		if (!rk_unpack_head(a->value, a->value_bytes, &out->head))
			out->result = OW_UNAVAILABLE;
		break;
	case OW_KEY_LOG:
		b = rk_unpack_batch(h, a->value, a->value_bytes);
		out->writer = b != NULL ? b->writer : 0;
		out->nonce = b != NULL ? b->nonce : 0;
		talloc_free(b);
		break;
	case OW_KEY_SNAPSHOT:
		break;
	}
}

static void
ho_on_event(struct shard_host *h, enum ow_event event,
    const struct kv_answer *a, int64_t now_us)
{
	switch (event) {
	case OW_EV_NONE:
		break;
	case OW_EV_RESET:
		ho_reset(h);
		break;
	case OW_EV_REPLAY:
		ho_replay(h, a);
		break;
	case OW_EV_ACTIVE:
		ho_activate(h, now_us);
		break;
	case OW_EV_COMMITTED:
		sh_committed(h->sh, h->batch_number);
		TALLOC_FREE(h->batch);
		h->entries++;
		break;
	case OW_EV_SNAPSHOT:
		h->entries = 0;
		TALLOC_FREE(h->part);
		lg_event(LG_INFO, "shard", "snapshot", "shard", h->id, "seq",
		    lg_i64((int64_t)h->ow.head.snapshot_seq), NULL);
		break;
	case OW_EV_FENCED:
		ho_fenced(h);
		break;
	case OW_EV_RELEASED:
		lg_event(LG_INFO, "shard", "released", "shard", h->id, NULL);
		TALLOC_FREE(h->sh);
		h->link = NULL;
		h->generation++;
		if (!h->releasing) {
			/* Only reloading: take it again at once. */
			h->ow.release_wanted = false;
			h->ow.poll_at_us = now_us;
		}
		break;
	}
}

static void
ho_on_store(const struct kv_answer *a, void *arg)
{
	struct shard_host *h = arg;
	int64_t now_us = clk_now_us();
	struct ow_answer answer = {0};
	enum ow_event event;

	pthread_mutex_lock(&h->lock);
	switch (a->result) {
	case KV_OK:
		answer.result = OW_OK;
		break;
	case KV_ABSENT:
		answer.result = OW_ABSENT;
		break;
	case KV_CONFLICT:
		answer.result = OW_CONFLICT;
		break;
	case KV_UNAVAILABLE:
		answer.result = OW_UNAVAILABLE;
		break;
	}
	answer.revision = a->revision;
	if (h->op.kind == OW_GET && a->result == KV_OK)
		ho_read_value(h, a, &answer);
	h->store_failures =
	    answer.result == OW_UNAVAILABLE ? h->store_failures + 1 : 0;
	event = ow_answer(&h->ow, &answer, now_us);
	ho_on_event(h, event, a, now_us);
	if (ho_owns(h, NULL)) {
		sh_set_store_ok(h->sh, h->store_failures < HO_STORE_BAD_AFTER);
		ho_serve_waiters(h, now_us);
	}
	pthread_mutex_unlock(&h->lock);
	ho_tick(h, now_us);
}

static void
ho_issue(struct shard_host *h, const struct ow_op *op)
{
	struct kv_put put = {0};
	char key[DM_KEY_BYTES];
	uint8_t *value;

	h->op = *op;
	ho_key(h, op, key);
	switch (op->kind) {
	case OW_GET:
		h->d->kv_ops->get(h->d->kv, key, ho_on_store, h);
		break;
	case OW_CREATE:
	case OW_CAS:
		value = ho_value(h, op, &put.value_bytes);
		put.key = key;
		put.value = value;
		put.mode = op->kind == OW_CREATE ? KV_CREATE : KV_CAS;
		put.if_revision = op->if_revision;
		if (op->key == OW_KEY_LEASE)
			put.lease = h->d->store_lease;
		h->d->kv_ops->put(h->d->kv, &put, ho_on_store, h);
		talloc_free(value);
		break;
	case OW_DELETE:
		h->d->kv_ops->del(
		    h->d->kv, key, op->if_revision, ho_on_store, h);
		break;
	}
}

static bool
ho_tokens(struct shard_host *h, int64_t now_us, uint32_t keep)
{
	int64_t most_us = (int64_t)h->d->settings->commit_burst * HO_TOKEN_US;

	h->tokens_us +=
	    (now_us - h->tokens_at_us) * (int64_t)h->d->settings->commit_per_s;
	h->tokens_at_us = now_us;
	if (h->tokens_us > most_us)
		h->tokens_us = most_us;
	return h->tokens_us >= (int64_t)(keep + 1) * HO_TOKEN_US;
}

static void
ho_begin_append(struct shard_host *h, int64_t now_us)
{
	const struct sh_pending *p;
	struct rk_batch b = {0};
	size_t bytes = 0;

	if (sh_records(h->sh) == NULL || h->ow.state != OW_READY ||
	    h->ow.in_flight || !ho_tokens(h, now_us, 0))
		return;
	b.nonce = ow_append(&h->ow, now_us);
	if (b.nonce == 0)
		return;
	b.record = talloc_array(h, struct rc_record *, HO_BATCH_RECORDS);
	for (p = sh_records(h->sh); p != NULL; p = p->next) {
		bytes += rc_bytes(p->record);
		if (b.count == HO_BATCH_RECORDS ||
		    (b.count > 0 && bytes > HO_BATCH_BYTES))
			break;
		b.record[b.count++] = p->record;
		h->batch_number = p->number;
	}
	b.writer = h->ow.writer;
	b.epoch = h->ow.epoch;
	TALLOC_FREE(h->batch);
	h->batch = rk_pack_batch(h, &b, &h->batch_bytes);
	h->tokens_us -= HO_TOKEN_US;
	talloc_free(b.record);
}

static uint32_t
ho_pack_parts(struct shard_host *h, struct rc_record **record, size_t count)
{
	struct rk_batch b = {.writer = h->ow.writer, .epoch = h->ow.epoch};
	uint32_t parts = 0;
	size_t from = 0;
	size_t bytes;
	size_t i;

	TALLOC_FREE(h->part);
	h->part = talloc_zero_array(h, uint8_t *, (unsigned)count + 1);
	h->part_bytes = talloc_zero_array(h->part, size_t, (unsigned)count + 1);
	do {
		bytes = 0;
		for (i = from; i < count; i++) {
			bytes += rc_bytes(record[i]);
			if (i > from && bytes > HO_PART_BYTES)
				break;
		}
		b.record = record + from;
		b.count = i - from;
		h->part[parts] =
		    rk_pack_batch(h->part, &b, &h->part_bytes[parts]);
		parts++;
		from = i;
	} while (from < count);
	return parts;
}

static void
ho_begin_snapshot(struct shard_host *h, int64_t now_us)
{
	struct rc_record **record;
	uint32_t parts;
	size_t count;

	if (h->entries < h->d->settings->snapshot_every ||
	    h->ow.state != OW_READY || h->ow.in_flight ||
	    h->ow.old_snap_parts > 0 || h->ow.verify_wanted ||
	    !ho_tokens(h, now_us, 2))
		return;
	record = sh_snapshot(
	    h->sh, h, &count, now_us, h->d->settings->keep_ended_us);
	parts = ho_pack_parts(h, record, count);
	talloc_free(record);
	if (!ow_snapshot(&h->ow, parts))
		TALLOC_FREE(h->part);
	else
		h->tokens_us -= 2 * HO_TOKEN_US;
}

static bool
ho_eligible(struct shard_host *h, int64_t now_us)
{
	struct daemon *d = h->d;
	const struct cf_shard *conf = ho_config(h);
	struct mb_member *self;
	bool may;

	if (conf == NULL || atomic_load(&d->leaving) || d->store_lease == 0)
		return false;
	pthread_mutex_lock(&d->members_lock);
	self = mb_find(d->view, d->settings->vm);
	/* Workers may still obey a domain that is only cut off. */
	may = self->listed != MB_LEAVING &&
	    mb_owner(d->view, h->id, now_us, NULL) == NULL &&
	    (strcmp(conf->domain, d->settings->domain) == 0 ||
		!mb_domain_has_live(d->view, conf->domain, now_us));
	pthread_mutex_unlock(&d->members_lock);
	return may;
}

static void
ho_store_step(struct shard_host *h, int64_t now_us)
{
	bool eligible = !ow_active(&h->ow) && ho_eligible(h, now_us);
	bool trim = ho_tokens(h, now_us, h->d->settings->commit_burst / 2);
	struct ow_op op;

	if (ho_owns(h, NULL)) {
		ho_begin_append(h, now_us);
		ho_begin_snapshot(h, now_us);
	}
	if (!ow_next(&h->ow, now_us, eligible, trim, &op))
		return;
	if (op.kind == OW_DELETE)
		h->tokens_us -= HO_TOKEN_US;
	ho_issue(h, &op);
}

/* --- workers --- */

static void
ho_on_sync(const struct hc_response *resp, void *arg)
{
	struct sync_call *call = arg;
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
	    wj_parse_reply(call, resp->body, resp->body_bytes, &reply, error);
	if (!ok) {
		sh_sync_failed(h->sh, call->row, now_us);
	} else if (!sh_sync_reply(h->sh, call->row, &reply, now_us)) {
		ow_verify(&h->ow);
	}
	pthread_mutex_unlock(&h->lock);
out:
	talloc_free(call);
}

static void
ho_send_sync(struct shard_host *h, uint32_t w, int64_t now_us)
{
	struct hc_request req = {0};
	struct sh_sync sync;
	struct sync_call *call;
	char url[160];
	char *body;
	int64_t timeout_us = h->d->settings->worker_renew_us;

	if (timeout_us > HO_MAX_SYNC_US)
		timeout_us = HO_MAX_SYNC_US;
	sh_sync_build(h->sh, w, now_us, &sync);
	ct_add(CT_TASKS_STARTED, sync.start_count);
	body = wj_build_sync(h->id, &sync);
	call = talloc_zero(h, struct sync_call);
	if (call == NULL || body == NULL)
		abort();
	call->host = h;
	call->generation = h->generation;
	call->row = w;
	snprintf(
	    url, sizeof(url), "http://%s/v1/sync", h->sh->worker[w].address);
	req.method = "POST";
	req.url = url;
	req.body = body;
	req.body_bytes = strlen(body);
	req.deadline_us = now_us + timeout_us;
	hc_send(h->d->control_http, &req, ho_on_sync, call);
	free(body);
}

static void
ho_on_worker_news(const struct hc_response *resp, void *arg)
{
	struct sync_call *call = arg;
	struct shard_host *h = call->host;
	struct worker_link *link;
	struct sh_sync_reply reply;
	char error[JF_ERROR_BYTES];
	int64_t now_us = clk_now_us();

	ct_add(CT_WORKER_MSGS, 1);
	ct_add(CT_WORKER_BYTES, resp->sent_bytes + resp->received_bytes);
	if (call->generation != h->generation)
		goto out;
	link = &h->link[call->row];
	link->polling = false;
	if (resp->error != HC_OK || resp->status != 200 ||
	    !wj_parse_reply(
		call, resp->body, resp->body_bytes, &reply, error)) {
		link->poll_at_us = now_us + HO_EVENT_RETRY_US;
		goto out;
	}
	link->news = reply.news;
	pthread_mutex_lock(&h->lock);
	sh_worker_news(
	    h->sh, call->row, reply.ended, reply.ended_count, now_us);
	pthread_mutex_unlock(&h->lock);
out:
	talloc_free(call);
}

/* A worker answers this request when it has new outcomes to report. */
static void
ho_poll_worker(struct shard_host *h, uint32_t w, int64_t now_us)
{
	struct worker_link *link = &h->link[w];
	struct hc_request req = {0};
	struct sync_call *call;
	char url[200];

	if (link->polling || now_us < link->poll_at_us)
		return;
	call = talloc_zero(h, struct sync_call);
	if (call == NULL)
		return;
	call->host = h;
	call->generation = h->generation;
	call->row = w;
	snprintf(url, sizeof(url),
	    "http://%s/v1/events?after=%" PRIu64 "&wait_ms=%" PRId64,
	    h->sh->worker[w].address, link->news,
	    HO_EVENT_WAIT_US / CLK_US_PER_MS);
	req.method = "GET";
	req.url = url;
	req.deadline_us = now_us + HO_EVENT_WAIT_US + CLK_US_PER_S;
	link->polling = true;
	hc_send(h->d->control_http, &req, ho_on_worker_news, call);
}

static void
ho_update_leaving(struct shard_host *h)
{
	uint32_t w;

	for (w = 0; w < h->sh->worker_count; w++)
		sh_set_leaving(
		    h->sh, w, me_is_leaving(h->d, h->sh->worker[w].id));
}

/* Leases that the earlier owner gave run out only once it has stopped. */
static void
ho_check_previous(struct shard_host *h, int64_t now_us)
{
	struct daemon *d = h->d;
	int64_t gone_at_us;

	if (h->ow.previous_owner[0] == '\0' ||
	    strcmp(h->ow.previous_owner, d->settings->vm) == 0) {
		gone_at_us = now_us;
	} else {
		pthread_mutex_lock(&d->members_lock);
		gone_at_us = mb_process_gone_at(
		    d->view, h->ow.previous_owner, h->ow.previous_writer);
		pthread_mutex_unlock(&d->members_lock);
	}
	if (gone_at_us != 0)
		sh_previous_owner_gone(h->sh, now_us);
}

static void
ho_check_rival(struct shard_host *h, int64_t now_us)
{
	struct daemon *d = h->d;
	uint64_t epoch;

	pthread_mutex_lock(&d->members_lock);
	mb_owner(d->view, h->id, now_us, &epoch);
	pthread_mutex_unlock(&d->members_lock);
	if (epoch > h->ow.epoch)
		ow_verify(&h->ow);
}

static void
ho_step_shard(struct shard_host *h, int64_t now_us)
{
	const char *wrong;
	uint32_t w;

	ho_update_leaving(h);
	ho_check_previous(h, now_us);
	ho_check_rival(h, now_us);
	if (h->sh->pending_count > HO_MAX_PENDING_RECORDS)
		sh_set_store_ok(h->sh, false);
	sh_tick(h->sh, now_us);
	wrong = now_us >= h->check_at_us ? sh_check(h->sh) : NULL;
	if (now_us >= h->check_at_us)
		h->check_at_us = now_us + CLK_US_PER_S;
	if (wrong != NULL) {
		lg_event(LG_ERROR, "shard", "invariant_broken", "shard", h->id,
		    "what", wrong, NULL);
		abort();
	}
	for (w = 0; w < h->sh->worker_count; w++) {
		if (sh_sync_due(h->sh, w, now_us))
			ho_send_sync(h, w, now_us);
		if (h->sh->worker[w].state == SH_W_USABLE)
			ho_poll_worker(h, w, now_us);
	}
	ho_serve_waiters(h, now_us);
}

void
ho_tick(struct shard_host *h, int64_t now_us)
{
	pthread_mutex_lock(&h->lock);
	if (ho_owns(h, NULL))
		ho_step_shard(h, now_us);
	if (h->releasing && (h->sh == NULL || sh_records(h->sh) == NULL))
		ow_release(&h->ow);
	if (h->restart && h->sh != NULL && sh_records(h->sh) == NULL) {
		h->restart = false;
		ow_release(&h->ow);
	}
	ho_store_step(h, now_us);
	pthread_mutex_unlock(&h->lock);
}

void
ho_config_changed(struct shard_host *h, bool shards_changed)
{
	pthread_mutex_lock(&h->lock);
	if (ho_owns(h, NULL)) {
		ho_apply_quotas(h);
		/* Other workers: recover from the log with the new list. */
		if (shards_changed)
			h->restart = true;
	}
	pthread_mutex_unlock(&h->lock);
}

void
ho_lease_lost(struct shard_host *h)
{
	ow_lease_lost(&h->ow);
}

void
ho_release(struct shard_host *h)
{
	h->releasing = true;
}
