#include <curl/curl.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "common/clock.h"
#include "common/counters.h"
#include "common/log.h"
#include "transport/http_client.h"
#include "transport/http_connections.h"

#define HC_MAX_BODY_BYTES ((size_t)8 << 20)
/* A deadline timer that fires this late means that the loop was stalled. */
#define HC_STALL_US (10 * CLK_US_PER_MS)
/* A response of which nothing has arrived for so long no longer arrives. */
#define HC_ARRIVAL_PAUSE_US (2 * CLK_US_PER_S)
#define HC_DEFER_US 500
#define HC_MAX_DEFERRALS 8
#define HC_MAX_DEFER_US (100 * CLK_US_PER_MS)
#define HC_MAX_IDLE_HANDLES 1024
#define HC_LOGGED_URL_BYTES 128
/* With its default limit, curl closes connections of a large fleet constantly. */
#define HC_MAX_CACHED_CONNECTIONS 3000L

struct http_client {
	struct loop *loop;
	CURLM *multi;
	struct hn_connections *connections;
	struct loop_timer *timer;
	struct hc_transfer *transfers;
	struct hc_socket *sockets;
	struct loop_timer *deadline_timer;
	int64_t deadline_at_us;
	uint32_t deferrals;
	/* 0 unless the deadline timer is deferred. */
	int64_t defer_until_us;
	CURL *idle[HC_MAX_IDLE_HANDLES];
	uint32_t idle_count;
};

struct hc_socket {
	struct http_client *hc;
	struct tevent_fd *fde;
	curl_socket_t fd;
	struct hc_socket *prev;
	struct hc_socket *next;
};

struct hc_transfer {
	struct http_client *hc;
	CURL *easy;
	/* NULL until it has one. */
	struct hn_connection *conn;
	int64_t begun_us;
	struct curl_slist *headers;
	char *response_body;
	size_t response_bytes;
	char *response_headers;
	hc_done_fn done;
	void *arg;
	int64_t deadline_us;
	int64_t arriving_until_us;
	/* 0 once it is reported. */
	int64_t overdue_us;
	hc_overdue_fn overdue;
	struct hc_transfer *prev;
	struct hc_transfer *next;
	/* Copies of the request that curl may have sent. */
	uint32_t sends;
	bool repeatable;
	bool waits;
	bool was_overdue;
	char error[CURL_ERROR_SIZE];
};

static void hc_arm_deadline(struct hc_transfer *t);

/* Whether a part of the request was written to any connection so far. */
static bool
hc_was_sent(const struct hc_transfer *t)
{
	long bytes = 0;

	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &bytes);
	return bytes > 0;
}

static enum hc_error
hc_map_error(const struct hc_transfer *t, CURLcode code)
{
	if (code == CURLE_OK)
		return HC_OK;
	/*
	 * curl retries a request when a reused connection ends, so a failed
	 * connect does not mean that nothing was sent.
	 */
	if (!hc_was_sent(t))
		return HC_NOT_CONNECTED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HC_TIMEOUT;
	return HC_CUT_OFF;
}

/* Reuses handles: creating one costs more than resetting one. */
static CURL *
hc_acquire_handle(struct http_client *hc)
{
	if (hc->idle_count > 0)
		return hc->idle[--hc->idle_count];
	return curl_easy_init();
}

static void
hc_release_handle(struct http_client *hc, CURL *easy)
{
	if (hc->idle_count == HC_MAX_IDLE_HANDLES) {
		curl_easy_cleanup(easy);
		return;
	}
	curl_easy_reset(easy);
	hc->idle[hc->idle_count++] = easy;
}

/* Without the query, which may be long. */
static const char *
hc_logged_url(const struct hc_transfer *t, char *text, size_t bytes)
{
	char *url = NULL;

	curl_easy_getinfo(t->easy, CURLINFO_EFFECTIVE_URL, &url);
	if (url == NULL)
		return "";
	snprintf(text, bytes, "%.*s", (int)strcspn(url, "?"), url);
	return text;
}

static void
hc_log_unanswered(const struct hc_transfer *t, bool is_new, int64_t now_us)
{
	char text[HC_LOGGED_URL_BYTES];

	lg_event(LG_INFO, "http", "unanswered", "url",
	    hc_logged_url(t, text, sizeof(text)), "waited_ms",
	    lg_i64((now_us - t->begun_us) / CLK_US_PER_MS), "new",
	    lg_i64(is_new), "open_ms",
	    lg_i64((now_us - t->conn->opened_us) / CLK_US_PER_MS), "unheard_ms",
	    lg_i64((now_us - t->conn->heard_us) / CLK_US_PER_MS), "in_a_row",
	    lg_i64(t->conn->host->unanswered), NULL);
}

/* The library counts a connection only once it is made. */
static bool
hc_is_on_new_connection(const struct hc_transfer *t)
{
	long connects = 0;

	if (t->conn != NULL && t->conn->opened_us >= t->begun_us)
		return true;
	curl_easy_getinfo(t->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects > 0;
}

static struct hn_call
hc_describe(const struct hc_transfer *t, int64_t now_us)
{
	return (struct hn_call){
	    .reused = !hc_is_on_new_connection(t),
	    .heard = t->response_headers != NULL,
	    .overdue = now_us < t->deadline_us,
	    .begun_us = t->begun_us,
	};
}

/* Calls that wait for news of a host of which a late call shows silence. */
static uint32_t
hc_end_waits(
    const struct hc_transfer *t, const struct hn_call *late, int64_t now_us)
{
	struct hc_transfer *other;
	struct hn_call waiting;
	uint32_t ended = 0;

	DL_FOREACH(t->hc->transfers, other) {
		if (!other->waits || other->conn == NULL ||
		    other->conn->host != t->conn->host)
			continue;
		waiting = hc_describe(other, now_us);
		if (hn_judge_wait(&waiting, other->conn->heard_us, late,
			now_us) == HN_KEEP)
			continue;
		other->deadline_us = now_us;
		hc_arm_deadline(other);
		ended++;
	}
	return ended;
}

/* No answer at the time that it was due: others may be silent, too. */
static void
hc_on_late(const struct hc_transfer *t, int64_t now_us)
{
	char text[HC_LOGGED_URL_BYTES];
	struct hn_call call = hc_describe(t, now_us);
	uint32_t dropped;
	uint32_t ended;

	if (t->conn == NULL)
		return;
	dropped = hn_on_late(t->conn, &call, now_us);
	ended = hc_end_waits(t, &call, now_us);
	if (dropped + ended > 0)
		lg_event(LG_INFO, "http", "dropped", "url",
		    hc_logged_url(t, text, sizeof(text)), "connections",
		    lg_i64(dropped), "waits", lg_i64(ended), NULL);
}

/* The deadline passed, and nothing has arrived on the connection. */
static void
hc_on_unanswered(const struct hc_transfer *t, int64_t now_us)
{
	bool is_new = hc_is_on_new_connection(t);

	if (t->conn == NULL || t->response_headers != NULL)
		return;
	if (!is_new)
		t->conn->host->unanswered++;
	ct_add(is_new ? CT_HTTP_UNANSWERED_NEW : CT_HTTP_UNANSWERED_REUSED, 1);
	hc_log_unanswered(t, is_new, now_us);
	hc_on_late(t, now_us);
}

static void
hc_on_answered(struct hc_transfer *t, int64_t now_us)
{
	hn_on_answer(t->conn, now_us);
	if (t->was_overdue)
		hn_on_late_answer(t->conn, now_us);
}

/* What the call tells of its connection. */
static void
hc_note_outcome(struct hc_transfer *t, CURLcode code)
{
	if (code == CURLE_OPERATION_TIMEDOUT)
		hc_on_unanswered(t, clk_now_us());
	else if (code == CURLE_OK && t->conn != NULL)
		hc_on_answered(t, clk_now_us());
	hn_forget_user(&t->conn);
}

static void
hc_finish(struct http_client *hc, CURL *easy, CURLcode code)
{
	struct hc_transfer *t;
	struct hc_response resp = {0};
	long status = 0;
	long request_bytes = 0;
	long header_bytes = 0;
	long connects = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &t);
	hc_note_outcome(t, code);
	curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &connects);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &header_bytes);
	resp.error = hc_map_error(t, code);
	resp.status = resp.error == HC_OK ? (int)status : 0;
	resp.body = t->response_body != NULL ? t->response_body : "";
	resp.body_bytes = t->response_bytes;
	resp.headers = t->response_headers != NULL ? t->response_headers : "";
	resp.sent_bytes = (size_t)request_bytes;
	resp.received_bytes = (size_t)header_bytes + t->response_bytes;
	resp.sends = t->sends;
	resp.connects = (uint32_t)connects;
	ct_add(CT_HTTP_SENT_AGAIN, t->sends > 1);
	curl_multi_remove_handle(hc->multi, easy);
	DL_DELETE(hc->transfers, t);
	t->done(&resp, t->arg);
	hc_release_handle(hc, easy);
	curl_slist_free_all(t->headers);
	talloc_free(t);
}

static void
hc_finish_completed(struct http_client *hc)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(hc->multi, &left)) != NULL) {
		if (msg->msg == CURLMSG_DONE)
			hc_finish(hc, msg->easy_handle, msg->data.result);
	}
}

static void
hc_on_socket(
    struct tevent_context *ev, struct tevent_fd *fde, uint16_t flags, void *arg)
{
	struct hc_socket *sock = arg;
	struct http_client *hc = sock->hc;
	int mask = 0;
	int running;

	(void)ev;
	(void)fde;
	hc->deferrals = 0;
	if (flags & TEVENT_FD_READ)
		mask |= CURL_CSELECT_IN;
	if (flags & TEVENT_FD_WRITE)
		mask |= CURL_CSELECT_OUT;
	curl_multi_socket_action(hc->multi, sock->fd, mask, &running);
	hc_finish_completed(hc);
}

static void
hc_on_timer(void *arg)
{
	struct http_client *hc = arg;
	int running;

	hc->timer = NULL;
	curl_multi_socket_action(hc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	hc_finish_completed(hc);
}

/*
 * The loop runs timers before it reads sockets. After a stall, responses may
 * already be waiting in the sockets, so the deadline is deferred a few times to
 * let the loop read them first. In a busy process each time may be late, so that
 * ends after a while.
 */
static bool
hc_defer_deadline(struct http_client *hc, int64_t now_us)
{
	if (now_us - hc->deadline_at_us <= HC_STALL_US)
		return false;
	if (hc->defer_until_us == 0)
		hc->defer_until_us = now_us + HC_MAX_DEFER_US;
	return now_us < hc->defer_until_us &&
	    hc->deferrals++ < HC_MAX_DEFERRALS;
}

/* So that no call ends whose response has arrived. */
static void
hc_read_sockets(struct http_client *hc)
{
	const struct hc_socket *sock;
	struct pollfd *pfd;
	nfds_t count = 0;
	nfds_t i;
	int running;

	DL_FOREACH(hc->sockets, sock)
		count++;
	pfd = talloc_zero_array(hc, struct pollfd, count + 1);
	if (pfd == NULL)
		abort();
	count = 0;
	DL_FOREACH(hc->sockets, sock)
		pfd[count++] = (struct pollfd){sock->fd, POLLIN, 0};
	if (poll(pfd, count, 0) <= 0)
		count = 0;
	for (i = 0; i < count; i++) {
		if (pfd[i].revents != 0)
			curl_multi_socket_action(
			    hc->multi, pfd[i].fd, CURL_CSELECT_IN, &running);
	}
	talloc_free(pfd);
	hc_finish_completed(hc);
}

/* When the timer has to run next for a transfer. */
static int64_t
hc_next_us(const struct hc_transfer *t)
{
	if (t->overdue_us != 0 && t->overdue_us < t->deadline_us)
		return t->overdue_us;
	return t->deadline_us;
}

static void
hc_check_deadline(struct http_client *hc, struct hc_transfer *t, int64_t now_us)
{
	if (t->deadline_us <= now_us) {
		hc_finish(hc, t->easy, CURLE_OPERATION_TIMEDOUT);
		return;
	}
	if (t->overdue_us == 0 || t->overdue_us > now_us)
		return;
	t->overdue_us = 0;
	t->was_overdue = true;
	hc_on_late(t, now_us);
	if (t->overdue != NULL)
		t->overdue(t->arg);
}

static void
hc_on_deadline(void *arg)
{
	struct http_client *hc = arg;
	int64_t now_us = clk_now_us();
	struct hc_transfer *next = NULL;
	struct hc_transfer *t;
	struct hc_transfer *tmp;

	hc->deadline_timer = NULL;
	if (hc_defer_deadline(hc, now_us)) {
		hc->deadline_timer = loop_at(
		    hc, hc->loop, now_us + HC_DEFER_US, hc_on_deadline, hc);
		return;
	}
	if (hc->defer_until_us != 0)
		hc_read_sockets(hc);
	hc->deferrals = 0;
	hc->defer_until_us = 0;
	DL_FOREACH_SAFE(hc->transfers, t, tmp)
		hc_check_deadline(hc, t, now_us);
	DL_FOREACH(hc->transfers, t) {
		if (next == NULL || hc_next_us(t) < hc_next_us(next))
			next = t;
	}
	if (next != NULL)
		hc_arm_deadline(next);
}

/* One timer serves all transfers; it is set for the earliest deadline. */
static void
hc_arm_deadline(struct hc_transfer *t)
{
	struct http_client *hc = t->hc;
	int64_t next_us = hc_next_us(t);

	if (hc->deadline_timer != NULL && hc->deadline_at_us <= next_us)
		return;
	TALLOC_FREE(hc->deadline_timer);
	hc->deadline_at_us = next_us;
	hc->deadline_timer = loop_at(hc, hc->loop, next_us, hc_on_deadline, hc);
}

static int
hc_set_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct http_client *hc = arg;

	(void)multi;
	TALLOC_FREE(hc->timer);
	if (timeout_ms < 0)
		return 0;
	hc->timer = loop_at(hc, hc->loop,
	    clk_now_us() + timeout_ms * CLK_US_PER_MS, hc_on_timer, hc);
	return 0;
}

static int
hc_set_socket(CURL *easy, curl_socket_t fd, int what, void *arg, void *sockp)
{
	struct http_client *hc = arg;
	struct hc_socket *sock = sockp;
	struct hc_transfer *t = NULL;
	uint16_t flags = 0;

	if (what == CURL_POLL_REMOVE) {
		hn_leave(hc->connections, fd);
		curl_multi_assign(hc->multi, fd, NULL);
		if (sock != NULL)
			DL_DELETE(hc->sockets, sock);
		talloc_free(sock);
		return 0;
	}
	if (what & CURL_POLL_IN)
		flags |= TEVENT_FD_READ;
	if (what & CURL_POLL_OUT)
		flags |= TEVENT_FD_WRITE;
	if (sock != NULL) {
		tevent_fd_set_flags(sock->fde, flags);
		return 0;
	}
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &t);
	hn_take(hc->connections, fd, &t->conn);
	sock = talloc_zero(hc, struct hc_socket);
	if (sock == NULL)
		return -1;
	sock->hc = hc;
	sock->fd = fd;
	sock->fde = tevent_add_fd(
	    loop_ev(hc->loop), sock, fd, flags, hc_on_socket, sock);
	DL_APPEND(hc->sockets, sock);
	curl_multi_assign(hc->multi, fd, sock);
	return 0;
}

struct http_client *
hc_create(TALLOC_CTX *ctx, struct loop *l, long max_connections_per_host)
{
	struct http_client *hc;

	hc = talloc_zero(ctx, struct http_client);
	if (hc == NULL)
		return NULL;
	hc->loop = l;
	hc->connections = hn_create(hc);
	hc->multi = curl_multi_init();
	if (hc->multi == NULL || hc->connections == NULL) {
		talloc_free(hc);
		return NULL;
	}
	curl_multi_setopt(hc->multi, CURLMOPT_SOCKETFUNCTION, hc_set_socket);
	curl_multi_setopt(hc->multi, CURLMOPT_SOCKETDATA, hc);
	curl_multi_setopt(hc->multi, CURLMOPT_TIMERFUNCTION, hc_set_timer);
	curl_multi_setopt(hc->multi, CURLMOPT_TIMERDATA, hc);
	curl_multi_setopt(
	    hc->multi, CURLMOPT_MAXCONNECTS, HC_MAX_CACHED_CONNECTIONS);
	if (max_connections_per_host > 0)
		curl_multi_setopt(hc->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
		    max_connections_per_host);
	return hc;
}

void
hc_set_slow_time(struct http_client *hc, int64_t slow_us)
{
	hn_set_slow_time(hc->connections, slow_us);
}

static size_t
hc_append(char **buf, size_t have, const char *data, size_t n, void *ctx)
{
	char *grown;

	if (have + n > HC_MAX_BODY_BYTES)
		return 0;
	if (*buf == NULL || have + n + 1 > talloc_get_size(*buf)) {
		grown = talloc_realloc(
		    ctx, *buf, char, (have + n + 1) * 3 / 2 + 256);
		if (grown == NULL)
			return 0;
		*buf = grown;
	}
	memcpy(*buf + have, data, n);
	(*buf)[have + n] = '\0';
	return n;
}

/* The deadline's timer looks for the new one when it fires. */
static void
hc_put_off_deadline(struct hc_transfer *t)
{
	int64_t until_us = clk_now_us() + HC_ARRIVAL_PAUSE_US;

	if (until_us > t->arriving_until_us)
		until_us = t->arriving_until_us;
	t->deadline_us = clk_later_us(t->deadline_us, until_us);
}

static size_t
hc_on_body(char *data, size_t size, size_t n, void *arg)
{
	struct hc_transfer *t = arg;
	size_t got;

	hc_put_off_deadline(t);
	got =
	    hc_append(&t->response_body, t->response_bytes, data, size * n, t);
	t->response_bytes += got;
	return got;
}

static size_t
hc_on_header(char *data, size_t size, size_t n, void *arg)
{
	struct hc_transfer *t = arg;
	size_t have;

	have = t->response_headers != NULL ? strlen(t->response_headers) : 0;
	return hc_append(&t->response_headers, have, data, size * n, t);
}

/* Runs before curl sends the request, or sends it again. */
static int
hc_on_connected(
    void *arg, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	struct hc_transfer *t = arg;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (!t->repeatable && hc_was_sent(t))
		return CURL_PREREQFUNC_ABORT;
	if (t->sends == 0 || hc_was_sent(t))
		t->sends++;
	return CURL_PREREQFUNC_OK;
}

static void
hc_set_options(struct hc_transfer *t, const struct hc_request *req)
{
	curl_easy_setopt(t->easy, CURLOPT_URL, req->url);
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PREREQFUNCTION, hc_on_connected);
	curl_easy_setopt(t->easy, CURLOPT_PREREQDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	hn_set_options(t->hc->connections, t->easy);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, hc_on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, hc_on_header);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_ERRORBUFFER, t->error);
	curl_easy_setopt(t->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	if (req->body != NULL || strcmp(req->method, "GET") != 0) {
		curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)req->body_bytes);
		curl_easy_setopt(t->easy, CURLOPT_COPYPOSTFIELDS,
		    req->body != NULL ? req->body : "");
	}
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
}

void
hc_send(struct http_client *hc, const struct hc_request *req, hc_done_fn done,
    void *arg)
{
	struct hc_transfer *t;
	char line[1024];
	size_t i;

	t = talloc_zero(hc, struct hc_transfer);
	if (t == NULL)
		abort();
	t->hc = hc;
	t->done = done;
	t->arg = arg;
	t->easy = hc_acquire_handle(hc);
	if (t->easy == NULL)
		abort();
	t->headers = curl_slist_append(NULL, "Expect:");
	/* An empty value makes curl omit its default header. */
	t->headers = curl_slist_append(t->headers, "Accept:");
	t->headers = curl_slist_append(t->headers, "Content-Type:");
	for (i = 0; i < req->header_count; i++) {
		snprintf(line, sizeof(line), "%s: %s", req->headers[i].name,
		    req->headers[i].value);
		t->headers = curl_slist_append(t->headers, line);
	}
	hc_set_options(t, req);
	t->begun_us = clk_now_us();
	t->deadline_us = req->deadline_us;
	t->arriving_until_us = req->arriving_until_us;
	t->overdue_us = req->overdue_us;
	t->overdue = req->overdue;
	t->repeatable = req->repeatable;
	t->waits = req->waits;
	DL_APPEND(hc->transfers, t);
	hc_arm_deadline(t);
	curl_multi_add_handle(hc->multi, t->easy);
}

const char *
hc_header_value(const struct hc_response *resp, const char *name, char *value,
    size_t value_bytes)
{
	const char *line;
	const char *end;
	size_t len = strlen(name);

	for (line = resp->headers; line != NULL && *line != '\0';) {
		end = strstr(line, "\r\n");
		if (end == NULL)
			return NULL;
		if (strncasecmp(line, name, len) == 0 && line[len] == ':') {
			line += len + 1;
			while (*line == ' ')
				line++;
			snprintf(value, value_bytes, "%.*s", (int)(end - line),
			    line);
			return value;
		}
		line = end + 2;
	}
	return NULL;
}
