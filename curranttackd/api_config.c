#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "common/log.h"
#include "curranttackd/front.h"
#include "protocol/config_json.h"
#include "protocol/json_fields.h"

#define AC_DEADLINE_US (8 * CLK_US_PER_S)
#define AC_RETRY_US (100 * CLK_US_PER_MS)
#define AC_HISTORY_LENGTH 20

/**
 * struct config_put - a document on its way into the store
 * @status: HTTP status once it has ended
 * @revision: revision written, or found in a conflict
 */
struct config_put {
	struct frontend *front;
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

static void ac_try(void *arg);

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
ac_answer(void *arg)
{
	struct config_put *p = arg;

	if (p->status == 200)
		fr_respond_json(p->req, 200,
		    json_pack("{s:s, s:s, s:I}", "outcome", "done", "area",
			cf_area_name(p->area), "revision",
			(json_int_t)p->revision));
	else if (p->status == 409)
		fr_respond_json(p->req, 409,
		    json_pack("{s:s, s:s, s:I}", "outcome", "not_run", "reason",
			"another operator has changed this area meanwhile",
			"revision", (json_int_t)p->revision));
	else if (p->status == 404)
		fr_respond_error(p->req, 404, "no history yet");
	else
		fr_respond_outcome(p->req, 504, ST_UNKNOWN,
		    "the store has not confirmed the change; look at the "
		    "area before trying again",
		    0);
	talloc_free(p);
}

static void
ac_end(struct config_put *p, int status)
{
	p->status = status;
	loop_post(p->front->loop, ac_answer, p);
}

static void
ac_history_done(const struct kv_response *a, void *arg)
{
	struct config_put *p = arg;

	/* History is for people; the document itself is in force. */
	if (a->result != KV_OK)
		lg_event(LG_WARN, "config", "history_not_written", "area",
		    cf_area_name(p->area), NULL);
	ac_end(p, 200);
}

static json_t *
ac_history_entry(const struct config_put *p)
{
	char error[JF_ERROR_BYTES];

	return json_pack("{s:I, s:I, s:s, s:o}", "revision",
	    (json_int_t)p->revision, "written_wall_us",
	    (json_int_t)clk_wall_us(), "vm", p->front->d->settings->vm,
	    "document", jf_parse(p->body, p->body_bytes, error));
}

static void
ac_history_read(const struct kv_response *a, void *arg)
{
	struct config_put *p = arg;
	struct daemon *d = p->front->d;
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
	json_array_append_new(list, ac_history_entry(p));
	while (json_array_size(list) > AC_HISTORY_LENGTH)
		json_array_remove(list, 0);
	text = json_dumps(list, JSON_COMPACT);
	json_decref(list);
	snprintf(key, sizeof(key), "history/%s", cf_area_name(p->area));
	put.key = key;
	put.value = (const uint8_t *)text;
	put.value_bytes = strlen(text);
	put.mode = a->result == KV_OK ? KV_CAS : KV_CREATE;
	put.if_revision = a->revision;
	d->kv_ops->put(d->kv, &put, ac_history_done, p);
	free(text);
}

static void
ac_written(struct config_put *p, uint64_t revision)
{
	struct daemon *d = p->front->d;
	char key[DM_KEY_BYTES];

	p->revision = revision;
	cw_apply(d, p->area, revision, p->body, p->body_bytes);
	snprintf(key, sizeof(key), "history/%s", cf_area_name(p->area));
	d->kv_ops->get(d->kv, key, ac_history_read, p);
}

static void
ac_retry(struct config_put *p)
{
	if (clk_now_us() >= p->deadline_us) {
		ac_end(p, 504);
		return;
	}
	loop_after(p->front->d->control_loop, AC_RETRY_US, ac_try, p);
}

/* After a lost answer the value tells whether our write won. */
static void
ac_read_back(const struct kv_response *a, void *arg)
{
	struct config_put *p = arg;
	uint64_t found = a->result == KV_OK ? a->revision : 0;

	if (a->result == KV_UNAVAILABLE || found == p->if_revision) {
		ac_retry(p);
		return;
	}
	if (a->result == KV_OK && a->value_bytes == p->body_bytes &&
	    memcmp(a->value, p->body, p->body_bytes) == 0) {
		ac_written(p, a->revision);
		return;
	}
	p->revision = found;
	ac_end(p, 409);
}

static void
ac_on_put(const struct kv_response *a, void *arg)
{
	struct config_put *p = arg;
	struct daemon *d = p->front->d;

	if (a->result == KV_OK)
		ac_written(p, a->revision);
	else
		d->kv_ops->get(d->kv, p->key, ac_read_back, p);
}

static void
ac_try(void *arg)
{
	struct config_put *p = arg;
	struct daemon *d = p->front->d;
	struct kv_put put = {0};

	put.key = p->key;
	put.value = p->body;
	put.value_bytes = p->body_bytes;
	put.mode = p->if_revision == 0 ? KV_CREATE : KV_CAS;
	put.if_revision = p->if_revision;
	d->kv_ops->put(d->kv, &put, ac_on_put, p);
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
	const char *text = hs_query(req, "if_revision");
	char error[CF_ERROR_BYTES];
	struct config_put *p;
	enum cf_area area;

	if (!cf_area_parse(suffix, &area)) {
		fr_respond_error(req, 404, "no such area of the configuration");
		return;
	}
	if (text == NULL) {
		fr_respond_error(req, 400, "if_revision: is missing");
		return;
	}
	if (!ac_validate(area, req, error)) {
		fr_respond_error(req, 400, error);
		return;
	}
	p = talloc_zero(NULL, struct config_put);
	if (p == NULL)
		abort();
	p->front = f;
	p->req = req;
	p->area = area;
	snprintf(p->key, sizeof(p->key), "config/%s", cf_area_name(area));
	p->if_revision = strtoull(text, NULL, 10);
	p->body = talloc_memdup(p, req->body, req->body_bytes);
	p->body_bytes = req->body_bytes;
	p->deadline_us = clk_now_us() + AC_DEADLINE_US;
	loop_post(f->d->control_loop, ac_try, p);
}

static void
ac_answer_history(void *arg)
{
	struct config_put *p = arg;

	if (p->status == 200)
		hs_respond(p->req, 200, "application/json", p->body,
		    p->body_bytes, NULL, 0);
	else
		fr_respond_outcome(p->req, 503, ST_NOT_RUN,
		    "the store cannot be read at present", 1000);
	talloc_free(p);
}

static void
ac_on_history(const struct kv_response *a, void *arg)
{
	struct config_put *p = arg;

	p->status = a->result == KV_UNAVAILABLE ? 503 : 200;
	if (a->result == KV_OK) {
		p->body = talloc_memdup(p, a->value, a->value_bytes);
		p->body_bytes = a->value_bytes;
	} else {
		p->body = (uint8_t *)talloc_strdup(p, "[]");
		p->body_bytes = 2;
	}
	loop_post(p->front->loop, ac_answer_history, p);
}

static void
ac_get_history(void *arg)
{
	struct config_put *p = arg;

	p->front->d->kv_ops->get(p->front->d->kv, p->key, ac_on_history, p);
}

void
api_config_history(
    struct frontend *f, struct hs_request *req, const char *suffix)
{
	struct config_put *p;
	enum cf_area area;

	if (!cf_area_parse(suffix, &area)) {
		fr_respond_error(req, 404, "no such area of the configuration");
		return;
	}
	p = talloc_zero(NULL, struct config_put);
	if (p == NULL)
		abort();
	p->front = f;
	p->req = req;
	snprintf(p->key, sizeof(p->key), "history/%s", cf_area_name(area));
	loop_post(f->d->control_loop, ac_get_history, p);
}
