#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

#include "common/counters.h"
#include "transport/http_connections.h"

#define HN_PORT_BITS 16

struct hn_connections {
	struct hn_connection *by_fd;
	struct hn_host *hosts;
	int64_t slow_us;
};

static struct hn_host *
hn_get_host(struct hn_connections *all, const struct sockaddr *to)
{
	struct sockaddr_in sin = {0};
	struct hn_host *host;
	uint64_t key;

	if (to->sa_family == AF_INET)
		memcpy(&sin, to, sizeof(sin));
	key = (uint64_t)ntohl(sin.sin_addr.s_addr) << HN_PORT_BITS |
	    ntohs(sin.sin_port);
	HASH_FIND(hh, all->hosts, &key, sizeof(key), host);
	if (host != NULL)
		return host;
	host = talloc_zero(all, struct hn_host);
	if (host == NULL)
		abort();
	host->key = key;
	HASH_ADD(hh, all->hosts, key, sizeof(host->key), host);
	return host;
}

static struct hn_connection *
hn_find(const struct hn_connections *all, int fd)
{
	struct hn_connection *conn;

	HASH_FIND_INT(all->by_fd, &fd, conn);
	return conn;
}

static curl_socket_t
hn_on_open(void *arg, curlsocktype purpose, struct curl_sockaddr *to)
{
	struct hn_connections *all = arg;
	struct hn_connection *conn;
	int fd;

	(void)purpose;
	fd = socket(to->family, to->socktype | SOCK_CLOEXEC, to->protocol);
	if (fd == -1)
		return CURL_SOCKET_BAD;
	conn = talloc_zero(all, struct hn_connection);
	if (conn == NULL)
		abort();
	conn->all = all;
	conn->host = hn_get_host(all, &to->addr);
	conn->fd = fd;
	conn->opened_us = clk_now_us();
	conn->heard_us = conn->opened_us;
	DL_APPEND(conn->host->list, conn);
	HASH_ADD_INT(all->by_fd, fd, conn);
	return fd;
}

static void
hn_forget(struct hn_connection *conn)
{
	struct hn_connections *all = conn->all;
	struct hn_host *host = conn->host;

	if (conn->user != NULL)
		*conn->user = NULL;
	HASH_DEL(all->by_fd, conn);
	DL_DELETE(host->list, conn);
	talloc_free(conn);
	if (host->list != NULL)
		return;
	HASH_DEL(all->hosts, host);
	talloc_free(host);
}

static int
hn_on_close(void *arg, curl_socket_t fd)
{
	struct hn_connection *conn = hn_find(arg, fd);

	if (conn != NULL)
		hn_forget(conn);
	return close(fd);
}

/* uthash allocates by itself. */
static int
hn_destroy(struct hn_connections *all)
{
	HASH_CLEAR(hh, all->by_fd);
	HASH_CLEAR(hh, all->hosts);
	return 0;
}

struct hn_connections *
hn_create(TALLOC_CTX *ctx)
{
	struct hn_connections *all = talloc_zero(ctx, struct hn_connections);

	if (all != NULL)
		talloc_set_destructor(all, hn_destroy);
	return all;
}

void
hn_set_options(struct hn_connections *all, CURL *easy)
{
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, hn_on_open);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, all);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, hn_on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, all);
}

void
hn_take(
    struct hn_connections *all, curl_socket_t fd, struct hn_connection **user)
{
	struct hn_connection *conn = hn_find(all, fd);

	if (*user == conn && conn != NULL) {
		conn->busy = true;
		return;
	}
	hn_forget_user(user);
	if (conn == NULL)
		return;
	if (conn->user != NULL)
		*conn->user = NULL;
	conn->user = user;
	conn->busy = true;
	*user = conn;
}

void
hn_leave(struct hn_connections *all, curl_socket_t fd)
{
	struct hn_connection *conn = hn_find(all, fd);

	if (conn != NULL)
		conn->busy = false;
}

void
hn_forget_user(struct hn_connection **user)
{
	if (*user != NULL)
		(*user)->user = NULL;
	*user = NULL;
}

void
hn_on_answer(struct hn_connection *conn, int64_t now_us)
{
	conn->heard_us = now_us;
	conn->host->unanswered = 0;
}

bool
hn_shows_silence(const struct hn_call *call, const struct hn_history *history,
    int64_t now_us)
{
	if (call->overdue && now_us < history->slow_until_us)
		return false;
	return call->reused && !call->heard &&
	    call->begun_us >= history->cleared_us;
}

enum hn_verdict
hn_judge(bool busy, int64_t heard_us, int64_t now_us)
{
	return busy || now_us - heard_us < HN_PROOF_US ? HN_KEEP : HN_DROP;
}

enum hn_verdict
hn_judge_wait(const struct hn_call *waiting, int64_t heard_us,
    const struct hn_call *late, int64_t now_us)
{
	struct hn_history history = {.cleared_us = waiting->begun_us + 1};

	/* An overdue answer may still come: no reason to ask anew. */
	if (waiting->heard || late->overdue ||
	    !hn_shows_silence(late, &history, now_us))
		return HN_KEEP;
	return hn_judge(false, heard_us, now_us);
}

uint32_t
hn_on_late(
    struct hn_connection *conn, const struct hn_call *call, int64_t now_us)
{
	struct hn_host *host = conn->host;
	struct hn_connection *other;
	uint32_t dropped = 0;

	if (!hn_shows_silence(call, &host->history, now_us))
		return 0;
	host->history.cleared_us = now_us;
	DL_FOREACH(host->list, other) {
		if (other->dropped ||
		    hn_judge(other->busy, other->heard_us, now_us) == HN_KEEP)
			continue;
		/* The library closes it when it looks for one to reuse. */
		shutdown(other->fd, SHUT_RDWR);
		other->dropped = true;
		dropped++;
	}
	ct_add(CT_HTTP_DROPPED, dropped);
	return dropped;
}

void
hn_on_late_answer(struct hn_connection *conn, int64_t now_us)
{
	conn->host->history.slow_until_us = now_us + conn->all->slow_us;
}

void
hn_set_slow_time(struct hn_connections *all, int64_t slow_us)
{
	all->slow_us = slow_us;
}
