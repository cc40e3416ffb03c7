#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "transport/address.h"
#include "transport/http_server.h"

#define HS_BACKLOG 512
/* For handshakes that have begun when the server stops accepting. */
#define HS_HANDSHAKE_US (50 * CLK_US_PER_MS)

enum hs_phase {
	HS_READING,
	HS_UNANSWERED,
	HS_SENDING,
	HS_PHASES,
};

struct http_server {
	struct loop *loop;
	struct MHD_Daemon *mhd;
	int listener; /* once MHD no longer accepts */
	struct tevent_fd *fde;
	struct tevent_timer *timer;
	struct tevent_immediate *resume_event;
	hs_handler_fn handler;
	void *arg;
	size_t max_body_bytes;
	LIST_HEAD(, hs_exchange) unanswered;
	bool draining;
	atomic_uint connections;
	atomic_uint fresh;
	atomic_uint in_phase[HS_PHASES];
};

/* One for each connection. */
struct hs_caller {
	struct http_server *hs;
	bool fresh;
};

struct hs_exchange {
	struct hs_request req;
	struct http_server *hs;
	LIST_ENTRY(hs_exchange) link; /* while unanswered */
	struct MHD_Connection *conn;
	char *body;
	struct MHD_Response *response;
	int status;
	enum hs_phase phase;
	bool too_large;
	bool handled;
	bool answered;
	bool owed; /* answered, and the handler will respond all the same */
	bool suspended;
	bool cut;
	bool reset;
	bool closed;
};

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

static void
hs_set_used(struct MHD_Connection *conn)
{
	const union MHD_ConnectionInfo *info =
	    MHD_get_connection_info(conn, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
	struct hs_caller *caller = info != NULL ? info->socket_context : NULL;

	if (caller == NULL || !caller->fresh)
		return;
	caller->fresh = false;
	atomic_fetch_sub(&caller->hs->fresh, 1);
}

static struct hs_exchange *
hs_exchange_create(struct http_server *hs, struct MHD_Connection *conn,
    const char *url, const char *method)
{
	struct hs_exchange *ex;

	ex = talloc_zero(hs, struct hs_exchange);
	if (ex == NULL)
		return NULL;
	ex->hs = hs;
	ex->conn = conn;
	ex->req.path = talloc_strdup(ex, url);
	ex->req.method = talloc_strdup(ex, method);
	ex->req.body = "";
	hs_set_used(conn);
	atomic_fetch_add(&hs->in_phase[HS_READING], 1);
	return ex;
}

static void
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
	if (ex == NULL) {
		*state = hs_exchange_create(hs, conn, url, method);
		return *state != NULL ? MHD_YES : MHD_NO;
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

	(void)conn;
	if (code == MHD_CONNECTION_NOTIFY_STARTED) {
		caller = talloc_zero(hs, struct hs_caller);
		if (caller == NULL)
			abort();
		caller->hs = hs;
		caller->fresh = true;
		*state = caller;
		atomic_fetch_add(&hs->connections, 1);
		atomic_fetch_add(&hs->fresh, 1);
		return;
	}
	atomic_fetch_sub(&hs->connections, 1);
	if (caller->fresh)
		atomic_fetch_sub(&hs->fresh, 1);
	talloc_free(caller);
	*state = NULL;
}

static void
hs_on_completed(void *arg, struct MHD_Connection *conn, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct hs_exchange *ex = *state;

	(void)arg;
	(void)conn;
	if (ex == NULL)
		return;
	hs_count_end(ex, code);
	if (ex->response != NULL)
		MHD_destroy_response(ex->response);
	*state = NULL;
	ex->conn = NULL;
	if (!ex->owed)
		talloc_free(ex);
}

static void
hs_on_readable(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct http_server *hs = arg;

	(void)ev;
	(void)fde;
	(void)flags;
	MHD_run(hs->mhd);
	hs_schedule(hs);
}

static void
hs_on_timer(struct tevent_context *ev, struct tevent_timer *te,
    struct timeval now, void *arg)
{
	struct http_server *hs = arg;

	(void)ev;
	(void)te;
	(void)now;
	hs->timer = NULL;
	MHD_run(hs->mhd);
	hs_schedule(hs);
}

static void
hs_schedule(struct http_server *hs)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;
	struct timeval at;

	TALLOC_FREE(hs->timer);
	if (hs->mhd == NULL)
		return;
	if (MHD_get_timeout(hs->mhd, &timeout_ms) != MHD_YES)
		return;
	at = tevent_timeval_current_ofs((uint32_t)(timeout_ms / 1000),
	    (uint32_t)(timeout_ms % 1000) * 1000U);
	hs->timer =
	    tevent_add_timer(loop_ev(hs->loop), hs, at, hs_on_timer, hs);
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
	hs->mhd = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME |
		MHD_USE_SUPPRESS_DATE_NO_CLOCK,
	    0, NULL, NULL, hs_on_request, hs, MHD_OPTION_LISTEN_SOCKET,
	    listen_fd, MHD_OPTION_CONNECTION_LIMIT, limits->max_connections,
	    MHD_OPTION_CONNECTION_TIMEOUT, limits->idle_s,
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
hs_begin_drain(struct http_server *hs)
{
	hs->draining = true;
}

void
hs_run(struct http_server *hs)
{
	if (hs->mhd == NULL)
		return;
	MHD_run(hs->mhd);
	hs_schedule(hs);
}

/* Drops the first segment of each handshake; those under way complete. */
static void
hs_refuse_handshakes(int listener)
{
	enum { TCP_FLAGS_OFFSET = 13, TCP_FLAG_SYN = 0x02 };
	struct sock_filter code[] = {
	    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
	    BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, TCP_FLAG_SYN, 0, 1),
	    BPF_STMT(BPF_RET | BPF_K, 0),
	    BPF_STMT(BPF_RET | BPF_K, UINT32_MAX),
	};
	struct sock_fprog program = {
	    .len = sizeof(code) / sizeof(code[0]),
	    .filter = code,
	};

	/* Without it, a connection that is made just now may be cut. */
	if (setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
		sizeof(program)) == -1)
		lg_event(LG_WARN, "http", "no_filter", "error", strerror(errno),
		    NULL);
}

static void
hs_accept_all(struct http_server *hs)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	int fd;

	while ((fd = accept4(hs->listener, (struct sockaddr *)&sin, &len,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) != -1) {
		MHD_add_connection(hs->mhd, fd, (struct sockaddr *)&sin, len);
		len = sizeof(sin);
	}
}

static void
hs_close_listener(void *arg)
{
	struct http_server *hs = arg;

	if (hs->mhd == NULL)
		return;
	hs_accept_all(hs);
	close(hs->listener);
	hs_run(hs);
	atomic_fetch_sub(&hs->fresh, 1);
}

void
hs_stop_accepting(struct http_server *hs)
{
	hs->listener = MHD_quiesce_daemon(hs->mhd);
	if (hs->listener == MHD_INVALID_SOCKET)
		return;
	/* One that may be in its handshake. */
	atomic_fetch_add(&hs->fresh, 1);
	hs_refuse_handshakes(hs->listener);
	hs_accept_all(hs);
	hs_run(hs);
	loop_after(hs->loop, HS_HANDSHAKE_US, hs_close_listener, hs);
}

void
hs_answer_overdue(struct http_server *hs)
{
	struct hs_exchange *ex;

	/* A response only resumes a connection; hs_run() changes the list. */
	LIST_FOREACH(ex, &hs->unanswered, link)
	{
		if (ex->response != NULL || ex->req.overdue == NULL)
			continue;
		ct_add(CT_HTTP_AT_END, 1);
		ex->req.overdue(ex->req.overdue_arg);
	}
	hs_run(hs);
}

void
hs_stop(struct http_server *hs)
{
	TALLOC_FREE(hs->timer);
	TALLOC_FREE(hs->fde);
	if (atomic_load(&hs->in_phase[HS_UNANSWERED]) == 0)
		MHD_stop_daemon(hs->mhd);
	hs->mhd = NULL;
}

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
