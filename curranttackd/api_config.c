#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/api.h"
#include "protocol/config_json.h"
#include "protocol/json_fields.h"

#define AC_PUT_TIMEOUT_US (8 * CLK_US_PER_S)
#define AC_RETRY_DELAY_US (100 * CLK_US_PER_MS)
#define AC_MAX_HISTORY_ENTRIES 20

/**
 * struct config_op - a change of an area, or a read of its history
 * @frontend: frontend that received the request
 * @req: request to respond to
 * @area: area of the configuration
 * @key: key in the store
 * @if_revision: revision that the change replaces; 0 for the first document
 * @body: new document, or the history read; @body_bytes long
 * @deadline_us: no new attempt after this time
 * @status: HTTP status once it has ended
 * @revision: revision written, or found in a conflict
 */
struct config_op {
	struct frontend *frontend;
	struct hs_request *req;
	enum cf_area area;
	char key[DM_KEY_BYTES];
	uint64_t if_revision;
	uint8_t *body;
	size_t body_bytes;
	int64_t deadline_us;
	int status;
	uint64_t revision;
	char *history;
	uint64_t history_revision;
};

static void ac_write(void *arg);

static struct config_op *
ac_create_op(struct frontend *f, struct hs_request *req, const char *prefix,
    enum cf_area area)
{
	struct config_op *op = talloc_zero(NULL, struct config_op);

	if (op == NULL)
		abort();
	op->frontend = f;
	op->req = req;
	op->area = area;
	snprintf(op->key, sizeof(op->key), "%s/%s", prefix, cf_area_name(area));
	return op;
}

void
api_config_get(struct frontend *f, struct hs_request *req, const char *suffix)
{
	const struct cf_doc *doc;
	char error[JF_ERROR_BYTES];
	enum cf_area area;
	json_t *body;

	if (!cf_area_parse(suffix, &area)) {
		fr_respond_error(req, 404, "no such area of the configuration");
		return;
	}
	pthread_mutex_lock(&f->d->config_lock);
	doc = &f->d->config->doc[area];
	body = json_pack("{s:s, s:I}", "area", cf_area_name(area), "revision",
	    (json_int_t)doc->revision);
	if (doc->revision > 0)
		json_object_set_new(body, "document",
		    jf_parse(doc->body, doc->body_bytes, error));
	pthread_mutex_unlock(&f->d->config_lock);
	fr_respond_json(req, 200, body);
}

static void
ac_respond(void *arg)
{
	struct config_op *op = arg;

	if (op->status == 200)
		fr_respond_json(op->req, 200,
		    json_pack("{s:s, s:s, s:I}", "outcome", "done", "area",
			cf_area_name(op->area), "revision",
			(json_int_t)op->revision));
	else if (op->status == 409)
		fr_respond_json(op->req, 409,
		    json_pack("{s:s, s:s, s:I}", "outcome", "not_run", "reason",
			"another operator has changed this area meanwhile",
			"revision", (json_int_t)op->revision));
	else if (op->status == 404)
		fr_respond_error(op->req, 404, "no history yet");
	else
		fr_respond_outcome(op->req, 504, ST_UNKNOWN,
		    "the store has not confirmed the change; look at the "
		    "area before trying again",
		    0);
	talloc_free(op);
}

static void
ac_finish(struct config_op *op, int status)
{
	op->status = status;
	loop_post(op->frontend->loop, ac_respond, op);
}

static void
ac_on_history_written(const struct kv_response *a, void *arg)
{
	struct config_op *op = arg;

	/* The document is in effect even if its history is not. */
	if (a->result != KV_OK)
		lg_event(LG_WARN, "config", "history_not_written", "area",
		    cf_area_name(op->area), NULL);
	ac_finish(op, 200);
}

static json_t *
ac_create_history_entry(const struct config_op *op)
{
	char error[JF_ERROR_BYTES];

	return json_pack("{s:I, s:I, s:s, s:o}", "revision",
	    (json_int_t)op->revision, "written_wall_us",
	    (json_int_t)clk_wall_us(), "vm", op->frontend->d->settings->vm,
	    "document", jf_parse(op->body, op->body_bytes, error));
}

static void
ac_on_history_read(const struct kv_response *a, void *arg)
{
	struct config_op *op = arg;
	struct daemon *d = op->frontend->d;
	char error[JF_ERROR_BYTES];
	char key[DM_KEY_BYTES];
	struct kv_put put = {0};
	json_t *list = NULL;
	char *text;

	if (a->result == KV_OK)
		list = jf_parse(a->value, a->value_bytes, error);
	if (!json_is_array(list)) {
		json_decref(list);
		list = json_array();
	}
	json_array_append_new(list, ac_create_history_entry(op));
	while (json_array_size(list) > AC_MAX_HISTORY_ENTRIES)
		json_array_remove(list, 0);
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	snprintf(key, sizeof(key), "history/%s", cf_area_name(op->area));
	put.key = key;
	put.value = (const uint8_t *)text;
	put.value_bytes = strlen(text);
	put.mode = a->result == KV_OK ? KV_CAS : KV_CREATE;
	put.if_revision = a->revision;
	d->kv_ops->put(d->kv, &put, ac_on_history_written, op);
	free(text);
}

static void
ac_on_written(struct config_op *op, uint64_t revision)
{
	struct daemon *d = op->frontend->d;
	char key[DM_KEY_BYTES];

	op->revision = revision;
	cw_apply(d, op->area, revision, op->body, op->body_bytes);
	snprintf(key, sizeof(key), "history/%s", cf_area_name(op->area));
	d->kv_ops->get(d->kv, key, ac_on_history_read, op);
}

static void
ac_retry(struct config_op *op)
{
	if (clk_now_us() >= op->deadline_us) {
		ac_finish(op, 504);
		return;
	}
	loop_after(
	    op->frontend->d->control_loop, AC_RETRY_DELAY_US, ac_write, op);
}

/* The write may have taken effect; the value in the store tells. */
static void
ac_on_read_back(const struct kv_response *a, void *arg)
{
	struct config_op *op = arg;
	uint64_t current_revision = a->result == KV_OK ? a->revision : 0;

	if (a->result == KV_UNAVAILABLE ||
	    current_revision == op->if_revision) {
		ac_retry(op);
		return;
	}
	if (a->result == KV_OK && a->value_bytes == op->body_bytes &&
	    memcmp(a->value, op->body, op->body_bytes) == 0) {
		ac_on_written(op, a->revision);
		return;
	}
	op->revision = current_revision;
	ac_finish(op, 409);
}

static void
ac_on_put(const struct kv_response *a, void *arg)
{
	struct config_op *op = arg;
	struct daemon *d = op->frontend->d;

	if (a->result == KV_OK)
		ac_on_written(op, a->revision);
	else
		d->kv_ops->get(d->kv, op->key, ac_on_read_back, op);
}

static void
ac_write(void *arg)
{
	struct config_op *op = arg;
	struct daemon *d = op->frontend->d;
	struct kv_put put = {0};

	put.key = op->key;
	put.value = op->body;
	put.value_bytes = op->body_bytes;
	put.mode = op->if_revision == 0 ? KV_CREATE : KV_CAS;
	put.if_revision = op->if_revision;
	d->kv_ops->put(d->kv, &put, ac_on_put, op);
}

static bool
ac_validate(enum cf_area area, struct hs_request *req, char *error)
{
	struct cf_config *scratch = cf_create(NULL);
	bool ok;

	ok = cj_parse(
	    scratch, area, (const uint8_t *)req->body, req->body_bytes, error);
	talloc_free(scratch);
	return ok;
}

void
api_config_put(struct frontend *f, struct hs_request *req, const char *suffix)
{
	const char *if_revision = hs_query(req, "if_revision");
	char error[CF_ERROR_BYTES];
	struct config_op *op;
	enum cf_area area;

	if (!cf_area_parse(suffix, &area)) {
		fr_respond_error(req, 404, "no such area of the configuration");
		return;
	}
	if (if_revision == NULL) {
		fr_respond_error(req, 400, "if_revision: is missing");
		return;
	}
	if (!ac_validate(area, req, error)) {
		fr_respond_error(req, 400, error);
		return;
	}
	op = ac_create_op(f, req, "config", area);
	op->if_revision = strtoull(if_revision, NULL, 10);
	op->body = talloc_memdup(op, req->body, req->body_bytes);
	op->body_bytes = req->body_bytes;
	op->deadline_us = clk_now_us() + AC_PUT_TIMEOUT_US;
	loop_post(f->d->control_loop, ac_write, op);
}

static void
ac_respond_history(void *arg)
{
	struct config_op *op = arg;

	if (op->status == 200)
		hs_respond(op->req, 200, "application/json", op->body,
		    op->body_bytes, NULL, 0);
	else
		fr_respond_outcome(op->req, 503, ST_NOT_RUN,
		    "the store cannot be read at present", 1000);
	talloc_free(op);
}

static void
ac_on_history_fetched(const struct kv_response *a, void *arg)
{
	struct config_op *op = arg;

	op->status = a->result == KV_UNAVAILABLE ? 503 : 200;
	if (a->result == KV_OK) {
		op->body = talloc_memdup(op, a->value, a->value_bytes);
		op->body_bytes = a->value_bytes;
	} else {
		op->body = (uint8_t *)talloc_strdup(op, "[]");
		op->body_bytes = 2;
	}
	loop_post(op->frontend->loop, ac_respond_history, op);
}

static void
ac_fetch_history(void *arg)
{
	struct config_op *op = arg;

	op->frontend->d->kv_ops->get(
	    op->frontend->d->kv, op->key, ac_on_history_fetched, op);
}

void
api_config_history(
    struct frontend *f, struct hs_request *req, const char *suffix)
{
	struct config_op *op;
	enum cf_area area;

	if (!cf_area_parse(suffix, &area)) {
		fr_respond_error(req, 404, "no such area of the configuration");
		return;
	}
	op = ac_create_op(f, req, "history", area);
	loop_post(f->d->control_loop, ac_fetch_history, op);
}
