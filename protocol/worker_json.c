#include <string.h>

#include "protocol/worker_json.h"
#include "protocol/json_fields.h"

json_t *
wj_ref_to_json(const struct sh_ref *ref)
{
	return json_pack("{s:s, s:i, s:I}", "job", ref->job, "index",
	    (int)ref->index, "attempt", (json_int_t)ref->attempt);
}

static json_t *
wj_start_to_json(const struct sh_start *s)
{
	json_t *o = wj_ref_to_json(&s->ref);

	json_object_set_new(o, "cpu_mcpu", json_integer(s->need.cpu_mcpu));
	json_object_set_new(o, "mem_bytes", json_integer(s->need.mem_bytes));
	if (s->need.accel > 0)
		json_object_set_new(
		    o, "accelerators", json_integer(s->need.accel));
	if (s->run_us > 0)
		json_object_set_new(o, "run_us", json_integer(s->run_us));
	json_object_set_new(o, "kind", json_string(st_kind_name(s->kind)));
	json_object_set_new(o, "idempotent", json_boolean(s->idempotent));
	return o;
}

char *
wj_build_sync(const char *shard, const struct sh_sync *sync)
{
	json_t *start = json_array();
	json_t *stop = json_array();
	json_t *ack = json_array();
	json_t *o;
	char *text;
	uint32_t i;

	for (i = 0; i < sync->start_count; i++)
		json_array_append_new(start, wj_start_to_json(&sync->start[i]));
	for (i = 0; i < sync->stop_count; i++) {
		o = wj_ref_to_json(&sync->stop[i].ref);
		json_object_set_new(
		    o, "checkpoint", json_boolean(sync->stop[i].checkpoint));
		json_array_append_new(stop, o);
	}
	for (i = 0; i < sync->ack_count; i++)
		json_array_append_new(ack, wj_ref_to_json(&sync->ack[i]));
	o = json_pack("{s:s, s:I, s:I, s:I, s:I}", "shard", shard, "epoch",
	    (json_int_t)sync->epoch, "seq", (json_int_t)sync->seq,
	    "lease_generation", (json_int_t)sync->lease_generation,
	    "lease_until_us", (json_int_t)sync->lease_until_us);
	if (sync->want_inventory)
		json_object_set_new(o, "want_inventory", json_true());
	if (sync->start_count > 0)
		json_object_set(o, "start", start);
	if (sync->stop_count > 0)
		json_object_set(o, "stop", stop);
	if (sync->ack_count > 0)
		json_object_set(o, "ack", ack);
	text = json_dumps(o, JSON_COMPACT);
	json_decref(o);
	json_decref(start);
	json_decref(stop);
	json_decref(ack);
	return text;
}

static void
wj_read_ref(struct jf_reader *r, TALLOC_CTX *ctx, struct sh_ref *ref)
{
	ref->job = talloc_strdup(ctx, jf_string(r, "job", true));
	ref->index = (uint32_t)jf_integer(r, "index", 0, 0, UINT32_MAX);
	ref->attempt = (uint64_t)jf_integer(r, "attempt", 0, 0, INT64_MAX);
}

static size_t
wj_read_refs(struct jf_reader *r, TALLOC_CTX *ctx, const char *field,
    struct sh_ref **refs)
{
	json_t *list = jf_array(r, field, false);
	size_t n = json_array_size(list);
	size_t i;

	*refs = talloc_zero_array(ctx, struct sh_ref, (unsigned)n + 1);
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(&child, r, json_array_get(list, i), field, (int)i);
		wj_read_ref(&child, ctx, &(*refs)[i]);
	}
	return jf_failed(r) ? 0 : n;
}

static enum st_result
wj_read_result(struct jf_reader *r)
{
	const char *text = jf_string(r, "result", true);
	int i;

	for (i = ST_RESULT_DONE; text != NULL && i <= ST_RESULT_CANCELLED;
	     i++) {
		if (strcmp(text, st_result_name((enum st_result)i)) == 0)
			return (enum st_result)i;
	}
	jf_fail(r, "result", "must be done, failed or cancelled");
	return ST_RESULT_NONE;
}

static void
wj_read_ended(struct jf_reader *r, TALLOC_CTX *ctx, struct sh_sync_reply *reply)
{
	json_t *list = jf_array(r, "ended", false);
	size_t n = json_array_size(list);
	size_t i;

	reply->ended = talloc_zero_array(ctx, struct sh_ended, (unsigned)n + 1);
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct jf_reader child;

		jf_child(&child, r, json_array_get(list, i), "ended", (int)i);
		wj_read_ref(&child, ctx, &reply->ended[i].ref);
		reply->ended[i].result = wj_read_result(&child);
	}
	reply->ended_count = jf_failed(r) ? 0 : n;
}

static void
wj_read_usage(struct jf_reader *r, TALLOC_CTX *ctx, struct sh_sync_reply *reply)
{
	json_t *list = jf_array(r, "usage", false);
	size_t n = json_array_size(list);
	size_t i;

	reply->usage = talloc_zero_array(ctx, struct sh_usage, (unsigned)n + 1);
	for (i = 0; i < n && !jf_failed(r); i++) {
		struct sh_usage *u = &reply->usage[i];
		struct jf_reader child;

		jf_child(&child, r, json_array_get(list, i), "usage", (int)i);
		wj_read_ref(&child, ctx, &u->ref);
		u->used.cpu_mcpu =
		    jf_integer(&child, "cpu_mcpu", 0, 0, INT32_MAX);
		u->used.mem_bytes =
		    jf_integer(&child, "mem_bytes", 0, 0, INT64_MAX);
	}
	reply->usage_count = jf_failed(r) ? 0 : n;
}

bool
wj_parse_sync_reply(TALLOC_CTX *ctx, const char *body, size_t body_bytes,
    struct sh_sync_reply *reply, char *error)
{
	struct jf_reader r;
	json_t *value;

	memset(reply, 0, sizeof(*reply));
	value = jf_parse(body, body_bytes, error);
	if (value == NULL)
		return false;
	jf_begin(&r, value, error);
	reply->fenced_by =
	    (uint64_t)jf_integer(&r, "fenced_by", 0, 0, INT64_MAX);
	reply->newest_outcome =
	    (uint64_t)jf_integer(&r, "news", 0, 0, INT64_MAX);
	reply->clock_us = jf_integer(&r, "clock_us", 0, 0, INT64_MAX);
	reply->lease_generation =
	    (uint64_t)jf_integer(&r, "lease_generation", 0, 0, INT64_MAX);
	reply->has_inventory = json_object_get(value, "running") != NULL;
	reply->running_count =
	    wj_read_refs(&r, ctx, "running", &reply->running);
	reply->started_count =
	    wj_read_refs(&r, ctx, "started", &reply->started);
	reply->refused_count =
	    wj_read_refs(&r, ctx, "refused", &reply->refused);
	wj_read_ended(&r, ctx, reply);
	wj_read_usage(&r, ctx, reply);
	/* Without jf_end(): newer workers may send keys not known here. */
	json_decref(value);
	return !jf_failed(&r);
}
