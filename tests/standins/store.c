/*
 * Stand-in for the platform's key-value service: compare-and-swap,
 * create-if-absent, leases, watches, a value limit, rate limits, and faults
 * set through POST /_fault.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "common/clock.h"
#include "standin.h"

#define MAX_VALUE_BYTES ((size_t)1 << 20)
#define TICK_US (5 * CLK_US_PER_MS)
#define MAX_FAULTS 16

struct entry {
	char *key;
	char *value;
	size_t bytes;
	uint64_t revision;
	uint64_t lease;
	UT_hash_handle hh;
};

struct lease {
	uint64_t id;
	int64_t ttl_us;
	int64_t expires_us;
	UT_hash_handle hh;
};

struct watcher {
	struct hs_request *req;
	char *prefix;
	uint64_t after;
	int64_t deadline_us;
	struct watcher *next;
};

enum fault_kind {
	FAULT_DOWN, /* not done, no answer */
	FAULT_LOST, /* done, no answer */
	FAULT_LATE, /* no answer, and done later */
	FAULT_SLOW, /* done and answered later */
};

struct fault {
	enum fault_kind kind;
	char method[8];
	char match[64];
	int64_t count;
	int64_t delay_us;
};

struct bucket {
	int64_t per_s;
	int64_t tokens;
	int64_t at_us;
};

struct delayed {
	int64_t at_us;
	struct hs_request *req;
	char *method;
	char *key;
	char *value;
	size_t bytes;
	bool create;
	uint64_t if_revision;
	uint64_t lease;
	struct delayed *next;
};

struct store {
	struct loop *loop;
	struct entry *entries;
	struct lease *leases;
	struct watcher *watchers;
	struct delayed *delayed;
	struct fault fault[MAX_FAULTS];
	uint32_t fault_count;
	struct bucket reads;
	struct bucket writes;
	uint64_t revision;
	uint64_t next_lease;
	uint64_t total_reads;
	uint64_t total_writes;
};

static bool
bucket_take(struct bucket *b)
{
	int64_t now_us = clk_now_us();

	if (b->per_s == 0)
		return true;
	b->tokens += (now_us - b->at_us) * b->per_s;
	b->at_us = now_us;
	if (b->tokens > b->per_s * CLK_US_PER_S)
		b->tokens = b->per_s * CLK_US_PER_S;
	if (b->tokens < CLK_US_PER_S)
		return false;
	b->tokens -= CLK_US_PER_S;
	return true;
}

static void
reply_revision(struct hs_request *req, int status, uint64_t revision,
    const char *body, size_t bytes)
{
	char text[32];
	struct hs_header h = {"X-Revision", text};

	snprintf(text, sizeof(text), "%" PRIu64, revision);
	hs_respond(req, status, "application/octet-stream", body, bytes, &h, 1);
}

static struct entry *
find_entry(struct store *st, const char *key)
{
	struct entry *e;

	HASH_FIND_STR(st->entries, key, e);
	return e;
}

static void
answer_watch(struct store *st, struct watcher *w)
{
	json_t *changes = json_array();
	struct entry *e;
	char *text;
	json_t *o;

	for (e = st->entries; e != NULL; e = e->hh.next) {
		if (strncmp(e->key, w->prefix, strlen(w->prefix)) != 0 ||
		    e->revision <= w->after)
			continue;
		json_array_append_new(changes,
		    json_pack("{s:s, s:I, s:o}", "key", e->key, "revision",
			(json_int_t)e->revision, "value",
			json_stringn_nocheck(e->value, e->bytes)));
	}
	o = json_pack("{s:I, s:o}", "revision", (json_int_t)st->revision,
	    "changes", changes);
	text = json_dumps(o, JSON_COMPACT);
	reply_revision(w->req, 200, st->revision, text, strlen(text));
	free(text);
	json_decref(o);
}

static void
notify(struct store *st, const char *key)
{
	struct watcher *w;
	struct watcher *next;

	LL_FOREACH_SAFE(st->watchers, w, next) {
		if (strncmp(key, w->prefix, strlen(w->prefix)) != 0)
			continue;
		LL_DELETE(st->watchers, w);
		answer_watch(st, w);
		free(w->prefix);
		free(w);
	}
}

/* Returns the HTTP status; 200 sets *revision. */
static int
do_put(struct store *st, const char *key, const char *value, size_t bytes,
    bool create, uint64_t if_revision, uint64_t lease, uint64_t *revision)
{
	struct entry *e = find_entry(st, key);
	struct lease *l;

	if (bytes > MAX_VALUE_BYTES)
		return 413;
	if (lease != 0) {
		HASH_FIND(hh, st->leases, &lease, sizeof(lease), l);
		if (l == NULL)
			return 412;
	}
	*revision = e != NULL ? e->revision : 0;
	if (create && e != NULL)
		return 409;
	if (!create &&
	    (e == NULL ? if_revision != 0 : e->revision != if_revision))
		return 409;
	if (e == NULL) {
		e = calloc(1, sizeof(*e));
		e->key = strdup(key);
		HASH_ADD_KEYPTR(hh, st->entries, e->key, strlen(e->key), e);
	}
	free(e->value);
	e->value = malloc(bytes + 1);
	memcpy(e->value, value, bytes);
	e->bytes = bytes;
	e->lease = lease;
	e->revision = ++st->revision;
	*revision = e->revision;
	notify(st, key);
	return 200;
}

static int
do_delete(struct store *st, const char *key, uint64_t if_revision)
{
	struct entry *e = find_entry(st, key);

	if (e == NULL)
		return 404;
	if (if_revision != 0 && e->revision != if_revision)
		return 409;
	HASH_DEL(st->entries, e);
	st->revision++;
	free(e->key);
	free(e->value);
	free(e);
	return 200;
}

static int
do_write(struct store *st, const struct delayed *d, uint64_t *revision)
{
	if (strcmp(d->method, "PUT") == 0)
		return do_put(st, d->key, d->value, d->bytes, d->create,
		    d->if_revision, d->lease, revision);
	return do_delete(st, d->key, d->if_revision);
}

static void
handle_get(struct store *st, struct hs_request *req, const char *key)
{
	struct entry *e = find_entry(st, key);

	if (e == NULL)
		standin_reply(req, 404, "absent");
	else
		reply_revision(req, 200, e->revision, e->value, e->bytes);
}

static void
handle_lease(struct store *st, struct hs_request *req)
{
	struct lease *l;
	uint64_t id;
	char text[32];
	struct hs_header h = {"X-Lease", text};

	if (strcmp(req->path, "/v1/leases") == 0) {
		l = calloc(1, sizeof(*l));
		l->id = ++st->next_lease;
		l->ttl_us =
		    standin_query_i64(req, "ttl_ms", 3000) * CLK_US_PER_MS;
		HASH_ADD(hh, st->leases, id, sizeof(l->id), l);
	} else {
		id = strtoull(req->path + strlen("/v1/leases/"), NULL, 10);
		HASH_FIND(hh, st->leases, &id, sizeof(id), l);
		if (l == NULL) {
			standin_reply(req, 404, "lapsed");
			return;
		}
	}
	l->expires_us = clk_now_us() + l->ttl_us;
	snprintf(text, sizeof(text), "%" PRIu64, l->id);
	hs_respond(req, 200, "text/plain", "", 0, &h, 1);
}

static void
handle_watch(struct store *st, struct hs_request *req)
{
	const char *prefix = hs_query(req, "prefix");
	struct watcher *w = calloc(1, sizeof(*w));
	struct entry *e;
	bool now = false;

	w->req = req;
	w->prefix = strdup(prefix != NULL ? prefix : "");
	w->after = (uint64_t)standin_query_i64(req, "after", 0);
	w->deadline_us =
	    clk_now_us() + standin_query_i64(req, "wait_ms", 0) * CLK_US_PER_MS;
	for (e = st->entries; e != NULL; e = e->hh.next) {
		if (strncmp(e->key, w->prefix, strlen(w->prefix)) == 0 &&
		    e->revision > w->after)
			now = true;
	}
	if (!now) {
		LL_PREPEND(st->watchers, w);
		return;
	}
	answer_watch(st, w);
	free(w->prefix);
	free(w);
}

static void
handle_fault(struct store *st, struct hs_request *req)
{
	static const char *const kinds[] = {"down", "lost", "late", "slow"};
	json_t *body = standin_body(req);
	const char *kind;
	struct fault *f;
	int i;

	if (body == NULL)
		return;
	kind = json_string_value(json_object_get(body, "kind"));
	for (i = 0; i < 4 && kind != NULL; i++) {
		if (strcmp(kind, kinds[i]) == 0)
			break;
	}
	if (kind == NULL || i == 4 || st->fault_count == MAX_FAULTS) {
		st->fault_count = 0;
	} else {
		f = &st->fault[st->fault_count++];
		memset(f, 0, sizeof(*f));
		f->kind = (enum fault_kind)i;
		f->count = INT64_MAX;
		if (json_object_get(body, "count") != NULL)
			f->count =
			    json_integer_value(json_object_get(body, "count"));
		f->delay_us = CLK_US_PER_MS *
		    json_integer_value(json_object_get(body, "ms"));
		if (json_object_get(body, "match") != NULL)
			snprintf(f->match, sizeof(f->match), "%s",
			    json_string_value(json_object_get(body, "match")));
		if (json_object_get(body, "method") != NULL)
			snprintf(f->method, sizeof(f->method), "%s",
			    json_string_value(json_object_get(body, "method")));
	}
	json_decref(body);
	standin_reply(req, 200, "ok");
}

static struct fault *
find_fault(struct store *st, const struct hs_request *req)
{
	uint32_t i;

	for (i = 0; i < st->fault_count; i++) {
		struct fault *f = &st->fault[i];

		if (f->count <= 0 || strstr(req->path, f->match) == NULL)
			continue;
		if (f->method[0] != '\0' && strcmp(f->method, req->method) != 0)
			continue;
		f->count--;
		return f;
	}
	return NULL;
}

static void
free_delayed(struct delayed *d)
{
	free(d->method);
	free(d->key);
	free(d->value);
	free(d);
}

static struct delayed *
copy_write(struct hs_request *req)
{
	struct delayed *d = calloc(1, sizeof(*d));

	d->method = strdup(req->method);
	d->key = strdup(req->path + strlen("/v1/kv/"));
	d->value = malloc(req->body_bytes + 1);
	memcpy(d->value, req->body, req->body_bytes);
	d->bytes = req->body_bytes;
	d->create = hs_query(req, "create") != NULL;
	d->if_revision = (uint64_t)standin_query_i64(req, "if_revision", 0);
	d->lease = (uint64_t)standin_query_i64(req, "lease", 0);
	return d;
}

static void
answer_write(struct store *st, struct delayed *d)
{
	uint64_t revision = 0;
	int status = do_write(st, d, &revision);

	if (d->req != NULL)
		reply_revision(d->req, status, revision, "", 0);
	free_delayed(d);
}

static void
handle_write(struct store *st, struct hs_request *req, struct fault *f)
{
	struct delayed *d = copy_write(req);
	uint64_t revision;

	if (f == NULL) {
		d->req = req;
		answer_write(st, d);
	} else if (f->kind == FAULT_LOST) {
		do_write(st, d, &revision);
		free_delayed(d);
		hs_abort(req, "", 0, 1);
	} else {
		d->at_us = clk_now_us() + f->delay_us;
		d->req = f->kind == FAULT_SLOW ? req : NULL;
		LL_APPEND(st->delayed, d);
		if (f->kind == FAULT_LATE)
			hs_abort(req, "", 0, 1);
	}
}

static void
handle_stats(struct store *st, struct hs_request *req)
{
	standin_reply_json(req, 200,
	    json_pack("{s:I, s:I, s:I, s:I}", "reads",
		(json_int_t)st->total_reads, "writes",
		(json_int_t)st->total_writes, "revision",
		(json_int_t)st->revision, "keys",
		(json_int_t)HASH_COUNT(st->entries)));
}

static void
handle_keys(struct store *st, struct hs_request *req)
{
	json_t *list = json_array();
	struct entry *e;

	for (e = st->entries; e != NULL; e = e->hh.next)
		json_array_append_new(list, json_string(e->key));
	standin_reply_json(req, 200, list);
}

static void
on_request(struct hs_request *req, void *arg)
{
	struct store *st = arg;
	struct fault *f;
	bool is_write = strcmp(req->method, "GET") != 0;

	if (strcmp(req->path, "/_fault") == 0) {
		handle_fault(st, req);
		return;
	}
	if (strcmp(req->path, "/_stats") == 0) {
		handle_stats(st, req);
		return;
	}
	if (strcmp(req->path, "/_keys") == 0) {
		handle_keys(st, req);
		return;
	}
	*(is_write ? &st->total_writes : &st->total_reads) += 1;
	if (!bucket_take(is_write ? &st->writes : &st->reads)) {
		standin_reply(req, 429, "rate limit");
		return;
	}
	f = find_fault(st, req);
	if (f != NULL && f->kind == FAULT_DOWN) {
		hs_abort(req, "", 0, 1);
		return;
	}
	if (strncmp(req->path, "/v1/leases", 10) == 0)
		handle_lease(st, req);
	else if (strcmp(req->path, "/v1/watch") == 0)
		handle_watch(st, req);
	else if (strncmp(req->path, "/v1/kv/", 7) != 0)
		standin_reply(req, 404, "no such path");
	else if (is_write)
		handle_write(st, req, f);
	else
		handle_get(st, req, req->path + 7);
}

static void
expire_lease(struct store *st, uint64_t id)
{
	struct entry *e;
	struct entry *next;

	HASH_ITER(hh, st->entries, e, next) {
		if (e->lease == id)
			do_delete(st, e->key, 0);
	}
}

static void
on_tick(void *arg)
{
	struct store *st = arg;
	int64_t now_us = clk_now_us();
	struct watcher *w;
	struct watcher *wnext;
	struct lease *l;
	struct lease *lnext;
	struct delayed *d;
	struct delayed *dnext;

	HASH_ITER(hh, st->leases, l, lnext) {
		if (now_us < l->expires_us)
			continue;
		HASH_DEL(st->leases, l);
		expire_lease(st, l->id);
		free(l);
	}
	LL_FOREACH_SAFE(st->delayed, d, dnext) {
		if (now_us < d->at_us)
			continue;
		LL_DELETE(st->delayed, d);
		answer_write(st, d);
	}
	LL_FOREACH_SAFE(st->watchers, w, wnext) {
		if (now_us < w->deadline_us)
			continue;
		LL_DELETE(st->watchers, w);
		answer_watch(st, w);
		free(w->prefix);
		free(w);
	}
}

int
main(int argc, char **argv)
{
	struct store st = {0};
	char address[64];

	if (argc > 1)
		st.writes.per_s = strtoll(argv[1], NULL, 10);
	if (argc > 2)
		st.reads.per_s = strtoll(argv[2], NULL, 10);
	st.loop = loop_create(NULL);
	standin_serve(st.loop, address, on_request, &st);
	loop_every(st.loop, TICK_US, on_tick, &st);
	standin_run(st.loop, address);
	return 0;
}
