/*
 * Stand-in for the endpoints of a service. Arguments: number of endpoints,
 * service time in microseconds. Counts how often each request and each
 * idempotency key was executed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

#include "common/clock.h"
#include "standin.h"

#define SLOTS 8
#define KEY_BYTES 192

struct execution {
	char key[KEY_BYTES];
	uint32_t count;
	UT_hash_handle hh;
};

struct pending {
	struct endpoint *endpoint;
	struct hs_request *req;
	bool cut;
};

struct endpoint {
	struct site *site;
	char address[64];
	uint32_t active;
	uint32_t most_active;
	uint64_t executed;
	uint64_t refused;
	int64_t service_us;
	bool refuse;
	bool cut;
	bool hang;
	int64_t drops; /* requests to run without a response */
};

struct site {
	struct loop *loop;
	struct endpoint *endpoint;
	int count;
	struct execution *by_key;
	uint64_t doubled;
	uint64_t over_slots;
};

static void
count_execution(struct site *s, const char *kind, const char *key)
{
	struct execution *x;
	char text[KEY_BYTES];

	if (key == NULL)
		return;
	snprintf(text, sizeof(text), "%s %s", kind, key);
	HASH_FIND_STR(s->by_key, text, x);
	if (x == NULL) {
		x = calloc(1, sizeof(*x));
		memcpy(x->key, text, sizeof(text));
		HASH_ADD_STR(s->by_key, key, x);
	}
	if (++x->count > 1 && strcmp(kind, "key") == 0) {
		s->doubled++;
		fprintf(stderr, "VIOLATION doubled key=%s\n", key);
	}
}

static void
finish(void *arg)
{
	struct pending *p = arg;
	struct hs_header h = {
	    "X-Request-Id", hs_header(p->req, "X-Request-Id")};
	char *answer;
	int n;

	p->endpoint->active--;
	n = asprintf(
	    &answer, "answer to %.*s", (int)p->req->body_bytes, p->req->body);
	if (p->cut)
		hs_abort(p->req, answer, (size_t)n / 2, (size_t)n);
	else
		hs_respond(p->req, 200, "text/plain", answer, (size_t)n, &h, 1);
	free(answer);
	free(p);
}

static void
handle_run(struct endpoint *e, struct hs_request *req)
{
	struct hs_header not_run = {"X-Not-Run", "1"};
	struct pending *p;

	if (e->refuse || e->active >= SLOTS) {
		e->refused++;
		hs_respond(req, 503, "text/plain", "busy", 4, &not_run, 1);
		return;
	}
	e->active++;
	e->executed++;
	if (e->active > e->most_active)
		e->most_active = e->active;
	count_execution(e->site, "key", hs_header(req, "Idempotency-Key"));
	count_execution(e->site, "id", hs_header(req, "X-Request-Id"));
	if (e->drops > 0) {
		e->drops--;
		e->active--;
		hs_cut(req, false);
		hs_respond(req, 503, "text/plain", "cut", 3, NULL, 0);
		return;
	}
	p = calloc(1, sizeof(*p));
	p->endpoint = e;
	p->req = req;
	p->cut = e->cut;
	if (e->hang)
		return;
	loop_after(e->site->loop, e->service_us, finish, p);
}

static void
handle_behaviour(struct endpoint *e, struct hs_request *req)
{
	json_t *body = standin_body(req);
	json_t *value;

	if (body == NULL)
		return;
	if ((value = json_object_get(body, "refuse")) != NULL)
		e->refuse = json_is_true(value);
	if ((value = json_object_get(body, "cut")) != NULL)
		e->cut = json_is_true(value);
	if ((value = json_object_get(body, "hang")) != NULL)
		e->hang = json_is_true(value);
	if ((value = json_object_get(body, "drops")) != NULL)
		e->drops = json_integer_value(value);
	if ((value = json_object_get(body, "service_us")) != NULL)
		e->service_us = json_integer_value(value);
	json_decref(body);
	standin_reply(req, 200, "ok");
}

static void
handle_report(struct site *s, struct hs_request *req)
{
	json_t *list = json_array();
	uint64_t executed = 0;
	int i;

	for (i = 0; i < s->count; i++) {
		executed += s->endpoint[i].executed;
		json_array_append_new(list,
		    json_pack("{s:I, s:I, s:i}", "executed",
			(json_int_t)s->endpoint[i].executed, "refused",
			(json_int_t)s->endpoint[i].refused, "most_active",
			(int)s->endpoint[i].most_active));
	}
	standin_reply_json(req, 200,
	    json_pack("{s:I, s:I, s:o}", "executed", (json_int_t)executed,
		"doubled", (json_int_t)s->doubled, "endpoints", list));
}

static void
handle_count(struct site *s, struct hs_request *req)
{
	struct execution *x = NULL;
	const char *key = hs_query(req, "key");

	if (key != NULL)
		HASH_FIND_STR(s->by_key, key, x);
	standin_reply_json(req, 200,
	    json_pack("{s:i}", "count", x != NULL ? (int)x->count : 0));
}

static void
on_request(struct hs_request *req, void *arg)
{
	struct endpoint *e = arg;

	if (strcmp(req->path, "/run") == 0)
		handle_run(e, req);
	else if (strcmp(req->path, "/_behaviour") == 0)
		handle_behaviour(e, req);
	else if (strcmp(req->path, "/_count") == 0)
		handle_count(e->site, req);
	else
		handle_report(e->site, req);
}

int
main(int argc, char **argv)
{
	struct site s = {0};
	char *addresses;
	size_t at = 0;
	int i;

	s.count = argc > 1 ? atoi(argv[1]) : 1;
	s.endpoint = calloc((size_t)s.count, sizeof(*s.endpoint));
	addresses = calloc((size_t)s.count, 80);
	s.loop = loop_create(NULL);
	for (i = 0; i < s.count; i++) {
		struct endpoint *e = &s.endpoint[i];

		e->site = &s;
		e->service_us = argc > 2 ? strtoll(argv[2], NULL, 10) : 5000;
		standin_serve(s.loop, e->address, on_request, e);
		at += (size_t)sprintf(
		    addresses + at, "%s%s", i > 0 ? " " : "", e->address);
	}
	standin_run(s.loop, addresses);
	return 0;
}
