#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "transport/address.h"
#include "transport/http_server_internal.h"

#define HS_BACKLOG 512

static void hs_schedule(struct http_server *hs);

int
hs_listen(const char *address, char *bound, size_t bound_bytes)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	char host[INET_ADDRSTRLEN];
	int one = 1;
	int fd;

	errno = EINVAL;
	if (!ad_parse(address, &sin))
		return -1;
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (fd == -1)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == -1 ||
	    listen(fd, HS_BACKLOG) == -1 ||
	    getsockname(fd, (struct sockaddr *)&sin, &len) == -1) {
		close(fd);
		return -1;
	}
	inet_ntop(AF_INET, &sin.sin_addr, host, sizeof(host));
	snprintf(bound, bound_bytes, "%s:%u", host, ntohs(sin.sin_port));
	return fd;
}

static struct hs_caller *
hs_caller_of(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info != NULL ? info->socket_context : NULL;
}

static void
hs_set_busy(struct MHD_Connection *conn, bool busy)
{
	struct hs_caller *caller = hs_caller_of(conn);

	if (caller == NULL)
		return;
	caller->busy = busy;
	if (!caller->fresh)
		return;
	caller->fresh = false;
	atomic_fetch_sub(&caller->hs->fresh, 1);
}

/* The first line of a request has arrived. */
static void *
hs_on_request_line(void *arg, const char *uri, struct MHD_Connection *conn)
{
	struct http_server *hs = arg;
	struct hs_exchange *ex = talloc_zero(hs, struct hs_exchange);

	(void)uri;
	if (ex == NULL)
		abort();
	ex->hs = hs;
	ex->conn = conn;
	ex->req.body = "";
	hs_set_busy(conn, true);
	atomic_fetch_add(&hs->in_phase[HS_READING], 1);
	return ex;
}

void
hs_set_phase(struct hs_exchange *ex, enum hs_phase phase)
{
	if (ex->phase == HS_UNANSWERED)
		LIST_REMOVE(ex, link);
	if (phase == HS_UNANSWERED)
		LIST_INSERT_HEAD(&ex->hs->unanswered, ex, link);
	atomic_fetch_sub(&ex->hs->in_phase[ex->phase], 1);
	atomic_fetch_add(&ex->hs->in_phase[phase], 1);
	ex->phase = phase;
}

static void
hs_append_body(struct hs_exchange *ex, const char *data, size_t n)
{
	size_t have = ex->req.body_bytes;
	char *grown;

	if (have + n > ex->hs->max_body_bytes) {
		ex->too_large = true;
		return;
	}
	if (ex->body == NULL || have + n + 1 > talloc_get_size(ex->body)) {
		grown = talloc_realloc(
		    ex, ex->body, char, (have + n) * 3 / 2 + 256);
		if (grown == NULL) {
			ex->too_large = true;
			return;
		}
		ex->body = grown;
	}
	memcpy(ex->body + have, data, n);
	ex->body[have + n] = '\0';
	ex->req.body = ex->body;
	ex->req.body_bytes = have + n;
}

static enum MHD_Result
hs_queue_response(struct hs_exchange *ex)
{
	enum MHD_Result rc;

	hs_set_phase(ex, HS_SENDING);
	rc = MHD_queue_response(
	    ex->conn, (unsigned int)ex->status, ex->response);
	MHD_destroy_response(ex->response);
	ex->response = NULL;
	return rc;
}

static enum MHD_Result
hs_on_request(void *arg, struct MHD_Connection *conn, const char *url,
    const char *method, const char *version, const char *data, size_t *data_len,
    void **state)
{
	struct http_server *hs = arg;
	struct hs_exchange *ex = *state;

	(void)version;
	if (ex->req.path == NULL) {
		ex->req.path = talloc_strdup(ex, url);
		ex->req.method = talloc_strdup(ex, method);
		return MHD_YES;
	}
	if (*data_len > 0) {
		hs_append_body(ex, data, *data_len);
		*data_len = 0;
		return MHD_YES;
	}
	if (ex->closed)
		return MHD_NO;
	if (ex->response != NULL)
		return hs_queue_response(ex);
	if (ex->handled)
		return MHD_YES;
	ex->handled = true;
	ct_add(CT_HTTP_READ, 1);
	hs_set_phase(ex, HS_UNANSWERED);
	if (ex->too_large) {
		static const char text[] =
		    "{\"outcome\":\"not_run\",\"reason\":\"body too large\"}";

		hs_respond(&ex->req, 413, "application/json", text,
		    sizeof(text) - 1, NULL, 0);
		return hs_queue_response(ex);
	}
	hs->handler(&ex->req, hs->arg);
	if (ex->closed)
		return MHD_NO;
	if (ex->response != NULL)
		return hs_queue_response(ex);
	ex->suspended = true;
	MHD_suspend_connection(conn);
	return MHD_YES;
}

static void
hs_count_end(struct hs_exchange *ex, enum MHD_RequestTerminationCode code)
{
	if (ex->phase == HS_UNANSWERED)
		LIST_REMOVE(ex, link);
	atomic_fetch_sub(&ex->hs->in_phase[ex->phase], 1);
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		ct_add(CT_HTTP_ANSWERED, 1);
	else if (ex->phase != HS_READING)
		ct_add(CT_HTTP_CUT, 1);
}

static void
hs_on_connection(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_ConnectionNotificationCode code)
{
	struct http_server *hs = arg;
	struct hs_caller *caller = *state;

	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		caller = talloc_zero(hs, struct hs_caller);
		if (caller == NULL)
			abort();
		caller->hs = hs;
		caller->conn = conn;
		caller->fresh = true;
		LIST_INSERT_HEAD(&hs->callers, caller, link);
		*state = caller;
		if (atomic_fetch_add(&hs->connections, 1) + 1 >=
		    hs->max_connections)
			hs->full = true;
		atomic_fetch_add(&hs->fresh, 1);
		return;
	}
	atomic_fetch_sub(&hs->connections, 1);
	if (caller->fresh)
		atomic_fetch_sub(&hs->fresh, 1);
	LIST_REMOVE(caller, link);
	talloc_free(caller);
	*state = NULL;
}

static void
hs_on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct hs_exchange *ex = *state;

	(void)arg;
	if (ex == NULL)
		return;
	hs_set_busy(conn, false);
	hs_count_end(ex, code);
	if (ex->response != NULL)
		MHD_destroy_response(ex->response);
	*state = NULL;
	ex->conn = NULL;
	if (!ex->owed)
		talloc_free(ex);
}

/*
 * The library listens again only in the run after the one in which connections
 * ended, and nothing may happen that leads to one.
 */
static void
hs_step(struct http_server *hs)
{
	MHD_run(hs->mhd);
	if (hs->mhd == NULL || !hs->full ||
	    atomic_load(&hs->connections) >= hs->max_connections)
		return;
	hs->full = false;
	MHD_run(hs->mhd);
}

static void
hs_on_readable(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct http_server *hs = arg;

	(void)ev;
	(void)fde;
	(void)flags;
	hs_step(hs);
	hs_schedule(hs);
}

static void
hs_on_timer(void *arg)
{
	struct http_server *hs = arg;

	hs->timer = NULL;
	hs_step(hs);
	hs_schedule(hs);
}

static void
hs_schedule(struct http_server *hs)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	TALLOC_FREE(hs->timer);
	if (hs->mhd == NULL)
		return;
	if (MHD_get_timeout(hs->mhd, &timeout_ms) != MHD_YES)
		return;
	hs->timer = loop_at(hs, hs->loop,
	    clk_now_us() + (int64_t)timeout_ms * CLK_US_PER_MS, hs_on_timer,
	    hs);
}

struct http_server *
hs_create(TALLOC_CTX *ctx, struct loop *l, int listen_fd,
    const struct hs_limits *limits, hs_handler_fn handler, void *arg)
{
	const union MHD_DaemonInfo *info;
	struct http_server *hs;

	hs = talloc_zero(ctx, struct http_server);
	if (hs == NULL)
		return NULL;
	hs->loop = l;
	hs->handler = handler;
	hs->arg = arg;
	hs->max_body_bytes = limits->max_body_bytes;
	hs->max_connections = limits->max_connections;
	hs->mhd = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		MHD_USE_SUPPRESS_DATE_NO_CLOCK,
	    0, NULL, NULL, hs_on_request, hs, MHD_OPTION_LISTEN_SOCKET,
	    listen_fd, MHD_OPTION_CONNECTION_LIMIT, limits->max_connections,
	    MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_s,
	    MHD_OPTION_URI_LOG_CALLBACK, hs_on_request_line, hs,
	    MHD_OPTION_NOTIFY_COMPLETED, hs_on_completed, hs,
	    MHD_OPTION_NOTIFY_CONNECTION, hs_on_connection, hs, MHD_OPTION_END);
	if (hs->mhd == NULL)
		goto fail;
	hs->resume_event = tevent_create_immediate(hs);
	if (hs->resume_event == NULL)
		goto fail;
	info = MHD_get_daemon_info(hs->mhd, MHD_DAEMON_INFO_EPOLL_FD);
	if (info == NULL)
		goto fail;
	hs->fde = tevent_add_fd(
	    loop_ev(l), hs, info->epoll_fd, TEVENT_FD_READ, hs_on_readable, hs);
	if (hs->fde == NULL)
		goto fail;
	hs_schedule(hs);
	return hs;
fail:
	talloc_free(hs);
	return NULL;
}

void
hs_add_counts(const struct http_server *hs, struct hs_counts *counts)
{
	counts->connections += atomic_load(&hs->connections);
	counts->fresh += atomic_load(&hs->fresh);
	counts->reading += atomic_load(&hs->in_phase[HS_READING]);
	counts->unanswered += atomic_load(&hs->in_phase[HS_UNANSWERED]);
	counts->sending += atomic_load(&hs->in_phase[HS_SENDING]);
}

void
hs_run(struct http_server *hs)
{
	if (hs->mhd == NULL)
		return;
	hs_step(hs);
	hs_schedule(hs);
}
