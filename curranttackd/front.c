#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/log.h"
#include "common/token.h"
#include "curranttackd/front.h"

#define FR_RETRY_AFTER_BYTES 16
#define FR_RETRY_AFTER_MS 1000

void
fr_respond_json(struct hs_request *req, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	hs_respond(
	    req, status, "application/json", text, strlen(text), NULL, 0);
	free(text);
	json_decref(body);
}

void
fr_respond_outcome(struct hs_request *req, int status, enum st_outcome outcome,
    const char *reason, uint32_t retry_after_ms)
{
	char seconds[FR_RETRY_AFTER_BYTES];
	struct hs_header headers[2] = {
	    {"X-Outcome", st_outcome_name(outcome)}, {"Retry-After", NULL}};
	json_t *body;
	char *text;

	body = json_pack("{s:s, s:s}", "outcome", st_outcome_name(outcome),
	    "reason", reason != NULL ? reason : "");
	if (retry_after_ms > 0) {
		json_object_set_new(
		    body, "retry_after_ms", json_integer(retry_after_ms));
		snprintf(seconds, sizeof(seconds), "%u",
		    (retry_after_ms + 999) / 1000);
		headers[1].value = seconds;
	}
	text = json_dumps(body, JSON_COMPACT);
	hs_respond(
	    req, status, "application/json", text, strlen(text), headers, 2);
	free(text);
	json_decref(body);
}

void
fr_respond_error(struct hs_request *req, int status, const char *reason)
{
	fr_respond_outcome(req, status, ST_NOT_RUN, reason, 0);
}

static bool
fr_authorized(struct hs_request *req, const char *token)
{
	const char *authorization;

	if (token == NULL || strcmp(req->path, "/ready") == 0)
		return true;
	authorization = hs_header(req, "Authorization");
	if (authorization == NULL || strncmp(authorization, "Bearer ", 7) != 0)
		return false;
	return tk_equal(token, authorization + 7);
}

/* Whoever serves it may still do so; only reads are sure to have no effect. */
static void
fr_answer_overdue(void *arg)
{
	struct hs_request *req = arg;
	bool is_read = strcmp(req->method, "GET") == 0;

	hs_drop_next(req);
	if (is_read)
		fr_respond_outcome(req, 503, ST_NOT_RUN,
		    "this daemon is about to end", FR_RETRY_AFTER_MS);
	else
		fr_respond_outcome(req, 504, ST_UNKNOWN,
		    "this daemon is about to end, and it may have run", 0);
}

static void
fr_dispatch(struct frontend *f, struct hs_request *req,
    const struct fr_route *routes, const char *token)
{
	const struct fr_route *r;
	bool path_found = false;
	size_t len;

	req->overdue = fr_answer_overdue;
	req->overdue_arg = req;
	if (!fr_authorized(req, token)) {
		fr_respond_error(
		    req, 401, "the bearer token is missing or wrong");
		return;
	}
	for (r = routes; r->method != NULL; r++) {
		len = strlen(r->prefix);
		if (r->prefix[len - 1] == '/'
			? strncmp(req->path, r->prefix, len) != 0
			: strcmp(req->path, r->prefix) != 0)
			continue;
		path_found = true;
		if (strcmp(req->method, r->method) != 0)
			continue;
		r->handler(f, req, req->path + len);
		return;
	}
	if (path_found)
		fr_respond_error(req, 405, "this method is not allowed here");
	else
		fr_respond_error(req, 404, "no such path");
}

static void
fr_on_caller(struct hs_request *req, void *arg)
{
	struct frontend *f = arg;

	fr_dispatch(f, req, f->routes->callers, f->d->settings->caller_token);
}

static void
fr_on_operator(struct hs_request *req, void *arg)
{
	struct frontend *f = arg;

	fr_dispatch(
	    f, req, f->routes->operators, f->d->settings->operator_token);
}

static int
fr_init_frontend(struct frontend *f, int callers_fd, int operators_fd)
{
	const struct settings *s = f->d->settings;
	struct hs_limits limits = {
	    s->max_body_bytes, s->max_connections, s->idle_timeout_s};

	f->loop = loop_create(NULL);
	if (f->loop == NULL)
		return -1;
	f->http = hc_create(f->loop, f->loop, 0);
	f->callers =
	    hs_create(f->loop, f->loop, callers_fd, &limits, fr_on_caller, f);
	f->operators = hs_create(
	    f->loop, f->loop, operators_fd, &limits, fr_on_operator, f);
	if (f->http == NULL || f->callers == NULL || f->operators == NULL)
		return -1;
	return 0;
}

int
fr_create(struct daemon *d, int callers_fd, int operators_fd,
    const struct fr_routes *routes)
{
	uint32_t i;

	d->frontend_count = d->settings->frontend_threads;
	d->frontend = talloc_zero_array(d, struct frontend, d->frontend_count);
	if (d->frontend == NULL)
		return -1;
	for (i = 0; i < d->frontend_count; i++) {
		d->frontend[i].d = d;
		d->frontend[i].index = i;
		d->frontend[i].routes = routes;
		/* An HTTP server closes its socket, so it gets a duplicate. */
		if (fr_init_frontend(&d->frontend[i], dup(callers_fd),
			dup(operators_fd)) == -1)
			return -1;
	}
	close(callers_fd);
	close(operators_fd);
	return 0;
}

int
fr_start(struct daemon *d)
{
	uint32_t i;

	for (i = 0; i < d->frontend_count; i++) {
		if (loop_start(d->frontend[i].loop) == -1)
			return -1;
	}
	return 0;
}

void
fr_get_counts(const struct daemon *d, struct hs_counts *counts)
{
	uint32_t i;

	memset(counts, 0, sizeof(*counts));
	for (i = 0; i < d->frontend_count; i++) {
		hs_add_counts(d->frontend[i].callers, counts);
		hs_add_counts(d->frontend[i].operators, counts);
	}
}

static void
fr_for_each(struct daemon *d, void (*fn)(void *arg))
{
	uint32_t i;

	for (i = 0; i < d->frontend_count; i++)
		loop_post(d->frontend[i].loop, fn, &d->frontend[i]);
}

static void
fr_begin_drain_posted(void *arg)
{
	struct frontend *f = arg;

	hs_begin_drain(f->callers);
	hs_begin_drain(f->operators);
}

void
fr_begin_drain(struct daemon *d)
{
	fr_for_each(d, fr_begin_drain_posted);
}

static void
fr_stop_accepting_posted(void *arg)
{
	struct frontend *f = arg;

	hs_stop_accepting(f->callers);
	hs_stop_accepting(f->operators);
	f->refuses = true;
}

void
fr_stop_accepting(struct daemon *d)
{
	fr_for_each(d, fr_stop_accepting_posted);
}

static void
fr_answer_overdue_posted(void *arg)
{
	struct frontend *f = arg;

	if (f->stopped)
		return;
	hs_answer_overdue(f->callers);
	hs_answer_overdue(f->operators);
}

void
fr_answer_all_overdue(struct daemon *d)
{
	fr_for_each(d, fr_answer_overdue_posted);
}

/* What has arrived by now is served first, so that nothing is cut. */
static void
fr_stop_posted(void *arg)
{
	struct frontend *f = arg;
	struct hs_counts n = {0};

	if (f->stopped)
		return;
	hs_run(f->callers);
	hs_run(f->operators);
	hs_add_counts(f->callers, &n);
	hs_add_counts(f->operators, &n);
	if (n.reading + n.unanswered + n.sending > 0)
		return;
	hs_stop(f->callers);
	hs_stop(f->operators);
	f->stopped = true;
}

void
fr_stop(struct daemon *d)
{
	fr_for_each(d, fr_stop_posted);
}

static bool
fr_all(const struct daemon *d, bool (*is)(const struct frontend *f))
{
	uint32_t i;

	for (i = 0; i < d->frontend_count; i++) {
		if (!is(&d->frontend[i]))
			return false;
	}
	return true;
}

static bool
fr_refuses(const struct frontend *f)
{
	return f->refuses;
}

bool
fr_all_refuse(const struct daemon *d)
{
	return fr_all(d, fr_refuses);
}

static bool
fr_has_stopped(const struct frontend *f)
{
	return f->stopped;
}

bool
fr_all_stopped(const struct daemon *d)
{
	return fr_all(d, fr_has_stopped);
}
