#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "curranttackd/cell_calls.h"
#include "curranttackd/cell_calls_internal.h"

#define CC_BODY_BYTES ((size_t)1 << 20)
#define CC_IDLE_S 60

static bool
cc_is_id(const char *text)
{
	return strlen(text) == JB_ID_LENGTH &&
	    strspn(text, "0123456789abcdefABCDEF") == JB_ID_LENGTH;
}

static const struct {
	const char *method;
	void (*handle)(struct cc_frontend *f, struct hs_request *req,
	    const struct qs_queue *queue, const char *id);
} cc_job_methods[] = {
    {"POST", cc_submit},
    {"GET", cc_get},
    {"DELETE", cc_delete},
};

static void
cc_handle_job(struct cc_frontend *f, struct hs_request *req,
    const struct qs_queue *queue, const char *id)
{
	size_t i;

	for (i = 0; i < sizeof(cc_job_methods) / sizeof(cc_job_methods[0]);
	     i++) {
		if (strcmp(req->method, cc_job_methods[i].method) == 0) {
			cc_job_methods[i].handle(f, req, queue, id);
			return;
		}
	}
	cc_respond_error(f, req, 405, "method not allowed");
}

static void
cc_on_caller_request(struct hs_request *req, void *arg)
{
	struct cc_frontend *f = arg;
	const struct qs_config *config = f->c->replica->config;
	const char *host = hs_header(req, "Host");
	const struct qs_queue *queue;
	const char *rest;

	f->pending_count++;
	if (config == NULL || !f->c->replica->synced) {
		f->c->replica->not_ready++;
		lg_event(LG_INFO, "callers", "not_ready", "method", req->method,
		    "path", req->path, "status", "503", NULL);
		cc_respond_error(f, req, 503, "no configuration yet");
		return;
	}
	queue = qs_find(config, host != NULL ? host : "", req->path);
	if (queue == NULL) {
		cc_respond_error(f, req, 404, "no such queue");
		return;
	}
	rest = req->path + strlen(queue->prefix);
	if (*rest == '\0' && strcmp(req->method, "GET") == 0)
		cc_respond_waiting(f, req, queue);
	else if (!cc_is_id(rest))
		cc_respond_error(f, req, 404, "no such job");
	else
		cc_handle_job(f, req, queue, rest);
}

static void
cc_on_ready(struct hs_request *req, void *arg)
{
	struct cc_frontend *f = arg;

	hs_respond(
	    req, cc_is_ready(f->c) ? 200 : 503, "text/plain", "", 0, NULL, 0);
}

static struct http_server *
cc_listen(struct cc_frontend *f, const char *address, hs_handler_fn handler)
{
	struct hs_limits limits = {
	    .max_body_bytes = CC_BODY_BYTES,
	    .max_connections = f->c->settings->max_connections,
	    .idle_s = CC_IDLE_S,
	};
	char bound[64];
	int fd = hs_listen(address, bound, sizeof(bound));

	if (fd == -1) {
		lg_event(LG_ERROR, "callers", "cannot_listen", "address",
		    address, NULL);
		return NULL;
	}
	return hs_create(f, f->c->loop, fd, &limits, handler, f);
}

struct cc_frontend *
cc_create(struct cell *c)
{
	struct cc_frontend *f = talloc_zero(c, struct cc_frontend);

	if (f == NULL)
		abort();
	f->c = c;
	f->attempts = at_create(f);
	f->callers =
	    cc_listen(f, c->settings->callers_address, cc_on_caller_request);
	f->ready = cc_listen(f, c->settings->ready_address, cc_on_ready);
	if (f->callers == NULL || f->ready == NULL)
		return NULL;
	if (c->settings->metrics_address != NULL) {
		f->metrics =
		    cc_listen(f, c->settings->metrics_address, cc_on_metrics);
		if (f->metrics == NULL)
			return NULL;
	}
	return f;
}

void
cc_get_counts(const struct cc_frontend *f, struct hs_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	hs_add_counts(f->callers, counts);
	hs_add_counts(f->ready, counts);
	if (f->metrics != NULL)
		hs_add_counts(f->metrics, counts);
}

static void
cc_for_each(struct cc_frontend *f, void (*fn)(struct http_server *hs))
{
	fn(f->callers);
	fn(f->ready);
	if (f->metrics != NULL)
		fn(f->metrics);
}

void
cc_begin_drain(struct cc_frontend *f)
{
	cc_for_each(f, hs_begin_drain);
}

void
cc_stop_accepting(struct cc_frontend *f)
{
	cc_for_each(f, hs_stop_accepting);
}

void
cc_run(struct cc_frontend *f)
{
	cc_for_each(f, hs_run);
}

void
cc_answer_overdue(struct cc_frontend *f)
{
	cc_for_each(f, hs_answer_overdue);
}

void
cc_stop(struct cc_frontend *f)
{
	cc_for_each(f, hs_stop);
}

uint32_t
cc_pending_count(const struct cc_frontend *f)
{
	return f->pending_count;
}
