#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "transport/http_server_internal.h"

static struct hs_exchange *
hs_exchange_of(struct hs_request *req)
{
	return (struct hs_exchange *)req;
}

const char *
hs_header(struct hs_request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    hs_exchange_of(req)->conn, MHD_HEADER_KIND, name);
}

const char *
hs_query(struct hs_request *req, const char *name)
{
	return MHD_lookup_connection_value(
	    hs_exchange_of(req)->conn, MHD_GET_ARGUMENT_KIND, name);
}

static void
hs_on_resumed(struct tevent_context *ev, struct tevent_immediate *im, void *arg)
{
	(void)ev;
	(void)im;
	hs_run(arg);
}

static void
hs_resume(struct hs_exchange *ex)
{
	struct http_server *hs = ex->hs;

	if (!ex->suspended)
		return;
	ex->suspended = false;
	MHD_resume_connection(ex->conn);
	/* MHD handles the resumed connection in MHD_run(), which must be called. */
	tevent_schedule_immediate(
	    hs->resume_event, loop_ev(hs->loop), hs_on_resumed, hs);
}

void
hs_cut(struct hs_request *req, bool reset)
{
	struct hs_exchange *ex = hs_exchange_of(req);

	ex->cut = true;
	ex->reset = reset;
}

static void
hs_reset_connection(struct hs_exchange *ex)
{
	const struct sockaddr none = {.sa_family = AF_UNSPEC};
	const union MHD_ConnectionInfo *info;

	info = MHD_get_connection_info(
	    ex->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	/* Closing it would send a FIN first. */
	if (info != NULL)
		(void)connect(info->connect_fd, &none, sizeof(none));
}

static void
hs_close(struct hs_exchange *ex)
{
	if (ex->reset)
		hs_reset_connection(ex);
	ex->closed = true;
	hs_resume(ex);
}

static void
hs_drop_owed(struct hs_exchange *ex)
{
	ex->owed = false;
	if (ex->conn == NULL)
		talloc_free(ex);
}

void
hs_drop_next(struct hs_request *req)
{
	hs_exchange_of(req)->owed = true;
}

void
hs_respond(struct hs_request *req, int status, const char *content_type,
    const void *body, size_t body_bytes, const struct hs_header *headers,
    size_t header_count)
{
	struct hs_exchange *ex = hs_exchange_of(req);
	size_t i;

	if (ex->answered) {
		hs_drop_owed(ex);
		return;
	}
	ex->answered = true;
	if (ex->cut) {
		hs_close(ex);
		return;
	}
	ex->status = status;
	ex->response = MHD_create_response_from_buffer(
	    body_bytes, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	MHD_add_response_header(ex->response, "Content-Type", content_type);
	if (ex->hs->draining)
		MHD_add_response_header(ex->response, "Connection", "close");
	for (i = 0; i < header_count; i++) {
		if (headers[i].value != NULL)
			MHD_add_response_header(
			    ex->response, headers[i].name, headers[i].value);
	}
	hs_resume(ex);
}

bool
hs_caller_has_left(struct hs_request *req)
{
	const union MHD_ConnectionInfo *info;
	ssize_t n;
	char byte;

	info = MHD_get_connection_info(
	    hs_exchange_of(req)->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	if (info == NULL)
		return false;
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n == 0 || (n == -1 && errno == ECONNRESET);
}

struct hs_partial {
	size_t n;
	char data[];
};

static ssize_t
hs_read_partial(void *arg, uint64_t pos, char *buf, size_t max)
{
	struct hs_partial *part = arg;
	size_t n;

	if (pos >= part->n)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	n = part->n - (size_t)pos;
	if (n > max)
		n = max;
	memcpy(buf, part->data + pos, n);
	return (ssize_t)n;
}

void
hs_abort(struct hs_request *req, const void *body, size_t body_bytes,
    size_t announced_bytes)
{
	struct hs_exchange *ex = hs_exchange_of(req);
	struct hs_partial *part;

	part = malloc(sizeof(*part) + body_bytes);
	if (part == NULL)
		abort();
	part->n = body_bytes;
	memcpy(part->data, body, body_bytes);
	ex->status = 200;
	ex->response = MHD_create_response_from_callback(
	    announced_bytes, 4096, hs_read_partial, part, free);
	hs_resume(ex);
}
