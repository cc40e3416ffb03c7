#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/rng.h"
#include "curranttackd/api.h"
#include "protocol/job_json.h"
#include "protocol/json_fields.h"
#include "protocol/record_codec.h"

#define AJ_DEFAULT_TIMEOUT_US (10 * CLK_US_PER_S)
#define AJ_MAX_WAIT_MS (10 * 60 * 1000)
/* Enough that each of a dozen shards is likely to be the home of one. */
#define AJ_KEY_CANDIDATES 16

/* Passes the owner's reply on to the caller. */
static void
aj_on_reply(const Currant__Reply *reply, void *arg)
{
	struct hs_request *req = arg;
	enum st_outcome outcome = (enum st_outcome)reply->outcome;
	struct hs_header h = {"X-Outcome", st_outcome_name(outcome)};

	if (reply->has_body)
		hs_respond(req, outcome == ST_PENDING ? 202 : 200,
		    "application/json", reply->body.data, reply->body.len, &h,
		    1);
	else
		fr_respond_outcome(req, (int)reply->status, outcome,
		    reply->reason, reply->retry_after_ms);
}

static bool
aj_shard_fits(const struct cf_shard *s, const void *arg)
{
	const struct st_job_spec *spec = arg;
	uint64_t task_capacity = cf_shard_task_capacity(s, &spec->per_task);

	return task_capacity >= (spec->kind == ST_GANG ? spec->count : 1);
}

static const char *
aj_lacking_resource(
    const struct cf_shards *shards, const struct st_job_spec *spec)
{
	struct st_res largest = {0};
	const char *lacking;
	uint32_t i;
	uint32_t w;

	for (i = 0; i < shards->count; i++) {
		for (w = 0; w < shards->shard[i].worker_count; w++)
			st_res_max(
			    &largest, &shards->shard[i].worker[w].capacity);
	}
	lacking = st_res_lacking(&spec->per_task, &largest);
	if (lacking != NULL)
		return lacking;
	return spec->per_task.accel > 0 ? "accelerators" : "room in one shard";
}

/* Sets shard and spec->id; false if no shard can ever run the job. */
static bool
aj_choose_shard(struct daemon *d, struct st_job_spec *spec, char *shard,
    char *reason, size_t reason_bytes, int *status)
{
	const struct cf_shard *home;
	char *scoped_key;

	scoped_key = talloc_asprintf(spec, "%s/%s", spec->team, spec->key);
	pthread_mutex_lock(&d->config_lock);
	home =
	    cf_home_shard(d->config->shards, scoped_key, aj_shard_fits, spec);
	*status = 503;
	if (home != NULL) {
		snprintf(shard, MB_NAME_BYTES, "%s", home->id);
	} else if (d->config->shards->count == 0) {
		snprintf(reason, reason_bytes,
		    "no shards are configured or known yet");
	} else {
		*status = 422;
		snprintf(reason, reason_bytes,
		    "it can never run: not enough %s even on empty workers",
		    aj_lacking_resource(d->config->shards, spec));
	}
	pthread_mutex_unlock(&d->config_lock);
	if (home == NULL)
		return false;
	spec->id = jj_job_id(spec, shard, spec->team, spec->key);
	return true;
}

/* Load of the home shard of a key. */
static uint32_t
aj_home_shard_load(
    struct daemon *d, const struct st_job_spec *spec, const char *key)
{
	const struct cf_shard *home;
	char shard[MB_NAME_BYTES] = "";
	uint32_t load;
	char *scoped_key;

	scoped_key = talloc_asprintf(NULL, "%s/%s", spec->team, key);
	pthread_mutex_lock(&d->config_lock);
	home =
	    cf_home_shard(d->config->shards, scoped_key, aj_shard_fits, spec);
	if (home != NULL)
		snprintf(shard, sizeof(shard), "%s", home->id);
	pthread_mutex_unlock(&d->config_lock);
	talloc_free(scoped_key);
	pthread_mutex_lock(&d->members_lock);
	load = mb_shard_load(d->view, shard, clk_now_us());
	pthread_mutex_unlock(&d->members_lock);
	return load;
}

/*
 * Chooses the key of a job that comes without one: of several random keys, the
 * one whose home shard has the least load.
 */
static void
aj_make_key(struct daemon *d, struct st_job_spec *spec)
{
	uint32_t least_load = UINT32_MAX;
	uint32_t load;
	char *key;
	int i;

	for (i = 0; i < AJ_KEY_CANDIDATES; i++) {
		key = talloc_asprintf(spec, "auto-%016" PRIx64 "%016" PRIx64,
		    rng_seed_os(), rng_seed_os());
		load = aj_home_shard_load(d, spec, key);
		if (spec->key != NULL && load >= least_load) {
			talloc_free(key);
			continue;
		}
		least_load = load;
		spec->key = key;
	}
}

static int64_t
aj_deadline_us(struct hs_request *req)
{
	const char *text = hs_header(req, "X-Deadline-Ms");
	int64_t ms = text != NULL ? strtoll(text, NULL, 10) : 0;

	if (ms <= 0 || ms > AJ_MAX_WAIT_MS)
		return clk_now_us() + AJ_DEFAULT_TIMEOUT_US;
	return clk_now_us() + ms * CLK_US_PER_MS;
}

void
api_job_submit(struct frontend *f, struct hs_request *req, const char *suffix)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__SubmitJob submit = CURRANT__SUBMIT_JOB__INIT;
	Currant__JobSpec msg;
	struct st_job_spec *spec;
	struct call_target target = {0};
	char error[JF_ERROR_BYTES];
	char shard[MB_NAME_BYTES];
	int status;

	(void)suffix;
	spec = jj_parse_job(NULL, req->body, req->body_bytes,
	    hs_header(req, "Idempotency-Key"), error);
	if (spec == NULL) {
		fr_respond_error(req, 400, error);
		return;
	}
	if (spec->key == NULL)
		aj_make_key(f->d, spec);
	if (!aj_choose_shard(
		f->d, spec, shard, error, sizeof(error), &status)) {
		fr_respond_outcome(
		    req, status, ST_NOT_RUN, error, status == 503 ? 1000 : 0);
		goto out;
	}
	rk_spec_to_message(spec, &msg);
	submit.spec = &msg;
	call.submit = &submit;
	target.shard = shard;
	ca_start_from_frontend(
	    f, &call, &target, aj_deadline_us(req), aj_on_reply, req);
out:
	talloc_free(spec);
}

/* Copies the shard's id, the part of a job id before the last dot. */
static bool
aj_parse_shard(const char *id, char *shard)
{
	const char *dot = strrchr(id, '.');

	if (dot == NULL || dot == id || dot - id >= MB_NAME_BYTES)
		return false;
	snprintf(shard, MB_NAME_BYTES, "%.*s", (int)(dot - id), id);
	return true;
}

static void
aj_query(struct frontend *f, struct hs_request *req, const char *id,
    int64_t wait_ms, call_done_fn done)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__JobQuery query = CURRANT__JOB_QUERY__INIT;
	struct call_target target = {0};
	char shard[MB_NAME_BYTES];

	if (!aj_parse_shard(id, shard)) {
		fr_respond_error(req, 404, "no such job");
		return;
	}
	query.id = (char *)id;
	query.wait_ms = (uint32_t)wait_ms;
	call.query = &query;
	target.shard = shard;
	ca_start_from_frontend(f, &call, &target,
	    clk_now_us() + wait_ms * CLK_US_PER_MS + AJ_DEFAULT_TIMEOUT_US,
	    done, req);
}

void
api_job_show(struct frontend *f, struct hs_request *req, const char *suffix)
{
	const char *text = hs_query(req, "wait_ms");
	int64_t wait_ms = text != NULL ? strtoll(text, NULL, 10) : 0;

	if (wait_ms < 0 || wait_ms > AJ_MAX_WAIT_MS) {
		fr_respond_error(req, 400, "wait_ms: must be from 0 to 600000");
		return;
	}
	aj_query(f, req, suffix, wait_ms, aj_on_reply);
}

static void
aj_on_why(const Currant__Reply *reply, void *arg)
{
	struct hs_request *req = arg;
	char error[JF_ERROR_BYTES];
	json_t *body;

	if (!reply->has_body) {
		aj_on_reply(reply, arg);
		return;
	}
	body = jf_parse(reply->body.data, reply->body.len, error);
	fr_respond_json(
	    req, 200, json_pack("{s:O}", "why", json_object_get(body, "why")));
	json_decref(body);
}

void
api_job_why(struct frontend *f, struct hs_request *req, const char *suffix)
{
	aj_query(f, req, suffix, 0, aj_on_why);
}

void
api_job_cancel(struct frontend *f, struct hs_request *req, const char *suffix)
{
	Currant__Call call = CURRANT__CALL__INIT;
	Currant__JobCancel cancel = CURRANT__JOB_CANCEL__INIT;
	struct call_target target = {0};
	char shard[MB_NAME_BYTES];

	if (!aj_parse_shard(suffix, shard)) {
		fr_respond_error(req, 404, "no such job");
		return;
	}
	cancel.id = (char *)suffix;
	call.cancel = &cancel;
	target.shard = shard;
	ca_start_from_frontend(
	    f, &call, &target, aj_deadline_us(req), aj_on_reply, req);
}

void
api_job_list(struct frontend *f, struct hs_request *req, const char *suffix)
{
	(void)suffix;
	gather_from_shards(f, req, "jobs");
}
